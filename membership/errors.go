package membership

import "github.com/cockroachdb/errors"

// Errors of Receive and Merge; use errors.Is.
var (
	// ErrTooLarge: the packet is longer than any that a node sends.
	ErrTooLarge = errors.New("membership: packet too large")
	// ErrMalformed: the bytes are no packet, or a value is outside its range.
	ErrMalformed = errors.New("membership: malformed packet")
	// ErrFull: a member was refused because the table holds Config.MaxMembers.
	ErrFull = errors.New("membership: table full")
)
