package timeline

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
)

// Event is something that happened on a node. Ring.Record sets Sequence,
// Lamport and Node.
type Event struct {
	Sequence  uint64           `json:"sequence"` // number of the event on its node, from 1
	Lamport   uint64           `json:"lamport"`  // clock value, greater than that of every event that caused this one
	Time      time.Time        `json:"time"`     // wall clock of the node, for display
	Node      fleet.InstanceID `json:"node"`
	Kind      Kind             `json:"kind"`
	Request   call.RequestID   `json:"request,omitempty"`
	Service   string           `json:"service,omitempty"`
	Operation string           `json:"operation,omitempty"`
	Class     string           `json:"class,omitempty"`
	Detail    string           `json:"detail,omitempty"` // meaning depends on Kind
	Value     float64          `json:"value,omitempty"`  // meaning depends on Kind
}

// Filter selects events by their fields; an empty field matches every event.
type Filter struct {
	Request call.RequestID
	Service string
	Kind    Kind
}

// Matches reports whether the event passes the filter.
func (f Filter) Matches(e *Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Service == "" || f.Service == e.Service) &&
		(f.Kind == NoKind || f.Kind == e.Kind)
}
