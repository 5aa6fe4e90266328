package quarantine

import "time"

const (
	// maxUnfinished bounds the runs that are remembered. The oldest are forgotten first.
	maxUnfinished = 1024
	// deadlineMargin is how long after its deadline an unfinished run counts as in flight. Targets
	// stop at the deadline, but not to the millisecond.
	deadlineMargin = 1 * time.Second
)

// Unfinished remembers the runs at one target that the node waits for no more, though no response
// has ended them: their callers have left, or their connections broke. The target may work on such a
// run until its deadline, and crash by it; no connection shows that crash.
type Unfinished[Run any] struct {
	runs []unfinished[Run] // in the order in which they were added
}

type unfinished[Run any] struct {
	run   Run
	until time.Time
}

// Add adds a run with the deadline.
func (u *Unfinished[Run]) Add(run Run, deadline time.Time) {
	if len(u.runs) == maxUnfinished {
		u.runs = append(u.runs[:0], u.runs[1:]...)
	}
	u.runs = append(u.runs, unfinished[Run]{run, deadline.Add(deadlineMargin)})
}

// InFlight returns the runs that may be in flight still, and forgets the others.
func (u *Unfinished[Run]) InFlight(now time.Time) []Run {
	var runs []Run
	kept := u.runs[:0]
	for _, r := range u.runs {
		if now.Before(r.until) {
			kept = append(kept, r)
			runs = append(runs, r.run)
		}
	}
	clear(u.runs[len(kept):])
	u.runs = kept
	return runs
}
