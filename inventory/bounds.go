package inventory

import "time"

// Caps on the size of a document.
const (
	// MaxDocumentBytes is the size of a document as the platform keeps it.
	MaxDocumentBytes = 1 << 20
	// MaxExpandedBytes is the size of a document after gzip is undone.
	MaxExpandedBytes = 4 << 20
	// MaxMarks is the number of marks (line ends, commas, colons and such) that
	// begin a YAML node in a document; it bounds the memory of the parser.
	MaxMarks = 200_000
	// CompressAbove is the size above which Encode compresses a document.
	CompressAbove = 16 << 10
)

// Caps on the number of entries.
const (
	MaxCallers    = 1000
	MaxServices   = 2000
	MaxOperations = 256 // of one service
	MaxCalls      = 256 // services that one service calls
	MaxDepth      = 32  // services in the longest chain of calls
	MaxNameBytes  = 63
)

// intBounds are the lowest and highest values of a number.
type intBounds struct{ lowest, highest int }

// durationBounds are the shortest and longest values of a duration.
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

// Values of optional fields that a document leaves out.
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
