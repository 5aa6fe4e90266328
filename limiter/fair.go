package limiter

import (
	"container/heap"

	"github.com/gypsumford/gypsumford/loadshed"
)

// minWeight is the weight of accounts that have none.
const minWeight = 1.0

// fairOrder orders the waiting requests of a priority by client account: each account's
// requests are spaced by the inverse of its weight in virtual time (start-time fair queueing).
// An account that sends many requests therefore waits behind those of others, and takes what
// they leave. Requests without an account are those of one account, so that without any the
// order is that of arrival.
type fairOrder struct {
	now      float64            // virtual time: the tag of the latest request that left the queue to run
	waiting  int                // requests in the queue
	previous map[string]float64 // end of the latest request in virtual time, by account
}

// next returns the tag of a request that may join the queue.
func (f *fairOrder) next(item *Item) float64 { return max(f.now, f.previous[item.Account]) }

// joined records that a request has joined the queue.
func (f *fairOrder) joined(item *Item) {
	if f.previous == nil {
		f.previous = map[string]float64{}
	}
	f.waiting++
	f.previous[item.Account] = item.tag + 1/max(item.Weight, minWeight)
}

// started records that a request has left the queue to run.
func (f *fairOrder) started(item *Item) {
	f.now = max(f.now, item.tag)
	f.left()
}

// removed records that a request has left the queue without having run. Later ones of its account
// take its turn: otherwise an account whose callers give up would be served after all others.
func (f *fairOrder) removed(item *Item, waiting queue) {
	turn := 1 / max(item.Weight, minWeight)
	isChanged := false
	for _, other := range waiting {
		if other.Account == item.Account && other.sequence > item.sequence &&
			loadshed.ClampPriority(other.Priority) == loadshed.ClampPriority(item.Priority) {
			other.tag -= turn
			isChanged = true
		}
	}
	if isChanged {
		heap.Init(&waiting)
	}
	f.previous[item.Account] -= turn
	f.left()
}

// left records that a request has left the queue. With the last one all debts end, so no more
// accounts are kept than have sent requests since the queue was empty.
func (f *fairOrder) left() {
	f.waiting--
	if f.waiting == 0 {
		f.now = 0
		clear(f.previous)
	}
}
