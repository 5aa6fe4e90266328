package admission

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// TicketID identifies one call at one queue. The node never reuses an id.
type TicketID uint64

// Arrival holds the properties of a call on which the queue decides.
type Arrival struct {
	Priority  call.Priority
	Caller    string
	Operation string
	Deadline  time.Time // zero if the call has none
}

// VerdictKind is the kind of a decision.
type VerdictKind uint8

const (
	// Refuse: the call must not be run.
	Refuse VerdictKind = iota
	// Start: the call must be sent to the target now.
	Start
)

// Verdict is the decision on a ticket. Each ticket gets at most one.
type Verdict struct {
	Ticket     TicketID
	Kind       VerdictKind
	Reason     call.Reason   // of a refusal
	RetryAfter time.Duration // of a refusal: delay until a retry
}

// Result is how a running call ended.
type Result uint8

const (
	// Completed: the target sent a complete response.
	Completed Result = iota
	// Failed: the connection to the target broke, or its response was incomplete.
	Failed
	// Shed: the target refused the call without running it.
	Shed
	// Abandoned: the caller disconnected or cancelled while the call was running.
	Abandoned
)

// ticketState is the state of an entry in the queue's table of tickets.
type ticketState uint8

const (
	ticketFree ticketState = iota
	ticketQueued
	ticketRunning
)

// ticket is one waiting or running call.
type ticket struct {
	id          TicketID
	startKey    int64  // key by which waiting calls start, lowest first
	refusalKey  uint64 // key by which waiting calls are refused, highest first
	priority    call.Priority
	operation   int32    // index in the table of service times
	position    [2]int32 // index in each of the lane's two heaps
	state       ticketState
	long        bool
	caller      *caller
	arrived     time.Time
	latestStart time.Time     // latest start that meets the deadline, zero if there is no deadline
	maxWait     time.Duration // longest wait of a call whose class the level has closed
	started     time.Time
}

// openClassWaitFactor is the factor on a call's longest wait while the level admits
// any calls of its class.
const openClassWaitFactor = 5

// expiryReason returns why a waiting call must be refused now, or NoReason.
func (t *ticket) expiryReason(now time.Time) call.Reason {
	if tooLate(now, t.latestStart) {
		return call.ReasonDeadline
	}
	maxWait := t.maxWait
	if t.caller.admitsClass(t.priority.Class()) {
		maxWait *= openClassWaitFactor
	}
	if now.Sub(t.arrived) > maxWait {
		return call.ReasonOverload
	}
	return call.NoReason
}
