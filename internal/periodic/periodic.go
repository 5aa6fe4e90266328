// Package periodic runs jobs at fixed intervals.
package periodic

import (
	"context"
	"time"
)

// Every calls job once per interval, first after one interval, and returns when the
// context ends. If job takes longer than the interval, ticks are dropped.
func Every(ctx context.Context, interval time.Duration, job func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			job()
		}
	}
}
