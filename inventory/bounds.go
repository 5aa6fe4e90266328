package inventory

import "time"

// Limits on the size of a document.
const (
	// MaxDocumentBytes is the largest size of a document as it is stored.
	MaxDocumentBytes = 1 << 20
	// MaxExpandedBytes is the largest size of a document after decompression.
	MaxExpandedBytes = 4 << 20
	// MaxDelimiters is the largest number of characters that delimit a YAML node
	// (line ends, commas, colons and such); it bounds the memory of the parser.
	MaxDelimiters = 200_000
	// CompressAboveBytes is the size above which Encode compresses a document.
	CompressAboveBytes = 16 << 10
)

// Limits on the number of entries, on the depth and on the length of names.
const (
	MaxCallers    = 1000
	MaxServices   = 2000
	MaxOperations = 256 // operations of one service
	MaxCalls      = 256 // services that one service calls
	MaxDepth      = 32  // services in the longest chain of calls
	MaxNameBytes  = 63
)

// intBounds is the range of the values that a number may have.
type intBounds struct{ lowest, highest int }

// durationBounds is the range of the values that a duration may have.
type durationBounds struct{ shortest, longest time.Duration }

var (
	attemptsBounds    = intBounds{1, 1000}
	budgetBounds      = intBounds{0, 100}
	maxPerCallBounds  = intBounds{1, 10}
	shareBounds       = intBounds{1, 1000}
	slotsBounds       = intBounds{1, 10_000}
	connectionsBounds = intBounds{1, 100_000}

	backoffBounds   = durationBounds{time.Millisecond, time.Minute}
	costBounds      = durationBounds{0, 10 * time.Second}
	coldStartBounds = durationBounds{0, 10 * time.Minute}
	drainBounds     = durationBounds{time.Second, time.Hour}
	deadlineBounds  = durationBounds{time.Millisecond, 10 * time.Minute}
)

// Defaults of optional fields.
const (
	DefaultBudgetPercent  = 10
	DefaultMaxPerCall     = 2
	DefaultBackoffMin     = 10 * time.Millisecond
	DefaultBackoffMax     = 250 * time.Millisecond
	DefaultShare          = 1
	DefaultConnectionCost = time.Duration(0)
	DefaultProbeCost      = time.Duration(0)
	DefaultColdStart      = 5 * time.Second
	DefaultDrain          = 30 * time.Second
)
