package agent

import (
	"context"
	"time"
)

const (
	// idleInterval is the time between ticks of an idle table.
	idleInterval = 500 * time.Millisecond
	// idleAfter is how long a table must have had no work until it counts as idle.
	idleAfter = 2 * time.Second
)

// pacer ticks a table at short intervals while it has work and at idleInterval while
// it has none, because ticks are most of the CPU time of an idle node.
type pacer struct {
	wake chan struct{}
}

func newPacer() pacer { return pacer{wake: make(chan struct{}, 1)} }

// notify makes the pacer tick at short intervals again. It is called when the table
// gets work.
func (p pacer) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run ticks until the context ends. tick reports whether the table has work.
func (p pacer) run(ctx context.Context, interval time.Duration, tick func() (busy bool)) {
	idle := time.Duration(0)
	for ctx.Err() == nil {
		if tick() {
			idle = 0
		}
		if idle < idleAfter {
			idle += interval
			pause(ctx, interval)
			continue
		}
		if p.awaitWork(ctx, idleInterval) {
			idle = 0
		}
	}
}

// awaitWork waits for a call of notify. It returns false if none comes in time.
func (p pacer) awaitWork(ctx context.Context, atMost time.Duration) bool {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-p.wake:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
