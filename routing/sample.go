package routing

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
)

// ChooseOptions narrows the choice of a target for one call.
type ChooseOptions struct {
	Exclude   []fleet.InstanceID // instances that earlier attempts went to
	Operation string
	Prefer    fleet.InstanceID // chosen if it is available; "" for no preference
}

// Feedback is the state of a target's queue that its node reports in a reply.
type Feedback struct {
	Running  int
	Limit    int // concurrency limit, 0 if the reply carried no load
	Queued   int
	Draining bool
}

// Sample is the observed result of one call.
type Sample struct {
	Operation string
	Latency   time.Duration
	Outcome   call.Outcome
	Reason    call.Reason
	Feedback  Feedback
	// ConnectFailed is set if no connection to the instance could be made, so
	// that nothing was sent.
	ConnectFailed bool
	// Cancelled is set if the sender cancelled the call, for example because a
	// hedge completed first.
	Cancelled bool
}
