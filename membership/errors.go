package membership

import "github.com/cockroachdb/errors"

// Errors of Receive, Merge and DecodeSeed; test for them with errors.Is.
var (
	// ErrTooLarge means that the input is longer than any that a node sends.
	ErrTooLarge = errors.New("membership: packet too large")
	// ErrMalformed means that the input can't be decoded, or a value in it is outside
	// its range.
	ErrMalformed = errors.New("membership: malformed packet")
	// ErrFull means that a member was refused because the table holds
	// Config.MaxMembers.
	ErrFull = errors.New("membership: table full")
)
