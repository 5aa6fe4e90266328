package timeline

import (
	"strings"

	"github.com/gypsumford/gypsumford/fleet"
)

// MaxDetailBytes is the longest detail that a ring keeps; the rest is cut off, so
// that the memory of a ring is bounded.
const MaxDetailBytes = 512

// maxLamport is the highest clock value that is believed. A node that sends a
// higher one is faulty; following it would let the clock overflow.
const maxLamport = 1 << 62

// Ring is a bounded buffer of a node's last events.
type Ring struct {
	node     fleet.InstanceID
	slots    []Event
	sequence uint64 // of the last event
	lamport  uint64
}

// NewRing returns a ring that keeps the last capacity events of the node. The
// capacity is at least 1. All memory is allocated here.
func NewRing(node fleet.InstanceID, capacity int) *Ring {
	return &Ring{node: node, slots: make([]Event, max(capacity, 1))}
}

// Record keeps an event in place of the oldest one, and sets its sequence
// number, its Lamport clock value and its node.
func (r *Ring) Record(e Event) {
	r.sequence++
	r.lamport++
	e.Sequence, e.Lamport, e.Node = r.sequence, r.lamport, r.node
	if len(e.Detail) > MaxDetailBytes {
		e.Detail = strings.Clone(e.Detail[:MaxDetailBytes])
	}
	r.slots[r.sequence%uint64(len(r.slots))] = e
}

// Observe takes in the Lamport clock of a message that was received, so that
// later events of this node come after what the sender did before.
func (r *Ring) Observe(lamport uint64) {
	if lamport > r.lamport && lamport <= maxLamport {
		r.lamport = lamport
	}
}

// Lamport returns the clock value to send along with a message.
func (r *Ring) Lamport() uint64 { return r.lamport }

// Sequence returns the sequence number of the last event, 0 if there is none.
func (r *Ring) Sequence() uint64 { return r.sequence }

// After returns the events that follow the given sequence number and pass the
// filter, oldest first and at most limit of them (0 for no limit), and the
// number of events in between that the ring has lost to age.
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
		e := &r.slots[next%uint64(len(r.slots))]
		if filter.Selects(e) {
			events = append(events, *e)
		}
	}
	return events, dropped
}

// oldest returns the sequence number of the oldest event that is kept.
func (r *Ring) oldest() uint64 {
	capacity := uint64(len(r.slots))
	if r.sequence < capacity {
		return 1
	}
	return r.sequence - capacity + 1
}
