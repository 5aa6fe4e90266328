package store

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/epoch"
)

// rev returns a revision of the first epoch.
func rev(number int) epoch.Revision { return epoch.Revision{Epoch: 1, Number: uint64(number)} }

// scriptedSource is a source whose calls return what the functions of the test return. n is the
// number of the read, from 1 on.
type scriptedSource struct {
	mu    sync.Mutex
	reads int
	read  func(n int) ([]Change[int], epoch.Revision, error)
	wait  func(ctx context.Context, since epoch.Revision) ([]Change[int], epoch.Revision, error)
}

func (s *scriptedSource) Read(context.Context) ([]Change[int], epoch.Revision, error) {
	s.mu.Lock()
	s.reads++
	n := s.reads
	s.mu.Unlock()
	return s.read(n)
}

func (s *scriptedSource) Wait(ctx context.Context, since epoch.Revision, _ time.Duration) ([]Change[int], epoch.Revision, error) {
	return s.wait(ctx, since)
}

// follow runs a follower until it has received the value want, and calls during after the start.
// It returns the numbers of calls of OnFailure and OnRecovery.
func follow(t *testing.T, source *scriptedSource, want int, pause func() time.Duration, during func(f *Follower[int])) (failures, recoveries int) {
	f := NewFollower[int](source)
	received := make(chan int, 100)
	receive := func(changes []Change[int]) {
		for _, c := range changes {
			received <- c.Value
		}
	}
	var mu sync.Mutex
	f.OnState, f.OnChange = func(c []Change[int], _ epoch.ID) { receive(c) }, receive
	f.OnFailure = func(error) { mu.Lock(); failures++; mu.Unlock() }
	f.OnRecovery = func() { mu.Lock(); recoveries++; mu.Unlock() }
	f.MaxBackoff = func() time.Duration { return time.Minute }
	f.Pause = pause
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	if during != nil {
		during(f)
	}
	for value := 0; value != want; {
		select {
		case value = <-received:
		case <-ctx.Done():
			t.Fatalf("value %d was not received", want)
		}
	}
	cancel()
	<-done
	mu.Lock()
	defer mu.Unlock()
	return failures, recoveries
}

func values(v ...int) []Change[int] {
	var changes []Change[int]
	for _, value := range v {
		changes = append(changes, Change[int]{Value: value})
	}
	return changes
}

func waitForever(ctx context.Context, _ epoch.Revision) ([]Change[int], epoch.Revision, error) {
	<-ctx.Done()
	return nil, epoch.Revision{}, ctx.Err()
}

func TestFollower(t *testing.T) {
	Convey("When the history is no longer available the state is read again, and no failure is reported", t, func() {
		source := &scriptedSource{read: func(n int) ([]Change[int], epoch.Revision, error) { return values(n), rev(n), nil }}
		source.wait = func(ctx context.Context, since epoch.Revision) ([]Change[int], epoch.Revision, error) {
			if since == rev(1) {
				return nil, epoch.Revision{}, ErrCompacted
			}
			return waitForever(ctx, since)
		}
		failures, _ := follow(t, source, 2, nil, nil)
		So(failures, ShouldEqual, 0)
	})
	Convey("An unavailable store is retried, and its recovery is reported once", t, func() {
		source := &scriptedSource{wait: func(ctx context.Context, since epoch.Revision) ([]Change[int], epoch.Revision, error) {
			if since == rev(3) {
				return values(9), rev(4), nil
			}
			return waitForever(ctx, since)
		}}
		source.read = func(n int) ([]Change[int], epoch.Revision, error) {
			if n < 3 {
				return nil, epoch.Revision{}, ErrRefused
			}
			return values(n), rev(n), nil
		}
		failures, recoveries := follow(t, source, 9, nil, nil)
		So(failures, ShouldEqual, 2)
		So(recoveries, ShouldEqual, 1)
	})
	Convey("Refresh ends the wait, and the source is read", t, func() {
		source := &scriptedSource{wait: waitForever, read: func(n int) ([]Change[int], epoch.Revision, error) { return values(n), rev(1), nil }}
		failures, _ := follow(t, source, 2, nil, func(f *Follower[int]) {
			time.Sleep(50 * time.Millisecond)
			f.Refresh()
		})
		So(failures, ShouldEqual, 0)
	})
}

