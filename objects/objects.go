// Package objects defines the interface to the platform's store: versioned values
// under keys, with conditional writes and watches. Package platform implements it.
package objects

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest size of a value in the store.
const MaxValueBytes = 1 << 20

// Object is one value in the store.
type Object struct {
	Key     string
	Version uint64 // increases with each write, also across a deletion; 0 if there is no object
	Value   []byte
}

var (
	// ErrNotFound means that the store has no such object.
	ErrNotFound = errors.New("object not found")
	// ErrNotModified means that a watch ended without a newer version.
	ErrNotModified = errors.New("object not modified")
	// ErrConflict means that the object's version is not the one that the write
	// expected.
	ErrConflict = errors.New("object version conflict")
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
	// Watch waits until the object has a version above after, and returns the
	// object. It returns ErrNotModified if there is none within wait.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error)
	// Put writes the value if the object's version is ifVersion, and returns the
	// new version. With ifVersion 0 the object must not exist. After ErrUnavailable
	// the write may have taken effect, or may still do so; Put never retries it.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// List returns the keys of all objects of a kind.
	List(ctx context.Context, kind string) ([]string, error)
}
