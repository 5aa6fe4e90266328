package routing

import "time"

// DefaultMaxTargets is the default of Config.MaxTargets.
const DefaultMaxTargets = 32

// Config holds the parameters of a Table.
type Config struct {
	MaxTargets int // instances of one service that the node sends to; DefaultMaxTargets if 0 or less
}

// ServiceConfig holds the parameters of one service.
type ServiceConfig struct {
	ColdStart time.Duration // time over which a new instance's share ramps up
	Slots     int           // calls that an instance runs at once, if it reports no number
}

// Bounds on the size of a table.
const (
	MaxServices   = 2048 // services that a node sends to
	MaxOperations = 128  // operations of one service with a latency estimate of their own
)
