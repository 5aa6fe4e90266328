package epoch

import (
	"strconv"
	"strings"
)

// Version orders the values that an object has had, across restores of the store: first by the
// epoch in which the value was written, then by its revision in that epoch. A value that a
// copy brought back keeps its version, and is older than what was written in a later epoch.
//
// The number is what processes exchange. Values of which the epoch isn't known have their
// revision as the number, as versions had before they knew epochs.
type Version uint64

const (
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxEpoch   = 1<<(64-numberBits) - 1
)

// NewVersion returns the version of a value that was written in the epoch as the revision.
func NewVersion(written ID, revision uint64) Version {
	return Version(min(uint64(written), maxEpoch)<<numberBits | min(revision, maxNumber))
}

// Epoch returns the epoch in which the value was written, Unknown if that isn't known.
func (v Version) Epoch() ID { return ID(v >> numberBits) }

// Number returns the value's revision in that epoch.
func (v Version) Number() uint64 { return uint64(v & maxNumber) }

// String returns the version as "EPOCH-REVISION", or as the revision alone if the epoch isn't
// known.
func (v Version) String() string {
	number := strconv.FormatUint(v.Number(), 10)
	if v.Epoch() == Unknown {
		return number
	}
	return v.Epoch().String() + "-" + number
}

// ParseVersion parses what String returns.
func ParseVersion(text string) (Version, error) {
	written, number, hasEpoch := strings.Cut(text, "-")
	if !hasEpoch {
		written, number = "0", text
	}
	id, err := strconv.ParseUint(written, 10, 64-numberBits)
	if err != nil {
		return 0, err
	}
	revision, err := strconv.ParseUint(number, 10, numberBits)
	if err != nil {
		return 0, err
	}
	return NewVersion(ID(id), revision), nil
}
