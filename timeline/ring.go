package timeline

import (
	"strings"

	"github.com/gypsumford/gypsumford/fleet"
)

// MaxDetailBytes is the longest Event.Detail that a ring stores. Longer ones are
// truncated, so that the memory of a ring is bounded.
const MaxDetailBytes = 512

// maxLamport is the highest clock value that is accepted. A node that sends a
// higher one is faulty; adopting it would let the clock overflow.
const maxLamport = 1 << 62

// Ring is a bounded buffer of a node's most recent events.
type Ring struct {
	node     fleet.InstanceID
	buffer   []Event
	sequence uint64 // of the last event
	lamport  uint64
}

// NewRing returns a ring that stores the last capacity events of the node. A
// capacity below 1 counts as 1. The whole buffer is allocated here.
func NewRing(node fleet.InstanceID, capacity int) *Ring {
	return &Ring{node: node, buffer: make([]Event, max(capacity, 1))}
}

// Record stores an event and sets its sequence number, Lamport clock value and
// node. If the ring is full, the event replaces the oldest one.
func (r *Ring) Record(e Event) {
	r.sequence++
	r.lamport++
	e.Sequence, e.Lamport, e.Node = r.sequence, r.lamport, r.node
	if len(e.Detail) > MaxDetailBytes {
		e.Detail = strings.Clone(e.Detail[:MaxDetailBytes])
	}
	r.buffer[r.sequence%uint64(len(r.buffer))] = e
}

// Observe advances the clock to the Lamport clock value of a received message, so
// that later events of this node come after the events that led to the message.
func (r *Ring) Observe(lamport uint64) {
	if lamport > r.lamport && lamport <= maxLamport {
		r.lamport = lamport
	}
}

// Lamport returns the clock value to send along with a message.
func (r *Ring) Lamport() uint64 { return r.lamport }

// Sequence returns the sequence number of the last event, 0 if there is none.
func (r *Ring) Sequence() uint64 { return r.sequence }

// After returns the events after the given sequence number that match the filter,
// oldest first and at most limit of them (0 for no limit). It also returns the
// number of events after that sequence number that newer ones have replaced.
func (r *Ring) After(sequence uint64, filter Filter, limit int) (events []Event, dropped uint64) {
	if sequence >= r.sequence {
		return nil, 0
	}
	first := r.oldest()
	if sequence+1 < first {
		dropped = first - sequence - 1
	} else {
		first = sequence + 1
	}
	for next := first; next <= r.sequence; next++ {
		if limit > 0 && len(events) >= limit {
			break
		}
		e := &r.buffer[next%uint64(len(r.buffer))]
		if filter.Matches(e) {
			events = append(events, *e)
		}
	}
	return events, dropped
}

// oldest returns the sequence number of the oldest event in the ring.
func (r *Ring) oldest() uint64 {
	capacity := uint64(len(r.buffer))
	if r.sequence < capacity {
		return 1
	}
	return r.sequence - capacity + 1
}
