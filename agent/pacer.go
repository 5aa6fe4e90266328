package agent

import (
	"context"
	"time"
)

const (
	// idleInterval is the time between ticks of a table that has nothing to do.
	idleInterval = 500 * time.Millisecond
	// idleAfter is how long a table must have had nothing to do to tick slowly.
	idleAfter = 2 * time.Second
)

// pacer ticks a table fast while it has work and slowly while it has none, as
// ticks are most of what a node at rest costs.
type pacer struct {
	wake chan struct{}
}

func newPacer() pacer { return pacer{wake: make(chan struct{}, 1)} }

// poke ends a slow pace: the table has got work.
func (p pacer) poke() {
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
		if p.await(ctx, idleInterval) {
			idle = 0
		}
	}
}

// await waits for a poke; it returns false if none came in time.
func (p pacer) await(ctx context.Context, atMost time.Duration) bool {
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