func TestChangesThatComeTogetherCostOneRead(t *testing.T) {
	Convey("With a pause, all changes during it are covered by one read", t, func() {
		const changes = 20
		source := &scriptedSource{}
		revision := rev(0)
		source.read = func(int) ([]Change[int], epoch.Revision, error) { return values(int(revision.Number)), revision, nil }
		source.wait = func(ctx context.Context, since epoch.Revision) ([]Change[int], epoch.Revision, error) {
			if since.Number >= changes {
				return waitForever(ctx, since)
			}
			revision = rev(changes) // the other changes happen during the pause
			return values(int(since.Number) + 1), rev(int(since.Number) + 1), nil
		}
		follow(t, source, changes, nil, func(f *Follower[int]) {})
		So(source.reads, ShouldEqual, 1) // without a pause each change is received by a wait

		revision, source.reads = rev(0), 0
		f := NewFollower[int](source)
		received := make(chan int, 3*changes)
		f.OnState = func(c []Change[int], _ epoch.ID) { received <- c[0].Value }
		f.OnChange = func([]Change[int]) {}
		f.OnRecovery, f.OnFailure = func() {}, func(error) {}
		f.Pause = func() time.Duration { return time.Millisecond }
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		So(<-received, ShouldEqual, 0)
		So(<-received, ShouldEqual, changes)
		cancel()
		<-done
		So(source.reads, ShouldEqual, 2)
	})
}

