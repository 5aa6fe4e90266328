package membership

import "time"

// TickInterval is the time between two calls of Table.Tick.
const TickInterval = 100 * time.Millisecond

// Monitored is the number of ring successors that a node probes in each
// ProbeInterval.
const Monitored = 3

const (
	directTimeout  = 300 * time.Millisecond // until a probe is repeated through others
	probeTimeout   = 900 * time.Millisecond // until an unanswered member is suspect
	minGrace       = time.Second            // least time for a refutation to arrive
	pauseLimit     = 2 * time.Second        // longest gap between ticks that is no pause
	isolationLimit = 2 * time.Second        // silence after which nobody is declared dead
	syncInterval   = 2 * time.Second        // between two comparisons that a node starts
	syncPatience   = 10 * time.Second       // after which it compares although news are on the way
	catchUpRetry   = 500 * time.Millisecond // between comparisons after a pause
	relayLifetime  = 2 * time.Second
	sweepInterval  = 10 * time.Second // between two searches for records to forget
	deadRetention  = 2 * time.Hour    // dead members are kept and retried this long
	leftRetention  = 10 * time.Minute // members that left are kept this long
	exchangeGap    = 10 * time.Second // between two whole-table exchanges
)

const (
	fanout            = 3  // members that a claim is sent to with each tick
	leaveFanout       = 12 // members that a leaving node tells itself
	transmissions     = 15 // times that a node sends one claim
	transmissionsFull = 4  // of these, in full; who then lacks the rest asks for it
	transmissionsBulk = 6  // the same while more than bulkQueue claims wait
	bulkQueue         = 200
	packetsPerTick    = 8 // most gossip packets in one tick
	indirectProbes    = 4 // members that are asked to probe for another one
	maxRelays         = 256
	maxDoubts         = 1024 // members that wait to be probed on another's word
	doubtsPerTick     = 4
	repliesPerTick    = 16
	deadRetryShare    = 8 // one random probe in so many goes to a dead member
	maxConfigPeers    = 16
	maxProbes         = 256
	maxChanges        = 100_000 // not yet drained
	minIsolated       = 3       // live members under which silence doesn't mean isolation
)

const (
	maxPacketBytes    = 1200 // sent
	maxAcceptedBytes  = 1500 // received
	headerBytes       = 64   // most that a packet needs beside its claims
	maxNameBytes      = 64   // ids, addresses, names
	maxWantedInPacket = 32
	maxIncarnation    = 1 << 62
)

// Config holds what differs between fleets. A zero field takes its default.
type Config struct {
	// ProbeInterval is the time in which a node probes its successors once;
	// default 1 s.
	ProbeInterval time.Duration
	// Suspicion is the time that a suspect member has to object; default 2 s.
	Suspicion time.Duration
	// GossipBytesPerSecond limits what a node sends as gossip over time; default
	// 8,000. Probes and comparisons are not counted.
	GossipBytesPerSecond int
	// GossipBurstBytes may be sent at once after a quiet time; default 64,000.
	GossipBurstBytes int
	// MaxMembers limits the table; default 65,536. Further members are refused
	// and counted.
	MaxMembers int
}

func (c Config) withDefaults() Config {
	if c.ProbeInterval <= 0 {
		c.ProbeInterval = time.Second
	}
	if c.Suspicion <= 0 {
		c.Suspicion = 2 * time.Second
	}
	if c.GossipBytesPerSecond <= 0 {
		c.GossipBytesPerSecond = 8_000
	}
	if c.GossipBurstBytes <= 0 {
		c.GossipBurstBytes = 64_000
	}
	if c.MaxMembers <= 0 {
		c.MaxMembers = 65_536
	}
	return c
}
