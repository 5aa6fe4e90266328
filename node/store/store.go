// Package store keeps a node's view of the platform's store up to date. Its inputs are one
// Source per kind of objects, with values of the project's own types, and requests to read at
// once. It passes states and changes to callbacks.
//
// A Follower reads the source once and then waits for changes. It reads again when the store
// no longer has the history from its revision on. The store may be unavailable at any time:
// the node then goes on with the state that it has and with what its peers report.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrCompacted means that the store no longer has the requested history.
	ErrCompacted = errors.New("history is no longer available")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("no such object")
	// ErrConflict means that the object has changed or exists already.
	ErrConflict = errors.New("object has changed or exists already")
	// ErrRefused means that the store did nothing, for example because it is busy.
	ErrRefused = errors.New("store refused the call")
)

// Revision is a point in the store's history.
type Revision uint64

// Change is one object that was written or deleted.
type Change[T any] struct {
	Name    string
	Value   T
	Deleted bool
}

// Source reads one kind of objects from the store.
type Source[T any] interface {
	// Read returns all objects and the store's revision.
	Read(ctx context.Context) ([]Change[T], Revision, error)
	// Wait returns the changes since the revision as soon as there are any, or none after
	// atMost, and the revision to continue from.
	Wait(ctx context.Context, since Revision, atMost time.Duration) ([]Change[T], Revision, error)
}
