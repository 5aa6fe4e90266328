package claim

import (
	"slices"
	"time"
)

// recordState tells how far a key has come at this home.
type recordState uint8

const (
	// unclaimed: the key waits for its claim to be written.
	unclaimed recordState = iota
	// owned: the claim is this home's, and the key has not run.
	owned
	// running: the key was handed to the daemon to run.
	running
	// releasing: a write that gives the claim back is in flight or unsettled.
	releasing
)

// waiter is a call that waits for a decision on its key.
type waiter struct {
	id       WaiterID
	deadline time.Time
}

// record is a key that waits, runs, or is claimed and has not run.
type record struct {
	key       Key
	state     recordState
	sequence  uint64 // number of the claim
	inDoubt   bool   // a write that may take effect has this claim, or its release
	waiters   []waiter
	idleSince time.Time // while owned: when the last waiter went
}

func (r *record) entry(self Claimant) entry {
	return entry{r.key.fingerprint, r.key.millis, self, r.sequence}
}

func (r *record) removeWaiter(id WaiterID) {
	r.waiters = slices.DeleteFunc(r.waiters, func(w waiter) bool { return w.id == id })
}

// takeExpired removes and returns the waiters whose deadline has passed.
func (r *record) takeExpired(now time.Time) []waiter {
	var expired []waiter
	r.waiters = slices.DeleteFunc(r.waiters, func(w waiter) bool {
		late := !now.Before(w.deadline)
		if late {
			expired = append(expired, w)
		}
		return late
	})
	return expired
}
