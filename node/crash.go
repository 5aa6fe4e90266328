package node

import (
	"context"
	"time"

	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/quarantine"
	"github.com/gypsumford/gypsumford/roster"
)

const (
	// endedCheckTimeout bounds the check whether the target's process has ended.
	endedCheckTimeout = 200 * time.Millisecond
	// cancelledRunMemory is how long a run that was cancelled counts as in flight. The target
	// may still work on it, and crash by it.
	cancelledRunMemory = 1 * time.Second
	// maxSuspectsPerCrash bounds the calls that are recorded as in flight at a crash.
	maxSuspectsPerCrash = 128
)

// run is a call that is sent to the local target, until it ends.
type run struct {
	call        *link.Call
	fingerprint quarantine.Fingerprint
	target      roster.Target // incarnation that it is sent to
	writtenAt   time.Time     // when it was written to the target, zero before
	cancelledAt time.Time     // zero unless it was cancelled
	crashed     bool          // the target crashed while the call was in flight
}

// fingerprintOf returns the fingerprint of a call. Calls name no account.
func fingerprintOf(c *link.Call) quarantine.Fingerprint {
	return quarantine.FingerprintOf(&quarantine.Request{Method: c.Method, Host: c.Host, URI: c.URI, Body: c.Body})
}

// beginWrite records that a call is about to be written to the target.
func (d *delivery) beginWrite(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.writtenAt = d.now()
	d.mu.runs[r] = struct{}{}
}

// endRunInFlight records the end of a run. One that was cancelled is kept for a while.
func (d *delivery) endRunInFlight(r *run, cancelled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if cancelled && !r.writtenAt.IsZero() {
		r.cancelledAt = now
	} else {
		delete(d.mu.runs, r)
	}
	if len(d.mu.runs) > d.mu.limiter.Running() {
		d.forgetCancelled(now)
	}
}

// forgetCancelled drops runs that were cancelled long ago. The lock is held.
func (d *delivery) forgetCancelled(now time.Time) {
	for r := range d.mu.runs {
		if !r.cancelledAt.IsZero() && now.Sub(r.cancelledAt) > cancelledRunMemory {
			delete(d.mu.runs, r)
		}
	}
}

// hasCrashed reports whether the target crashed while the call was in flight. It is called
// when the connection of the call has broken. A target that was leaving may end.
func (d *delivery) hasCrashed(r *run) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endedCheckTimeout)
	defer cancel()
	d.mu.Lock()
	known := r.crashed
	d.mu.Unlock()
	if !known && !d.pool.HasEnded(ctx) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.crashed {
		return true
	}
	current, drainStart := d.mu.local.Target()
	planned := current.ID == r.target.ID && (!drainStart.IsZero() || current.Leaving)
	suspects := d.runsInFlight(r.target)
	d.log.targetEnded(&r.target, planned, suspects, d.now())
	if planned {
		d.metrics.targetEnds.Add("planned", 1)
		return false
	}
	d.metrics.targetEnds.Add("crash", 1)
	for _, s := range suspects {
		s.crashed = true
	}
	return true
}

// runsInFlight returns the runs at an incarnation of the target, those included that were
// cancelled a moment ago. The lock is held.
func (d *delivery) runsInFlight(target roster.Target) []*run {
	d.forgetCancelled(d.now())
	var runs []*run
	for r := range d.mu.runs {
		if r.target.ID == target.ID && r.target.Born == target.Born && !r.crashed && len(runs) < maxSuspectsPerCrash {
			runs = append(runs, r)
		}
	}
	return runs
}
