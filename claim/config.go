package claim

import "time"

// Config bounds what a home keeps and paces its platform calls. A field that
// is 0 takes its default.
type Config struct {
	ResultBytes int // memory for the answers of recent keys
	ResultCount int // answers of recent keys

	MaxRecords int // keys that wait, run, or are claimed and not run
	MaxWaiters int // calls that wait for a decision or an answer

	// CommitInterval is the time between two writes of one shard that always
	// has keys waiting. A shard that was quiet may write CommitBurst times
	// without a pause. See CommitIntervalFor.
	CommitInterval time.Duration
	CommitBurst    int

	// OutageTolerance is how long after the start of an outage calls wait for
	// its end, in place of being refused at once.
	OutageTolerance time.Duration

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
	DefaultCommitInterval  = 25 * time.Millisecond
	DefaultCommitBurst     = 4
	DefaultOutageTolerance = time.Second
	DefaultFutureTolerance = 30 * time.Second
	DefaultReleaseAfter    = 5 * time.Second
)

// claimWritesPerSecond is the part of the platform's writes that claims of all
// services may take together.
const claimWritesPerSecond = 320

// CommitIntervalFor returns the interval at which the shards of so many
// services, all busy, keep within the platform's writes.
func CommitIntervalFor(services int) time.Duration {
	return max(DefaultCommitInterval, time.Duration(services*Shards)*time.Second/claimWritesPerSecond)
}

func (c Config) withDefaults() Config {
	setDefault(&c.ResultBytes, DefaultResultBytes)
	setDefault(&c.ResultCount, DefaultResultCount)
	setDefault(&c.MaxRecords, DefaultMaxRecords)
	setDefault(&c.MaxWaiters, DefaultMaxWaiters)
	setDefault(&c.CommitInterval, DefaultCommitInterval)
	setDefault(&c.CommitBurst, DefaultCommitBurst)
	setDefault(&c.OutageTolerance, DefaultOutageTolerance)
	setDefault(&c.FutureTolerance, DefaultFutureTolerance)
	setDefault(&c.ReleaseAfter, DefaultReleaseAfter)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
