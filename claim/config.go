package claim

import "time"

// Config bounds what a home keeps and paces its platform calls. A field that
// is 0 takes its default.
type Config struct {
	ResultBytes int // memory for the answers of recent keys
	ResultCount int // answers of recent keys

	MaxRecords int // keys that wait, run, or are claimed and not run
	MaxWaiters int // calls that wait for a decision or an answer

	// CommitInterval is the least time between the starts of two writes of one
	// shard. A shard that was quiet for that long writes at once.
	CommitInterval time.Duration

	// FutureTolerance is how far the time in a key may be ahead.
	FutureTolerance time.Duration

	// ReleaseAfter is how long a claimed key that did not run waits for another
	// try here before its claim is given back.
	ReleaseAfter time.Duration
}

// Defaults of Config.
const (
	DefaultResultBytes     = 8 << 20
	DefaultResultCount     = 8192
	DefaultMaxRecords      = 8192
	DefaultMaxWaiters      = 16384
	DefaultCommitInterval  = 20 * time.Millisecond
	DefaultFutureTolerance = 30 * time.Second
	DefaultReleaseAfter    = 5 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.ResultBytes, DefaultResultBytes)
	setDefault(&c.ResultCount, DefaultResultCount)
	setDefault(&c.MaxRecords, DefaultMaxRecords)
	setDefault(&c.MaxWaiters, DefaultMaxWaiters)
	setDefault(&c.CommitInterval, DefaultCommitInterval)
	setDefault(&c.FutureTolerance, DefaultFutureTolerance)
	setDefault(&c.ReleaseAfter, DefaultReleaseAfter)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
