package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/fleet"
)

// OfferResult says what became of an offered document.
type OfferResult uint8

const (
	// Accepted: the document is in force now.
	Accepted OfferResult = iota
	// Older: the version in force is as new or newer.
	Older
	// Invalid: the document failed the check, now or before, or is too large.
	Invalid
)

var resultNames = [...]string{"accepted", "older", "invalid"}

// String returns the result's name in lower case.
func (r OfferResult) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// Pull is a request for the configuration that the daemon should make now. Its
// answer goes to Offer, its failure to PullFailed.
type Pull struct {
	Peer    fleet.InstanceID
	Address string // PeerAddress
}

// Counters are what a table counts, for the metrics.
type Counters struct {
	Accepted    uint64
	Older       uint64
	Invalid     uint64 // checks that failed, and documents that were too large
	Pulls       uint64
	PullsFailed uint64
}

// Table is the configuration's state at one node. It is not safe for concurrent
// use.
type Table struct {
	cfg      Config
	rng      *rand.Rand
	self     fleet.InstanceID
	domain   fleet.FailureDomain
	counters Counters

	version  uint64
	document []byte
	refused  []uint64 // versions that failed the check, in order

	peers  []peer // that have a newer version
	pulls  []pull // under way
	budget budget // of the documents that are pulled

	watches bool
	others  int // members of the fleet beside the node, -1 if not told

	startup startup
}

// peer is a node that has a newer version.
type peer struct {
	id      fleet.InstanceID
	address string
	version uint64
	due     time.Time // not pulled from before
}

// pull is a request under way.
type pull struct {
	peer    fleet.InstanceID
	version uint64
	expires time.Time
}

// NewTable returns the table of a node that has no configuration yet.
func NewTable(cfg Config, self fleet.InstanceID, domain fleet.FailureDomain, now time.Time, seed uint64) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg:     cfg,
		budget:  newBudget(cfg, now),
		rng:     rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self)))),
		self:    self,
		domain:  domain,
		watches: true,
		others:  -1,
		startup: startup{answers: map[fleet.InstanceID]uint64{}},
	}
}

// Version returns the version in force, 0 if there is none.
func (t *Table) Version() uint64 { return t.version }

// Document returns the document in force, nil if there is none. It must not be
// changed.
func (t *Table) Document() []byte { return t.document }

// Counters returns what the table has counted.
func (t *Table) Counters() Counters { return t.counters }

// Offer takes a document with its version, from the platform or a peer, if it is
// newer than the one in force and passes check.
func (t *Table) Offer(now time.Time, version uint64, doc []byte, check func([]byte) error) OfferResult {
	if version <= t.version {
		t.counters.Older++
		return Older
	}
	if t.isRefused(version) {
		return Invalid
	}
	if len(doc) > t.cfg.MaxDocumentBytes || check(doc) != nil {
		t.counters.Invalid++
		t.refuse(version)
		return Invalid
	}
	t.counters.Accepted++
	t.budget.spend(now, len(doc))
	t.version = version
	t.document = slices.Clone(doc)
	t.forget(func(p *peer) bool { return p.version <= version })
	t.pulls = slices.DeleteFunc(t.pulls, func(p pull) bool { return p.version <= version })
	return Accepted
}

func (t *Table) isRefused(version uint64) bool {
	_, found := slices.BinarySearch(t.refused, version)
	return found
}

func (t *Table) refuse(version uint64) {
	i, _ := slices.BinarySearch(t.refused, version)
	t.refused = slices.Insert(t.refused, i, version)
	if len(t.refused) > maxRefused {
		t.refused = slices.Delete(t.refused, 0, 1)
	}
	t.forget(func(p *peer) bool { return p.version == version })
	t.pulls = slices.DeleteFunc(t.pulls, func(p pull) bool { return p.version == version })
}

func (t *Table) forget(gone func(p *peer) bool) {
	t.peers = slices.DeleteFunc(t.peers, func(p peer) bool { return gone(&p) })
}

// PeerVersion notes the version that a peer has, as its packets say.
func (t *Table) PeerVersion(now time.Time, id fleet.InstanceID, address string, version uint64) {
	if version <= t.version || t.isRefused(version) || id == t.self {
		return
	}
	for i := range t.peers {
		if t.peers[i].id == id {
			t.peers[i].version = max(version, t.peers[i].version)
			t.peers[i].address = address
			return
		}
	}
	if len(t.peers) == maxPeers {
		t.peers = slices.Delete(t.peers, 0, 1)
	}
	wait := time.Duration(t.rng.Int64N(int64(t.cfg.PullSpread)))
	t.peers = append(t.peers, peer{id: id, address: address, version: version, due: now.Add(wait)})
}

// Tick returns the pulls to make now. It prefers the peers with the highest
// version, and chooses among those at random.
func (t *Table) Tick(now time.Time) []Pull {
	expired := 0
	t.pulls = slices.DeleteFunc(t.pulls, func(p pull) bool {
		if now.Before(p.expires) {
			return false
		}
		expired++
		t.postpone(p.peer, now)
		return true
	})
	t.counters.PullsFailed += uint64(expired)
	var out []Pull
	if !t.budget.allows(now) {
		return nil
	}
	for len(t.pulls) < t.cfg.ConcurrentPulls {
		chosen, ok := t.choose(now)
		if !ok {
			break
		}
		t.counters.Pulls++
		t.pulls = append(t.pulls, pull{
			peer:    chosen.id,
			version: chosen.version,
			expires: now.Add(t.cfg.PullTimeout),
		})
		out = append(out, Pull{Peer: chosen.id, Address: chosen.address})
	}
	return out
}

func (t *Table) choose(now time.Time) (peer, bool) {
	var best []peer
	for _, p := range t.peers {
		if now.Before(p.due) || t.pulling(p.id) {
			continue
		}
		if len(best) > 0 && p.version < best[0].version {
			continue
		}
		if len(best) > 0 && p.version > best[0].version {
			best = best[:0]
		}
		best = append(best, p)
	}
	if len(best) == 0 {
		return peer{}, false
	}
	return best[t.rng.IntN(len(best))], true
}

func (t *Table) pulling(id fleet.InstanceID) bool {
	return slices.ContainsFunc(t.pulls, func(p pull) bool { return p.peer == id })
}

// PullFailed notes that a pull got no answer, or none with a newer version.
func (t *Table) PullFailed(now time.Time, id fleet.InstanceID) {
	before := len(t.pulls)
	t.pulls = slices.DeleteFunc(t.pulls, func(p pull) bool { return p.peer == id })
	if len(t.pulls) == before {
		return
	}
	t.counters.PullsFailed++
	t.postpone(id, now)
}

// postpone puts a peer behind the others for pullRetry.
func (t *Table) postpone(id fleet.InstanceID, now time.Time) {
	for i := range t.peers {
		if t.peers[i].id == id {
			t.peers[i].due = now.Add(pullRetry)
		}
	}
}
