package target

import (
	"container/list"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errQueueFull is the error of a call for which no slot is free and the queue is full.
var errQueueFull = errors.New("queue full")

// slots assigns the target's slots to calls in FIFO order. It is safe for concurrent use.
type slots struct {
	mu       sync.Mutex
	total    int
	maxQueue int        // calls
	running  int        // slots taken
	waiting  *list.List // queue of chan struct{}, each closed when its call is given a slot
}

func newSlots(total, maxQueue int) *slots {
	return &slots{total: total, maxQueue: maxQueue, waiting: list.New()}
}

// acquire takes a slot, or waits for one behind the calls in the queue. It
// fails if the queue is full or the context ends first.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.running < s.total {
		s.running++
		s.mu.Unlock()
		return nil
	}
	if s.waiting.Len() >= s.maxQueue {
		s.mu.Unlock()
		return errQueueFull
	}
	granted := make(chan struct{})
	element := s.waiting.PushBack(granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return s.cancelWait(element, granted, ctx.Err())
	}
}

// cancelWait removes a call from the queue, or releases the slot if the call was
// given one at the same time. It returns the cause.
func (s *slots) cancelWait(element *list.Element, granted chan struct{}, cause error) error {
	s.mu.Lock()
	select {
	case <-granted:
		s.mu.Unlock()
		s.release()
	default:
		s.waiting.Remove(element)
		s.mu.Unlock()
	}
	return cause
}

// tryAcquire takes a slot if one is free.
func (s *slots) tryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.total {
		return false
	}
	s.running++
	return true
}

// release releases a slot and gives it to the longest waiting call if there is one.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	front := s.waiting.Front()
	if front == nil {
		s.running--
		return
	}
	s.waiting.Remove(front)
	close(front.Value.(chan struct{}))
}

// counts returns the numbers of calls that run and that wait.
func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.waiting.Len()
}
