package target

import (
	"container/list"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errQueueFull: no slot is free and the queue is at its bound.
var errQueueFull = errors.New("queue full")

// slots hands out the target's slots in FIFO order. It is safe for concurrent use.
type slots struct {
	mu      sync.Mutex
	total   int
	bound   int        // of the queue
	running int        // slots taken
	waiting *list.List // of chan struct{}, closed when its slot is handed over
}

func newSlots(total, bound int) *slots {
	return &slots{total: total, bound: bound, waiting: list.New()}
}

// acquire takes a slot, after those who came before. It fails when the queue
// is full or the context ends first.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.running < s.total {
		s.running++
		s.mu.Unlock()
		return nil
	}
	if s.waiting.Len() >= s.bound {
		s.mu.Unlock()
		return errQueueFull
	}
	turn := make(chan struct{})
	place := s.waiting.PushBack(turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		return s.abandon(place, turn, ctx.Err())
	}
}

// abandon leaves the queue, or gives back the slot that came at the same time.
func (s *slots) abandon(place *list.Element, turn chan struct{}, cause error) error {
	s.mu.Lock()
	select {
	case <-turn:
		s.mu.Unlock()
		s.release()
	default:
		s.waiting.Remove(place)
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

// release gives a slot back, to the longest waiting call if there is one.
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

// counts returns the calls that run and those that wait.
func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.waiting.Len()
}
