package admission

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// TicketID names one call at one queue. The node never gives an id twice.
type TicketID uint64

// Arrival is what the queue has to know of a call.
type Arrival struct {
	Priority  call.Priority
	Caller    string
	Operation string
	Deadline  time.Time // zero if the call has none
}

// VerdictKind tells what becomes of a call.
type VerdictKind uint8

const (
	// Refuse: the call is not run.
	Refuse VerdictKind = iota
	// Start: the call is to be handed to the target now.
	Start
)

// Verdict is the one decision on a ticket.
type Verdict struct {
	Ticket     TicketID
	Kind       VerdictKind
	Reason     call.Reason   // of a refusal
	RetryAfter time.Duration // of a refusal: when it makes sense to ask again
}

// Result tells how a started call ended.
type Result uint8

const (
	// Completed: the target answered.
	Completed Result = iota
	// Failed: the connection to the target broke, or it gave no whole answer.
	Failed
	// Shed: the target refused the call without running it.
	Shed
	// Abandoned: the caller went away while the call ran.
	Abandoned
)

// ticketState tells where a ticket is.
type ticketState uint8

const (
	ticketFree ticketState = iota
	ticketQueued
	ticketRunning
)

// ticket is one live call.
type ticket struct {
	id        TicketID
	start     int64  // order in which waiting calls are started, lowest first
	refuse    uint64 // order in which they are refused, highest first
	priority  call.Priority
	operation int32
	position  [2]int32 // index in the lane's two heaps
	state     ticketState
	long      bool
	caller    *caller
	arrived   time.Time
	latest    time.Time     // latest start that meets the deadline, zero if there is none
	patience  time.Duration // longest wait of a call whose class the level has closed
	started   time.Time
}

// openPatience is the multiple of its patience for which a call waits while the
// level admits any calls of its class.
const openPatience = 5

// lapsed returns why a waiting call is to be refused now, or NoReason.
func (t *ticket) lapsed(now time.Time) call.Reason {
	if late(now, t.latest) {
		return call.ReasonDeadline
	}
	patience := t.patience
	if t.caller.admitsClass(t.priority.Class()) {
		patience *= openPatience
	}
	if now.Sub(t.arrived) > patience {
		return call.ReasonOverload
	}
	return call.NoReason
}
