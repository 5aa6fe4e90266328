package routing

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
)

// Ask tells what a target is wanted for.
type Ask struct {
	Exclude   []fleet.InstanceID // instances that were tried already
	Operation string
	Prefer    fleet.InstanceID // taken if it can be, "" for none
}

// Feedback is what an answer tells of the target's queue.
type Feedback struct {
	Running  int
	Limit    int // 0 if the answer carried no feedback
	Queued   int
	Draining bool
}

// Sample is what came of one call.
type Sample struct {
	Operation string
	Latency   time.Duration
	Outcome   call.Outcome
	Reason    call.Reason
	Feedback  Feedback
	// ConnectFailed: the instance could not be reached; nothing was sent.
	ConnectFailed bool
	// Cancelled: the sender gave up the call, for example since a hedge won.
	Cancelled bool
}
