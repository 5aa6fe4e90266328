package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
)

// Message is a datagram to send.
type Message struct {
	To   string // host:port of a UDP socket
	Data []byte
}

// Table holds the records of all members that one node knows. It is not safe for
// concurrent use.
type Table struct {
	cfg      Config
	rng      *rand.Rand
	start    time.Time     // zero of the table time, in which all times below are
	now      time.Duration // time of the current call
	lastTick time.Duration // time of the last Tick

	self     record
	members  *directory
	updates  *updateQueue
	changes  []Change
	counters Counters

	nextProbe time.Duration
	probeTurn int
	sequence  uint32
	probes    []probe
	relays    []relay
	disputed  []reference
	suspects  []reference
	dead      []reference
	lastPrune time.Duration

	gossipBudget float64 // bytes of updates that may be sent now
	replies      int     // counted by mayReply since the last tick
	urgent       bool    // an update is to be sent before the next tick
	lastReceived time.Duration

	configVersion epoch.Version
	configSends   int // packets still to send for a new version, even without updates
	configPeers   []ConfigPeer

	lastSync     time.Duration
	syncSequence uint32 // of the last comparison that the node started
	catchingUp   bool   // after a pause, until a comparison is completed
	exchangePeer string
	lastExchange time.Duration

	seedDue     map[string]time.Duration // when to check each seed object again, by its key
	seedChecked map[string]time.Duration // when each seed object that the node has written was checked last
}

// NewTable returns the table of the node whose instance is self. Other members are
// added by Merge and Receive. The seed makes the table's random choices reproducible.
func NewTable(cfg Config, self fleet.Instance, now time.Time, seed uint64) *Table {
	return NewTableFrom(cfg, self, now, seed, newBase(nil))
}

// NewTableFrom is like NewTable for a node that already knows the members of base.
// Tables of one process may share a base. It may contain self.
func NewTableFrom(cfg Config, self fleet.Instance, now time.Time, seed uint64, base *Base) *Table {
	t := &Table{
		cfg:          cfg.withDefaults(),
		rng:          rand.New(rand.NewPCG(seed, uint64(referenceOf(self.ID)))),
		start:        now,
		members:      newDirectory(base),
		updates:      newUpdateQueue(),
		seedDue:      map[string]time.Duration{},
		seedChecked:  map[string]time.Duration{},
		lastSync:     -syncInterval,
		gossipBudget: 0,
	}
	t.gossipBudget = float64(t.cfg.GossipBurstBytes)
	t.sequence = t.rng.Uint32()
	t.nextProbe = time.Duration(t.rng.Int64N(int64(t.cfg.ProbeInterval)))
	t.lastExchange = -exchangeInterval
	existing, inBase := t.members.get(referenceOf(self.ID))
	t.self = recordOf(self, now.UnixMilli())
	if inBase {
		t.self = existing
		return t
	}
	t.members.put(t.self)
	t.announce(true)
	return t
}

// setNow sets the time of the current call. The table time never goes back.
func (t *Table) setNow(now time.Time) { t.now = max(t.now, now.Sub(t.start)) }

// Tick does the periodic work and returns the messages to send. The daemon calls it
// once in each TickInterval.
func (t *Table) Tick(now time.Time) []Message {
	t.setNow(now)
	gap := t.now - t.lastTick
	t.lastTick = t.now
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
	out = t.sendUpdates(out)
	t.prune()
	t.members.compact()
	return out
}

// resume adjusts the table at the first tick after a pause of the process: the pause
// doesn't count against suspect members, probes from before it are dropped, and the
// node raises its incarnation and compares its table with another one.
func (t *Table) resume(gap time.Duration) {
	t.counters.Pauses++
	for _, ref := range t.suspects {
		r, ok := t.members.get(ref)
		if ok && r.health == suspect {
			r.suspicionEnd = min(r.suspicionEnd+gap, t.now+t.cfg.SuspicionTimeout) // it may have arrived after the pause
			t.members.put(r)
		}
	}
	t.probes = nil
	t.relays = nil
	t.nextProbe = t.now
	t.lastReceived = t.now
	t.catchingUp = t.members.live > 1
	t.sequence++
	t.syncSequence = t.sequence // replies to an earlier comparison are stale
	t.lastSync = t.now - catchUpRetry
	if t.self.health != left {
		t.self.incarnation++
		t.announce(false)
	}
}

// Fresh reports whether decisions may be based on the table: since its last pause the
// node has compared it with another one, and it is not isolated. A node that knows no
// other live member is always fresh.
func (t *Table) Fresh(now time.Time) bool {
	t.setNow(now)
	if t.members.live <= 1 {
		return true
	}
	paused := t.now-t.lastTick > pauseLimit
	return !paused && !t.catchingUp && !t.isolated()
}

// NeedsPeers reports whether the node knows no other live member, or is isolated. The
// daemon then looks for peers as at its start: through the seed objects and its
// settings.
func (t *Table) NeedsPeers(now time.Time) bool {
	t.setNow(now)
	return t.self.health != left && (t.members.live <= 1 || t.isolated())
}

// isolated reports whether the node has received no packet for so long that its own
// connection must have failed rather than all other members.
func (t *Table) isolated() bool {
	return t.members.live > isolationMembers && t.now-t.lastReceived > isolationLimit
}

// checkCapacity returns ErrFull, and counts a refused member, if the table is full.
func (t *Table) checkCapacity() error {
	if t.members.len() < t.cfg.MaxMembers {
		return nil
	}
	t.counters.RefusedMembers++
	return errors.Wrapf(ErrFull, "%d members", t.members.len())
}
