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
	// unfinishedCheckInterval is the time between checks whether the target has crashed, while it
	// may work on runs that nobody waits for.
	unfinishedCheckInterval = 200 * time.Millisecond
)

// run is a call that is sent to the local target, until it ends.
type run struct {
	requestID   string
	route       string
	fingerprint quarantine.Fingerprint
	target      roster.Target // incarnation that it is sent to
	deadline    time.Time
	writtenAt   time.Time // when it was written to the target, zero before
	unfinished  bool      // nobody waits for its response any more
	ended       bool      // the target's process ended while the call was in flight
	crashed     bool      // by a crash
}

// isAt reports whether the run was sent to that incarnation of the target.
func (r *run) isAt(target *roster.Target) bool {
	return r.target.ID == target.ID && r.target.Born == target.Born
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

// endWrite records that nobody waits any more for the response to a call. The target may still work
// on it if there was none.
func (d *delivery) endWrite(r *run, responded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.mu.runs, r)
	if responded || r.ended || r.writtenAt.IsZero() {
		return
	}
	r.unfinished = true
	d.mu.unfinished.Add(r, r.deadline)
	if !d.mu.checkingUnfinished {
		d.mu.checkingUnfinished = true
		time.AfterFunc(unfinishedCheckInterval, d.checkUnfinished)
	}
}

// checkUnfinished looks whether the target has crashed by an unfinished run, until none is left.
func (d *delivery) checkUnfinished() {
	d.mu.Lock()
	r := d.lastUnfinished()
	d.mu.checkingUnfinished = r != nil
	d.mu.Unlock()
	if r != nil {
		d.noticeCrash(r)
		time.AfterFunc(unfinishedCheckInterval, d.checkUnfinished)
	}
}

// targetUnreachable looks at once whether the target has crashed by an unfinished run, as a call
// couldn't reach it.
func (d *delivery) targetUnreachable() {
	d.mu.Lock()
	r := d.lastUnfinished()
	d.mu.Unlock()
	if r != nil {
		d.noticeCrash(r)
	}
}

// noticeCrash looks whether the target has crashed by an unfinished run. An open connection shows
// that it hasn't, and one of a call in flight shows the crash itself, so mostly none is made.
func (d *delivery) noticeCrash(r *run) {
	d.mu.Lock()
	inFlight := len(d.mu.runs) > 0
	d.mu.Unlock()
	if !inFlight && !d.pool.HasOpenIdle() {
		d.hasCrashed(r)
	}
}

// lastUnfinished returns the last run at the current incarnation of the target that is unfinished, or
// nil. The lock is held.
func (d *delivery) lastUnfinished() *run {
	current, _ := d.mu.local.Target()
	for _, r := range slices.Backward(d.mu.unfinished.InFlight(d.now())) {
		if !r.ended && r.isAt(&current) {
			return r
		}
	}
	return nil
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
	return d.reportEnd(r.target, "connection-refused")
}

// reportEnd records that the process of an incarnation of the target has ended, and reports it to
// peers if that is a crash. sign is what showed the end, for the log. The lock for checks is held.
func (d *delivery) reportEnd(target roster.Target, sign string) (isCrash bool) {
	crash, isCrash := d.recordEnd(target, sign)
	if isCrash {
		crash.Suspects = d.tables.mostSuspicious(crash.Suspects)
		d.onCrash(crash)
	}
	return isCrash
}

// targetReplaced reports a crash of an incarnation that didn't state that it leaves, when the next one
// has taken its place. Mostly the crash is known by then; it isn't if the next one accepted connections
// before the node looked.
func (d *delivery) targetReplaced(before roster.Target) {
	d.crashCheck.Lock()
	defer d.crashCheck.Unlock()
	d.mu.Lock()
	unexplained := len(d.runsInFlight(before)) > 0
	d.mu.Unlock()
	if unexplained {
		d.reportEnd(before, "next-incarnation")
	}
}

// recordEnd records that the process of an incarnation of the target has ended. The end is
// a crash unless the target was leaving. What was in flight and hasn't completed elsewhere a
// moment ago is suspect.
func (d *delivery) recordEnd(target roster.Target, sign string) (crash quarantine.Crash, isCrash bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	current, drainStart := d.mu.local.Target()
	isCurrent := current.ID == target.ID && current.Born == target.Born
	isCrash = !isCurrent || drainStart.IsZero() && !current.Leaving
	inFlight := d.runsInFlight(target)
	for _, r := range inFlight {
		r.ended, r.crashed = true, isCrash
	}
	d.log.targetEnded(&target, sign, !isCrash, inFlight, now)
	if !isCrash {
		d.metrics.targetEnds.Add("planned", 1)
		return crash, false
	}
	d.metrics.targetEnds.Add("crash", 1)
	d.mu.local.Ended(target)
	crash = quarantine.Crash{Born: target.Born, At: now.UnixMilli(), Service: target.Service, Version: target.Version}
	slices.SortFunc(inFlight, func(a, b *run) int { return b.writtenAt.Compare(a.writtenAt) })
	for _, r := range inFlight {
		if !d.mu.completions.Refutes(r.fingerprint, crash.At) {
			crash.Suspects = append(crash.Suspects, r.fingerprint)
		}
	}
	return crash, true
}

// runsInFlight returns the runs at an incarnation of the target, those included that are unfinished.
// The lock is held.
func (d *delivery) runsInFlight(target roster.Target) []*run {
	var runs []*run
	for r := range d.mu.runs {
		if r.isAt(&target) && !r.ended {
			runs = append(runs, r)
		}
	}
	for _, r := range d.mu.unfinished.InFlight(d.now()) {
		if r.isAt(&target) && !r.ended {
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
