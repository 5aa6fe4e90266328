// Package store keeps a node's view of the platform's store up to date. Its inputs are one
// Source per kind of objects, with values of the project's own types, and requests to read at
// once. It passes states and changes to callbacks.
//
// A Follower reads the source once and then waits for changes. It reads again when the store
// no longer has the history from its revision on, or has begun another history. The store may be unavailable at any time:
// the node then goes on with the state that it has and with what its peers report.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/epoch"
)

var (
	// ErrCompacted means that the store no longer has the requested history.
	ErrCompacted = errors.New("history is no longer available")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("no such object")
	// ErrConflict means that the object has changed or exists already.
	ErrConflict = errors.New("object has changed or exists already")
	// ErrRestored means that the store has come back from a copy since the revision that the
	// call names was read, or that the response is of an earlier epoch: what it says may not
	// hold any more.
	ErrRestored = errors.New("store was restored from a copy")
	// ErrRefused means that the store did nothing, for example because it is busy.
	ErrRefused = errors.New("store refused the call")
)

// Change is one object that was written or deleted.
type Change[T any] struct {
	Name     string
	Value    T
	Revision epoch.Revision // of the change
	Deleted  bool
}

// Source reads one kind of objects from the store.
type Source[T any] interface {
	// Read returns all objects and the store's revision.
	Read(ctx context.Context) ([]Change[T], epoch.Revision, error)
	// Wait returns the changes since the revision as soon as there are any, or none after
	// atMost, and the revision to continue from. It returns ErrRestored if the store's epoch
	// is not that of the revision.
	Wait(ctx context.Context, since epoch.Revision, atMost time.Duration) ([]Change[T], epoch.Revision, error)
}
