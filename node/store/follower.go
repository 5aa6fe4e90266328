package store

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/epoch"
)

const (
	// maxWait is how long one call waits for changes. The store allows no longer wait.
	maxWait = 30 * time.Second
	// responseMargin is how much longer than maxWait the response to that call may take.
	responseMargin = 1500 * time.Millisecond
	readTimeout    = 1 * time.Second
	minBackoff     = 100 * time.Millisecond
	// idleInterval is the time between checks whether the follower is to wait at its source.
	idleInterval = 250 * time.Millisecond
	// maxBackoff bounds the mean pause after a failed call if Follower.MaxBackoff isn't set.
	maxBackoff = 1 * time.Second
)

// Follower reads one source and passes its state and its changes to callbacks. OnState,
// OnChange, OnFailure and OnRecovery must be set before Run.
type Follower[T any] struct {
	Source Source[T]
	// OnState receives the whole state after each read, with its epoch, and OnChange the
	// changes since then.
	OnState  func(state []Change[T], read epoch.ID)
	OnChange func([]Change[T])
	// OnFailure is called after each call that failed, OnRecovery after the first read that
	// succeeds again.
	OnFailure  func(error)
	OnRecovery func()
	// MaxBackoff returns the bound on the mean pause after failed calls. It is optional.
	MaxBackoff func() time.Duration
	// RestorePause returns how long to wait, after the store was restored, before the whole
	// state is read, so that many nodes don't read at the same time. It is optional.
	RestorePause func() time.Duration
	// Pause returns how long to wait after a change before the whole state is read, so
	// that many changes within a short time cost few calls. Without it, the follower waits for each
	// change and doesn't read again. It is optional.
	Pause func() time.Duration
	// ReadAfterChange replaces the source's Read after a change and its pause, unless Refresh
	// ended the pause. It may return a state that is seconds old: the next wait continues
	// from that state's revision, so no change is lost. It is optional.
	ReadAfterChange func(ctx context.Context) ([]Change[T], epoch.Revision, error)

	// Watches reports whether to wait for changes at the source. While it doesn't, others tell
	// the node of changes; it is asked again every idleInterval. It is optional.
	Watches func() bool

	failing       atomic.Bool // Run's last call has failed
	refresh       chan struct{}
	restored      atomic.Uint64 // the epoch that Restored was called with last, 0 if it wasn't
	restoreSignal chan struct{}
}

// NewFollower returns a follower that isn't running.
func NewFollower[T any](source Source[T]) *Follower[T] {
	return &Follower[T]{Source: source, refresh: make(chan struct{}, 1), restoreSignal: make(chan struct{}, 1)}
}

// Refresh makes the follower read the source at once instead of waiting, because a peer has
// reported a change or the node needs the newest state.
func (f *Follower[T]) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Restored makes the follower read the whole state of the epoch after RestorePause, unless it
// has done so.
func (f *Follower[T]) Restored(current epoch.ID) {
	f.restored.Store(uint64(current))
	select {
	case f.restoreSignal <- struct{}{}:
	default:
	}
}

// IsFailing reports whether Run's last call has failed, so that Run is about to read the source
// again.
func (f *Follower[T]) IsFailing() bool { return f.failing.Load() }

// isOutdated reports whether the store has begun another epoch since the given one. A read
// that states no epoch can't be compared, and reading again may state none either.
func (f *Follower[T]) isOutdated(read epoch.ID) bool {
	current := epoch.ID(f.restored.Load())
	return current != epoch.Unknown && read != epoch.Unknown && current != read
}

// Poll reads the source once, concurrently with Run's wait for changes. It ignores errors,
// because Run's own calls fail in the same way and report them.
func (f *Follower[T]) Poll(ctx context.Context) {
	_, _ = f.readAll(ctx, f.Source.Read)
}

