package store

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumford/gypsumford/epoch"
)

// Guards against a follower that calls the store while it needn't, and against one that waits for
// changes from an old state on when it has to again.
func TestFollowerThatNeedsNoChangesMakesNoCalls(t *testing.T) {
	var watches atomic.Bool
	var reads, waits atomic.Int64
	waiting := make(chan struct{}, 1)
	source := &scriptedSource{
		read: func(n int) ([]Change[int], epoch.Revision, error) {
			reads.Store(int64(n))
			return nil, rev(n), nil
		},
		wait: func(ctx context.Context, since epoch.Revision) ([]Change[int], epoch.Revision, error) {
			if since != rev(2) {
				t.Errorf("waited for changes since %v", since)
			}
			waits.Add(1)
			waiting <- struct{}{}
			<-ctx.Done()
			return nil, epoch.Revision{}, ctx.Err()
		},
	}
	f := NewFollower[int](source)
	f.OnState, f.OnChange = func([]Change[int], epoch.ID) {}, func([]Change[int]) {}
	f.OnFailure, f.OnRecovery = func(error) {}, func() {}
	f.Watches = watches.Load
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	time.Sleep(2 * idleInterval)
	if reads.Load() > 1 || waits.Load() > 0 {
		t.Errorf("%d reads and %d waits while no changes are needed", reads.Load(), waits.Load())
	}
	watches.Store(true)
	select {
	case <-waiting:
	case <-ctx.Done():
		t.Error("it doesn't wait for changes although they are needed")
	}
	cancel()
	<-done
}
