// Package epoch identifies the histories of the platform's store.
//
// The store may come back from a copy. It then has lost what was written after the copy, and
// gives the revisions of those writes out again. Each time, it begins a new epoch. A revision
// means something within its epoch alone, so a Revision names both, and two revisions of
// different epochs have no order.
//
// A Tracker decides which epoch is the current one from what the store's responses state. It
// does no I/O and is not safe for concurrent use.
package epoch

import "strconv"

// ID identifies an epoch. It grows by one with each restore.
type ID uint64

// Unknown is the epoch of a response that doesn't state one.
const Unknown ID = 0

// String returns the epoch as a decimal number, or "unknown".
func (e ID) String() string {
	if e == Unknown {
		return "unknown"
	}
	return strconv.FormatUint(uint64(e), 10)
}

// Revision is a point in the history of one epoch. The zero value is no revision.
type Revision struct {
	Epoch  ID
	Number uint64
}

// IsZero reports whether r is no revision.
func (r Revision) IsZero() bool { return r == Revision{} }
