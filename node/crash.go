package node

import (
	"context"
	"slices"
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
	// cancelledCheckInterval is the time between checks, during cancelledRunMemory, whether the
	// target has crashed by a run that was cancelled: no connection breaks that would show it.
	cancelledCheckInterval = 200 * time.Millisecond
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

// fingerprintOf returns the fingerprint of a call. Calls of targets name no account.
func fingerprintOf(c *link.Call) quarantine.Fingerprint {
	return quarantine.FingerprintOfParts(&quarantine.Request{Account: c.Account, Method: c.Method, Host: c.Host, URI: c.URI, Body: c.Body}, c.Rest)
}

// beginWrite records that a call is about to be written to the target.
func (d *delivery) beginWrite(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.writtenAt = d.now()
	d.mu.runs[r] = struct{}{}
}

// endWrite records that a call is no longer in flight at the target. One that was cancelled is
// kept for a while.
func (d *delivery) endWrite(r *run, cancelled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if cancelled && !r.writtenAt.IsZero() {
		r.cancelledAt = now
		if !d.mu.checkingCancelled {
			d.mu.checkingCancelled = true
			time.AfterFunc(cancelledCheckInterval, d.checkCancelled)
		}
	} else {
		delete(d.mu.runs, r)
	}
	if len(d.mu.runs) > d.mu.limiter.Running() {
		d.forgetCancelled(now)
	}
}

// checkCancelled looks whether the target has crashed by a run that was cancelled, until such runs
// are forgotten. Connections that are open show that it hasn't, so mostly none is made.
func (d *delivery) checkCancelled() {
	d.mu.Lock()
	d.forgetCancelled(d.now())
	var cancelled *run
	inFlight := false
	for r := range d.mu.runs {
		if r.cancelledAt.IsZero() {
			inFlight = true // its connection shows a crash
		} else if !r.crashed {
			cancelled = r
		}
	}
	d.mu.checkingCancelled = cancelled != nil
	d.mu.Unlock()
	if cancelled == nil {
		return
	}
	if !inFlight && !d.pool.HasOpenIdle() {
		d.hasCrashed(cancelled)
	}
	time.AfterFunc(cancelledCheckInterval, d.checkCancelled)
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
// when the connection of the call has broken. When it returns, the crash has been reported to
// peers.
func (d *delivery) hasCrashed(r *run) bool {
	d.crashCheck.Lock()
	defer d.crashCheck.Unlock()
	d.mu.Lock()
	known := r.crashed
	d.mu.Unlock()
	if known {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), endedCheckTimeout)
	defer cancel()
	if !d.pool.HasEnded(ctx) {
		return false
	}
	crash, isCrash := d.recordEnd(r.target)
	if isCrash {
		crash.Suspects = d.tables.mostSuspicious(crash.Suspects)
		d.onCrash(crash)
	}
	return isCrash
}

// recordEnd records that the process of an incarnation of the target has ended. The end is
// a crash unless the target was leaving. What was in flight and hasn't completed elsewhere a
// moment ago is suspect.
func (d *delivery) recordEnd(target roster.Target) (crash quarantine.Crash, isCrash bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	current, drainStart := d.mu.local.Target()
	isCurrent := current.ID == target.ID && current.Born == target.Born
	isCrash = !isCurrent || drainStart.IsZero() && !current.Leaving
	inFlight := d.runsInFlight(target)
	d.log.targetEnded(&target, !isCrash, inFlight, now)
	if !isCrash {
		d.metrics.targetEnds.Add("planned", 1)
		return crash, false
	}
	d.metrics.targetEnds.Add("crash", 1)
	d.mu.local.Ended(target)
	crash = quarantine.Crash{Born: target.Born, At: now.UnixMilli(), Service: target.Service, Version: target.Version}
	slices.SortFunc(inFlight, func(a, b *run) int { return b.writtenAt.Compare(a.writtenAt) })
	for _, r := range inFlight {
		r.crashed = true
		if !d.mu.completions.Refutes(r.fingerprint, crash.At) {
			crash.Suspects = append(crash.Suspects, r.fingerprint)
		}
	}
	return crash, true
}

// runsInFlight returns the runs at an incarnation of the target, those included that were
// cancelled a moment ago. The lock is held.
func (d *delivery) runsInFlight(target roster.Target) []*run {
	d.forgetCancelled(d.now())
	var runs []*run
	for r := range d.mu.runs {
		if r.target.ID == target.ID && r.target.Born == target.Born && !r.crashed {
			runs = append(runs, r)
		}
	}
	return runs
}

// completed records that a request has run to a response at the target, and reports to peers that
// it is no suspect there any more.
func (d *delivery) completed(f quarantine.Fingerprint, target *roster.Target) {
	d.mu.Lock()
	d.mu.completions.Record(d.now(), f)
	d.mu.Unlock()
	ranOn := quarantine.Software{Service: target.Service, Version: target.Version}
	if clearances := d.tables.clearancesFor(f, ranOn); len(clearances) > 0 {
		d.onCleared(clearances)
	}
}

// refutes reports whether a request that is a suspect by a crash has completed at the local
// target.
func (d *delivery) refutes(f quarantine.Fingerprint, crash int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.completions.Refutes(f, crash)
}

// beginProbation decides whether the local target may run a call now, by what is known of its
// request. endProbation is called when the run has ended.
func (d *delivery) beginProbation(f quarantine.Fingerprint) (endProbation func(), mayRun bool) {
	placement, candidates := d.tables.place(d.now(), f, d.service)
	if placement.Spares(candidates, d.instance) {
		return func() {}, true
	}
	if !placement.Allows(candidates, d.instance) {
		return nil, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.mu.probation.Begin(placement.IsApart()) {
		return nil, false
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.mu.probation.End()
	}, true
}
