package link

import (
	"time"

	"github.com/gypsumford/gypsumford/callgraph"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/node/memory"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

// Call is a request that is sent to the node of the chosen target.
type Call struct {
	RequestID     string
	TargetID      string // ID of the only target that may run the call
	Service       string
	Route         string // name of the route, under which the peer records the cost
	Method        string
	URI           string // path and query as the caller sent them
	Host          string
	Header        []string // alternating names and values
	Body          []byte
	Rest          [][]byte      // parts of a long body that follow Body
	RemainingTime time.Duration // until the deadline
	CallerService string        // service of the entry node's target
	Account       string        // name of the caller's account, "" without one and for calls of targets
	RootAccount   string        // name of the root request's account, for fair shares; "" without one
	// Priority, Rank and Awaited are those of the root request that the call belongs to.
	Priority int
	Rank     uint8
	Awaited  bool // responses to other requests of the connection wait for this one
	// Retry tells that the call has arrived at a target before. It needs a part of the retry
	// budget, which the node beside the target keeps.
	Retry bool
	// Repeated tells that the call belongs to a run that repeats an earlier one. Its calls
	// count as retries.
	Repeated bool
}

// Outcome is how a call ended.
type Outcome uint8

const (
	// OutcomeResponded means that the reply holds the target's whole response.
	OutcomeResponded Outcome = iota + 1
	// OutcomeNotRun means that the target has not started the call and never will.
	OutcomeNotRun
	// OutcomeUnknown means that the target may have run the call, and that there is no
	// usable response.
	OutcomeUnknown
)

var outcomeNames = [...]string{"none", "answered", "not-run", "unknown"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Reason is why a call has no response.
type Reason uint8

const (
	// ReasonNone means that there is a response.
	ReasonNone Reason = iota
	// ReasonTargetChanged means that the chosen target is not the node's local target
	// any more, or isn't ready.
	ReasonTargetChanged
	// ReasonDraining means that the target is draining, or its node stopping.
	ReasonDraining
	// ReasonBusy means that the call would wait at the node until after its deadline.
	ReasonBusy
	// ReasonTooLate means that the call couldn't start early enough before its deadline.
	ReasonTooLate
	// ReasonUnreachable means that there is no connection to the target or the peer.
	ReasonUnreachable
	// ReasonBroken means that the connection was lost or the response is unusable.
	ReasonBroken
	// ReasonCancelled means that the caller disconnected or its deadline passed.
	ReasonCancelled
	// ReasonRefused means that the target itself refused the call.
	ReasonRefused
	// ReasonRateLimited means that the target's rate limit leaves no room for the call.
	ReasonRateLimited
	// ReasonCrashed means that the target crashed while the call was in flight there.
	ReasonCrashed
	// ReasonQuarantined means that the request is suspected to crash targets, and that the
	// local target doesn't run it, or not now.
	ReasonQuarantined
	// ReasonNoMemory means that a node had no memory for the body of the call or the response.
	ReasonNoMemory
	// ReasonRetryBudget means that the retry budget of the service has no room for the call.
	ReasonRetryBudget
)

var reasonNames = [...]string{
	"none", "target-changed", "draining", "busy", "too-late", "unreachable", "broken", "cancelled", "refused",
	"rate-limited", "crashed", "quarantined", "no-memory", "retry-budget",
}

// String returns the reason's name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// IsOverload reports whether the target or its node had no capacity for the call.
func (r Reason) IsOverload() bool {
	return r == ReasonBusy || r == ReasonTooLate || r == ReasonRefused || r == ReasonRateLimited
}

// ServiceView is what the replying node knows of a service that requests of the
// call's route use, directly or through child calls.
type ServiceView struct {
	Service  string
	Cost     time.Duration // time of its targets that one request of the route uses
	Requests float64       // number of requests that the service receives for it
	// Pressures are those of the service by priority, in units of PressureUnit. The
	// last one holds for all less important priorities, too. Empty if unknown.
	Pressures []byte
	Age       time.Duration // time since the pressures were observed at the targets
	// Rejected is the share of arrivals that the service's targets reject, and RejectedAge the
	// time since that was observed.
	Rejected    float64
	RejectedAge time.Duration
}

// Reply is the end of a call.
type Reply struct {
	Outcome  Outcome
	Reason   Reason
	Arrived  bool // the call reached the target
	Status   int
	Header   []string // alternating names and values
	Body     []byte
	Rest     [][]byte      // parts of a long body that follow Body
	Lease    *memory.Lease // of the memory of a long body, nil for a short one
	Invalid  error         // why the response that the peer passed on can't be used; not sent
	Load     Load
	Views    []ServiceView
	Origin   callgraph.Origin // who sends requests of the route
	Duration time.Duration    // from sending the request to the target until its response
	Stated   *Statement       // of the local target; nil if it states nothing
	// CountsRetries tells that the node keeps the retry budget of its target's service. Nodes
	// of earlier builds leave it to the senders.
	CountsRetries bool
}

// IsRateLimited reports whether the target states a rate limit.
func (r *Reply) IsRateLimited() bool { return r.Stated != nil && r.Stated.RateLimit > 0 }

// Statement is what a target states for all nodes together.
type Statement struct {
	Born      int64   // start of the target's incarnation, in Unix milliseconds
	RateLimit float64 // requests per second, 0 if the target states no limit
	Leaving   bool
}

// Load is the number of requests at a target, and its capacity.
type Load struct {
	Running int // at the target, as counted by its node
	Waiting int // queued at its node and at the target
	Slots   int // concurrency limit of the target; a large number if it has none
	// RateUse is how much of the target's rate limit is in use, above 1 while requests wait
	// for it; 0 if the target states none.
	RateUse float32
	// ServiceTime is how long the target is expected to take for the next request of the
	// call's route, in ServiceTimeUnit; 0 if unknown, as from earlier builds.
	ServiceTime uint32
	// Slowdown is how long work takes at the target at present, in percent of the usual
	// time, as the target states it; 0 if it doesn't.
	Slowdown uint16
}

// ServiceTimeUnit is the unit of Load.ServiceTime.
const ServiceTimeUnit = 100 * time.Microsecond

// Hello carries a record: that of the sender, when a connection opens and when the
// record changes, or one of another node that the sender passes on.
type Hello struct {
	Record     roster.Record
	StoreEpoch epoch.ID // of the platform's store, as the sender knows it
	TakesParts bool     // the sender takes long bodies in parts
}

// State is the reply to a pull.
type State struct {
	Configuration *route.Configuration // nil if the node has none
	Records       []roster.Record
}
