package admission

import "time"

// Bounds of the tables. What exceeds a table shares one of its entries.
const (
	MaxCallers         = 64   // callers told apart by one queue
	MaxUnlistedCallers = 16   // of these, callers that the configuration doesn't list
	MaxOperations      = 128  // operations told apart by one queue
	MaxQueued          = 2048 // calls that one queue holds
)

// TickInterval is the time between two calls of Queue.Tick.
const TickInterval = 20 * time.Millisecond

// classLead is the time by which a class goes before the next one in the queue.
const classLead = 50 * time.Millisecond

// CallerShare is the weight of one caller's fair share.
type CallerShare struct {
	Name  string
	Share int // 1 if zero or negative
}

// Config rules one queue.
type Config struct {
	Slots   int           // calls that the target runs at once, 0 if unknown
	Callers []CallerShare // callers that aren't listed have a share of 1

	TargetDelay time.Duration // delay that the level control leaves in the queue under overload
	MaxWait     time.Duration // longest wait of a call whose class the level has closed, unless it runs for long
	Horizon     time.Duration // least time in which the level control corrects the queue's length
	LongFactor  float64       // an operation is long from this multiple of the usual service time
	KeptPercent int           // part of the slots that long calls can't take
}

// DefaultConfig returns the configuration of a target with this many slots.
func DefaultConfig(slots int) Config {
	return Config{
		Slots:       slots,
		TargetDelay: 20 * time.Millisecond,
		MaxWait:     150 * time.Millisecond,
		Horizon:     200 * time.Millisecond,
		LongFactor:  8,
		KeptPercent: 40,
	}
}

// withDefaults replaces what is unset or out of range.
func (c Config) withDefaults() Config {
	d := DefaultConfig(max(c.Slots, 0))
	d.Callers = c.Callers
	if c.TargetDelay > 0 {
		d.TargetDelay = c.TargetDelay
	}
	if c.MaxWait > 0 {
		d.MaxWait = c.MaxWait
	}
	if c.Horizon > 0 {
		d.Horizon = c.Horizon
	}
	if c.LongFactor > 1 {
		d.LongFactor = c.LongFactor
	}
	if c.KeptPercent > 0 && c.KeptPercent < 100 {
		d.KeptPercent = c.KeptPercent
	}
	return d
}
