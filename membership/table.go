package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/fleet"
)

// Message is a datagram to send.
type Message struct {
	To   string // host:port, UDP
	Data []byte
}

// Table is what one node knows of the fleet. It is not safe for concurrent use.
type Table struct {
	cfg    Config
	rng    *rand.Rand
	start  time.Time     // times inside the table are counted from here
	now    time.Duration // of the call that runs
	ticked time.Duration // of the last Tick

	self     record
	members  *directory
	news     *queue
	changes  []Change
	counters Counters

	nextProbe time.Duration
	probeSlot int
	sequence  uint32
	probes    []probe
	relays    []relay
	doubts    []reference
	suspects  []reference
	dead      []reference
	lastSweep time.Duration

	gossipBytes float64 // that may be sent now
	replies     int     // since the last tick, see mayReply
	urgent      bool    // there is news to pass on before the next tick
	lastHeard   time.Duration

	configVersion uint64
	configSends   int // packets still to send only for the version
	configPeers   []ConfigPeer

	lastSync     time.Duration
	syncSequence uint32 // of the comparison that the node started last
	catchingUp   bool   // since a pause, until a table was compared
	exchangeWith string
	lastExchange time.Duration

	seeds map[string]time.Duration // when each seed object was last written
}

// NewTable returns the table of the node whose instance is self. It knows nobody
// else until Merge or Receive tells it.
func NewTable(cfg Config, self fleet.Instance, now time.Time, seed uint64) *Table {
	return NewTableFrom(cfg, self, now, seed, newBase(nil))
}

// NewTableFrom is NewTable of a node that already knows the members of base. The
// tables of one process may share base; self may be in it.
func NewTableFrom(cfg Config, self fleet.Instance, now time.Time, seed uint64, base *Base) *Table {
	t := &Table{
		cfg:         cfg.withDefaults(),
		rng:         rand.New(rand.NewPCG(seed, uint64(referenceOf(self.ID)))),
		start:       now,
		members:     newDirectory(base),
		news:        newQueue(),
		seeds:       map[string]time.Duration{},
		lastSync:    -syncInterval,
		gossipBytes: 0,
	}
	t.gossipBytes = float64(t.cfg.GossipBurstBytes)
	t.sequence = t.rng.Uint32()
	t.nextProbe = time.Duration(t.rng.Int64N(int64(t.cfg.ProbeInterval)))
	t.lastExchange = -exchangeGap
	known, inBase := t.members.get(referenceOf(self.ID))
	t.self = recordOf(self, now.UnixMilli())
	if inBase {
		t.self = known
		return t
	}
	t.members.put(t.self)
	t.announce(true)
	return t
}

// clock sets the time of the call that begins.
func (t *Table) clock(now time.Time) { t.now = max(t.now, now.Sub(t.start)) }

// Tick is called once in a TickInterval. It returns the messages to send.
func (t *Table) Tick(now time.Time) []Message {
	t.clock(now)
	gap := t.now - t.ticked
	t.ticked = t.now
	t.replies = 0
	if gap > pauseLimit {
		t.resume(gap)
	}
	t.refill(gap)
	var out []Message
	out = t.checkProbes(out)
	t.expireSuspicions()
	out = t.startProbes(out)
	out = t.catchUp(out)
	out = t.spread(out)
	t.sweep()
	t.members.compact()
	return out
}

// resume is called on the first tick after a pause of the process.
func (t *Table) resume(gap time.Duration) {
	t.counters.Pauses++
	for _, ref := range t.suspects {
		r, ok := t.members.get(ref)
		if ok && r.health == suspect {
			r.deadline = min(r.deadline+gap, t.now+t.cfg.Suspicion) // it may be younger than the pause
			t.members.put(r)
		}
	}
	t.probes = nil
	t.relays = nil
	t.nextProbe = t.now
	t.lastHeard = t.now
	t.catchingUp = t.members.live > 1
	t.sequence++
	t.syncSequence = t.sequence // answers to an earlier comparison are out of date
	t.lastSync = t.now - catchUpRetry
	if t.self.health != left {
		t.self.incarnation++
		t.announce(false)
	}
}

// Fresh reports whether the table may be acted on: the node has compared it with
// another one since its last pause, and hears others if there are any.
func (t *Table) Fresh(now time.Time) bool {
	t.clock(now)
	if t.members.live <= 1 {
		return true
	}
	paused := t.now-t.ticked > pauseLimit
	return !paused && !t.catchingUp && !t.isolated()
}

// Alone reports whether the node knows no other live member, or hears none. The
// daemon then looks for a peer as at its start: through the seed objects and its
// settings.
func (t *Table) Alone(now time.Time) bool {
	t.clock(now)
	return t.self.health != left && (t.members.live <= 1 || t.isolated())
}

// isolated reports whether the silence around the node is longer than any that
// others' failures explain.
func (t *Table) isolated() bool {
	return t.members.live > minIsolated && t.now-t.lastHeard > isolationLimit
}

func (t *Table) full() error {
	if t.members.len() < t.cfg.MaxMembers {
		return nil
	}
	t.counters.RefusedMembers++
	return errors.Wrapf(ErrFull, "%d members", t.members.len())
}
