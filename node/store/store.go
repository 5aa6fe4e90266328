// Package store keeps a node's view of the platform's store up to date.
//
// A Source is one kind of objects there, already translated. Follow reads it
// once and then waits for changes; it starts over whenever the history it asks
// for is gone. The store is optional at any time: while it is away the node goes
// on with what it has and what its peers tell.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrCompacted: the store no longer has the history that was asked for.
	ErrCompacted = errors.New("history is gone")
	// ErrNotFound: there is no such object.
	ErrNotFound = errors.New("no such object")
	// ErrConflict: the object has changed or exists already.
	ErrConflict = errors.New("object has changed")
	// ErrRefused: the store did nothing, as when it is busy.
	ErrRefused = errors.New("store refused the call")
)

// Revision is a point in the store's history.
type Revision uint64

// Change is one object that was written, or removed.
type Change[T any] struct {
	Name    string
	Value   T
	Deleted bool
}

// Source is one kind of objects in the store.
type Source[T any] interface {
	// Read returns all objects and the store's revision.
	Read(ctx context.Context) ([]Change[T], Revision, error)
	// Wait returns what has changed since the revision, at the latest after the
	// time, and the revision to go on from.
	Wait(ctx context.Context, since Revision, atMost time.Duration) ([]Change[T], Revision, error)
}
