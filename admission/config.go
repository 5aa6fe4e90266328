package admission

import "time"

// Bounds of the tables. Keys that no longer fit share one entry of their table.
const (
	MaxCallers         = 64   // callers with an entry in one queue
	MaxUnlistedCallers = 16   // callers with an entry in one queue that the configuration doesn't list
	MaxOperations      = 128  // operations with an entry in one queue
	MaxQueued          = 2048 // waiting calls in one queue
)

// TickInterval is the time between two calls of Queue.Tick.
const TickInterval = 20 * time.Millisecond

// classLead is the head start in the queue that a class has over the next less
// important one.
const classLead = 50 * time.Millisecond

// CallerShare is the weight of one caller in the division of capacity.
type CallerShare struct {
	Name  string
	Share int // 1 if zero or negative
}

// Config holds the parameters of a Queue. A field that is unset or out of range takes
// its default, see DefaultConfig.
type Config struct {
	Slots   int           // calls that the target runs at once, 0 if unknown
	Callers []CallerShare // callers that aren't listed have a share of 1

	QueueDelayGoal  time.Duration // queueing delay that the level controller aims at under overload
	MaxWait         time.Duration // longest wait of a call whose class the level has closed; longer for operations with long service times
	CorrectionTime  time.Duration // shortest time over which the level controller corrects the queue length
	LongFactor      float64       // an operation is long above this multiple of the median service time
	ReservedPercent int           // percentage of the slots that long calls can't take
}

// DefaultConfig returns the default parameters for a target with this many slots.
func DefaultConfig(slots int) Config {
	return Config{
		Slots:           slots,
		QueueDelayGoal:  20 * time.Millisecond,
		MaxWait:         150 * time.Millisecond,
		CorrectionTime:  200 * time.Millisecond,
		LongFactor:      8,
		ReservedPercent: 40,
	}
}

// withDefaults replaces values that are unset or out of range.
func (c Config) withDefaults() Config {
	d := DefaultConfig(max(c.Slots, 0))
	d.Callers = c.Callers
	if c.QueueDelayGoal > 0 {
		d.QueueDelayGoal = c.QueueDelayGoal
	}
	if c.MaxWait > 0 {
		d.MaxWait = c.MaxWait
	}
	if c.CorrectionTime > 0 {
		d.CorrectionTime = c.CorrectionTime
	}
	if c.LongFactor > 1 {
		d.LongFactor = c.LongFactor
	}
	if c.ReservedPercent > 0 && c.ReservedPercent < 100 {
		d.ReservedPercent = c.ReservedPercent
	}
	return d
}
