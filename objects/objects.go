// Package objects defines the interface to the platform's store: versioned values
// under keys, with conditional writes and watches. Package platform implements it.
//
// The store may come back from a copy, see package epoch. An object has therefore a Version,
// which orders its values across epochs, and a Revision, which names the value within the
// epoch in which it was read and is what conditional writes and watches refer to.
package objects

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/epoch"
)

// MaxValueBytes is the largest size of a value in the store.
const MaxValueBytes = 1 << 20

// Object is one value in the store.
type Object struct {
	Key string
	// Version increases with each write, also across a deletion. It is the writer's claim of
	// its epoch, so a value that a copy brought back keeps the version that it had.
	Version epoch.Version
	// Revision is the last change of the object in the epoch in which it was read.
	Revision epoch.Revision
	Value    []byte
}

// IsFromCopy reports whether the value was written in an earlier epoch than the one in which
// it was read: what was written after it may be lost.
func (o *Object) IsFromCopy() bool {
	return o.Revision.Epoch != epoch.Unknown && o.Version.Epoch() != o.Revision.Epoch
}

var (
	// ErrNotFound means that the store has no such object.
	ErrNotFound = errors.New("object not found")
	// ErrNotModified means that a watch ended without a newer version.
	ErrNotModified = errors.New("object not modified")
	// ErrConflict means that the object's version is not the one that the write
	// expected.
	ErrConflict = errors.New("object version conflict")
	// ErrRestored means that the store has come back from a copy since the revision that a
	// write names was read, or while the write was on its way. In the latter case it may
	// have replaced another value than the one meant.
	ErrRestored = errors.New("store was restored from a copy")
	// ErrRefused means that the store refused the request and would refuse a
	// retry, too, as when the value is too large.
	ErrRefused = errors.New("request refused by the store")
	// ErrUnavailable means that the store gave no response, an invalid one, or one
	// that reports an outage. A write may have taken effect.
	ErrUnavailable = errors.New("store unavailable")
)

// Store reads and writes objects. A key is a kind and a name, as in
// "config/inventory"; the name may have further parts, as in "seeds/a/1".
type Store interface {
	// Get returns the object, or ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Watch waits until the object has changed since the revision, and returns the
	// object. It returns ErrNotModified if it hasn't within wait. If the store has been
	// restored since, it returns the object as it is.
	Watch(ctx context.Context, key string, after epoch.Revision, wait time.Duration) (Object, error)
	// Put writes the value if the object's last change is the revision, and returns the
	// written object without its value. With a zero revision the object must not exist.
	// After ErrUnavailable the write may have taken effect, or may still do so; Put never
	// retries it.
	Put(ctx context.Context, key string, value []byte, replaces epoch.Revision) (Object, error)
	// Epoch returns the store's epoch as the last call has told it.
	Epoch() epoch.ID
	// OnChange calls f whenever a call shows something new about the epoch.
	OnChange(f func(epoch.Change))
	// List returns the keys of all objects of a kind.
	List(ctx context.Context, kind string) ([]string, error)
}