// Run follows the source until the context ends.
func (f *Follower[T]) Run(ctx context.Context) {
	backoff := minBackoff
	restoreBackoff := minBackoff
	read := f.Source.Read
	lastRead := epoch.Unknown
	for ctx.Err() == nil {
		if f.isOutdated(lastRead) {
			read = f.Source.Read // a stale state may be of the earlier epoch
			f.pauseAfterRestore(ctx)
		}
		revision, err := f.readAll(ctx, read)
		read = f.Source.Read
		if err == nil {
			lastRead = revision.Epoch
			if f.isOutdated(lastRead) {
				err = errors.Wrapf(ErrRestored, "a state of epoch %s was read", lastRead)
			}
		}
		for err == nil && ctx.Err() == nil {
			if f.failing.Swap(false) {
				f.OnRecovery()
			}
			backoff = minBackoff
			var changed bool
			revision, changed, err = f.wait(ctx, revision)
			if err == nil {
				restoreBackoff = minBackoff
			}
			if changed && f.Pause != nil {
				break // one read covers all changes, a wait may return only one
			}
		}
		if err == nil && f.Pause != nil {
			refreshed := f.sleep(ctx, f.Pause())
			if f.ReadAfterChange != nil && !refreshed {
				read = f.ReadAfterChange
			}
		}
		if ctx.Err() != nil || err == nil || errors.Is(err, errRefresh) || errors.Is(err, ErrCompacted) {
			continue
		}
		if errors.Is(err, ErrRestored) {
			// The pauses grow while the epoch keeps changing between a read and a wait.
			f.sleep(ctx, restoreBackoff/2+rand.N(restoreBackoff))
			restoreBackoff = min(2*restoreBackoff, f.maxBackoff())
			continue
		}
		f.failing.Store(true)
		f.OnFailure(err)
		f.sleep(ctx, backoff/2+rand.N(backoff)) // random, so that the nodes don't call at the same time
		backoff = min(2*backoff, f.maxBackoff())
	}
}

// pauseAfterRestore waits for RestorePause.
func (f *Follower[T]) pauseAfterRestore(ctx context.Context) {
	if f.RestorePause == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(f.RestorePause()):
	}
}

func (f *Follower[T]) maxBackoff() time.Duration {
	if f.MaxBackoff == nil {
		return maxBackoff
	}
	return f.MaxBackoff()
}

func (f *Follower[T]) readAll(ctx context.Context, read func(context.Context) ([]Change[T], epoch.Revision, error)) (epoch.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, revision, err := read(ctx)
	if err != nil {
		return epoch.Revision{}, err
	}
	f.OnState(state, revision.Epoch)
	return revision, nil
}

// errRefresh means that Refresh ended the wait.
var errRefresh = errors.New("refresh requested")

// wait passes the changes since the revision to OnChange. It returns the revision to continue
// from and whether there were changes.
func (f *Follower[T]) wait(ctx context.Context, since epoch.Revision) (epoch.Revision, bool, error) {
	if f.idle(ctx, since.Epoch) {
		return epoch.Revision{}, false, errRefresh
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait+responseMargin)
	defer cancel()
	refreshed := make(chan bool, 1)
	done := make(chan struct{})
	go func() {
		refreshed <- f.awaitRefresh(since.Epoch, done)
		cancel()
	}()
	changes, revision, err := f.Source.Wait(ctx, since, maxWait)
	close(done)
	if <-refreshed && err != nil {
		return epoch.Revision{}, false, errRefresh
	}
	if err != nil {
		return epoch.Revision{}, false, err
	}
	if len(changes) > 0 {
		f.OnChange(changes)
	}
	return revision, len(changes) > 0, nil
}

// idle waits as long as Watches returns false, unless the state is to be read again before. It
// reports whether it has waited: the state that was read may then be old.
func (f *Follower[T]) idle(ctx context.Context, read epoch.ID) (waited bool) {
	for f.Watches != nil && !f.Watches() && !f.isOutdated(read) && ctx.Err() == nil {
		waited = true
		if f.sleep(ctx, idleInterval) {
			return true
		}
	}
	return waited
}

// awaitRefresh waits until the whole state is to be read again, and returns true, or until
// done is closed.
func (f *Follower[T]) awaitRefresh(read epoch.ID, done <-chan struct{}) bool {
	for !f.isOutdated(read) {
		select {
		case <-f.refresh:
			return true
		case <-f.restoreSignal:
		case <-done:
			return false
		}
	}
	return true
}

// sleep waits for the time, until Refresh or Restored is called or until the context ends. It
// reports whether Refresh was called.
func (f *Follower[T]) sleep(ctx context.Context, d time.Duration) (refreshed bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.restoreSignal:
	case <-f.refresh:
		return true
	}
	return false
}