// Guards against a lost change: the state that is read after a change may be older than that
// change.
func TestStaleStateLosesNoChange(t *testing.T) {
	Convey("After a change an older state is read, and the wait continues from its revision", t, func() {
		const last = 5
		source := &scriptedSource{}
		source.read = func(int) ([]Change[int], epoch.Revision, error) { return values(0), rev(0), nil }
		source.wait = func(ctx context.Context, since epoch.Revision) ([]Change[int], epoch.Revision, error) {
			if since.Number >= last {
				return waitForever(ctx, since)
			}
			return values(int(since.Number) + 1), rev(int(since.Number) + 1), nil
		}
		staleRevision := 0
		f := NewFollower[int](source)
		received := make(chan int, 100)
		receive := func(c []Change[int]) { received <- c[0].Value }
		f.OnState, f.OnChange = func(c []Change[int], _ epoch.ID) { receive(c) }, receive
		f.OnRecovery, f.OnFailure = func() {}, func(error) {}
		f.Pause = func() time.Duration { return time.Millisecond }
		f.ReadAfterChange = func(context.Context) ([]Change[int], epoch.Revision, error) {
			staleRevision++ // one revision behind the change that was received
			return values(staleRevision - 1), rev(staleRevision - 1), nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		for value := 0; value != last; {
			value = <-received
		}
		cancel()
		<-done
		So(source.reads, ShouldEqual, 1)
	})
}

func TestPausesBetweenFailedReads(t *testing.T) {
	Convey("They grow up to the bound, and Refresh ends them", t, func() {
		available := make(chan struct{})
		source := &scriptedSource{}
		source.read = func(n int) ([]Change[int], epoch.Revision, error) {
			select {
			case <-available:
				return []Change[int]{{Value: 1}}, rev(1), nil
			default:
				return nil, epoch.Revision{}, ErrRefused
			}
		}
		source.wait = func(ctx context.Context, _ epoch.Revision) ([]Change[int], epoch.Revision, error) {
			<-ctx.Done()
			return nil, epoch.Revision{}, ctx.Err()
		}
		failures, _ := follow(t, source, 1, nil, func(f *Follower[int]) {
			time.Sleep(600 * time.Millisecond) // the pause is longer than a second by now
			close(available)
			f.Refresh()
		})
		So(failures, ShouldBeLessThan, 6)
	})
}

func TestPauseAfterAChange(t *testing.T) {
	Convey("Refresh ends it, and the newest state is read", t, func() {
		source := &scriptedSource{}
		source.read = func(n int) ([]Change[int], epoch.Revision, error) { return []Change[int]{{Value: n}}, rev(1), nil }
		first := true
		source.wait = func(ctx context.Context, _ epoch.Revision) ([]Change[int], epoch.Revision, error) {
			if first {
				first = false
				return []Change[int]{{Value: 10}}, rev(2), nil
			}
			<-ctx.Done()
			return nil, epoch.Revision{}, ctx.Err()
		}
		follow(t, source, 2, func() time.Duration { return time.Minute }, func(f *Follower[int]) {
			time.Sleep(50 * time.Millisecond) // the change has been received by now
			f.Refresh()
		})
	})
}

// Guards against a follower that goes on from a revision of the history before a restore.
func TestFollowerAfterARestore(t *testing.T) {
	inEpoch := func(id epoch.ID) epoch.Revision { return epoch.Revision{Epoch: id, Number: 7} }
	Convey("A wait that ends with another epoch is followed by a read, and no failure is reported", t, func() {
		source := &scriptedSource{read: func(n int) ([]Change[int], epoch.Revision, error) { return values(n), inEpoch(epoch.ID(n)), nil }}
		source.wait = func(ctx context.Context, since epoch.Revision) ([]Change[int], epoch.Revision, error) {
			if since.Epoch == 1 {
				return nil, epoch.Revision{}, ErrRestored
			}
			return waitForever(ctx, since)
		}
		failures, _ := follow(t, source, 2, nil, nil)
		So(failures, ShouldEqual, 0)
	})
	Convey("A store that states no epoch any more isn't read without end", t, func() {
		source := &scriptedSource{wait: waitForever}
		source.read = func(n int) ([]Change[int], epoch.Revision, error) {
			if n == 1 {
				return values(n), inEpoch(1), nil
			}
			return values(n), epoch.Revision{Number: 7}, nil
		}
		follow(t, source, 2, nil, func(f *Follower[int]) {
			time.Sleep(50 * time.Millisecond)
			f.Restored(2)
			time.Sleep(200 * time.Millisecond)
		})
		So(source.reads, ShouldEqual, 2)
	})
	Convey("A restore that another call has shown ends the wait, and the state is read once", t, func() {
		source := &scriptedSource{wait: waitForever}
		source.read = func(n int) ([]Change[int], epoch.Revision, error) {
			if n == 1 {
				return values(n), inEpoch(1), nil
			}
			return values(n), inEpoch(2), nil
		}
		follow(t, source, 2, nil, func(f *Follower[int]) {
			time.Sleep(50 * time.Millisecond) // the follower waits for changes by now
			f.Restored(2)
			f.Restored(2)
			time.Sleep(50 * time.Millisecond)
			f.Restored(2)
			time.Sleep(50 * time.Millisecond)
		})
		So(source.reads, ShouldEqual, 2)
	})
}

// A follower that was told of one epoch, while each of its reads states another, read without a
// pause.
func TestReadsPauseWhileTheEpochDisagrees(t *testing.T) {
	source := &scriptedSource{
		read: func(int) ([]Change[int], epoch.Revision, error) {
			return nil, epoch.Revision{Epoch: 7, Number: 1}, nil
		},
		wait: func(ctx context.Context, _ epoch.Revision) ([]Change[int], epoch.Revision, error) {
			<-ctx.Done()
			return nil, epoch.Revision{}, ctx.Err()
		},
	}
	f := NewFollower[int](source)
	f.OnState, f.OnChange = func([]Change[int], epoch.ID) {}, func([]Change[int]) {}
	f.OnFailure, f.OnRecovery = func(error) {}, func() {}
	f.MaxBackoff = func() time.Duration { return time.Second }
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	f.Restored(8)
	f.Run(ctx)
	source.mu.Lock()
	defer source.mu.Unlock()
	if source.reads > 20 {
		t.Errorf("%d reads in 2 s", source.reads)
	}
}
