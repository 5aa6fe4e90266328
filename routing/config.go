package routing

import "time"

// DefaultMaxTargets is the number of instances of one service that one node
// sends to.
const DefaultMaxTargets = 32

// Config rules a table.
type Config struct {
	MaxTargets int // instances of one service that are sent to; DefaultMaxTargets if 0
}

// ServiceConfig rules the calls to one service.
type ServiceConfig struct {
	ColdStart time.Duration // time over which a new instance's share ramps up
	Slots     int           // calls that an instance runs at once, if it states none
}

// Bounds of the tables.
const (
	MaxServices   = 2048 // services that a node sends to
	MaxOperations = 128  // operations of one service that are told apart
)
