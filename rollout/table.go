package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
)

// OfferResult is the result of Table.Offer.
type OfferResult uint8

const (
	// Accepted means that the document is now in force.
	Accepted OfferResult = iota
	// Older means that the version in force is as new or newer.
	Older
	// Invalid means that the document is too large or failed the check, now or
	// when its version was offered before.
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

// Pull is a request to a peer for its configuration, which the daemon should send
// now. It passes the response to Offer, or reports the failure with PullFailed.
type Pull struct {
	Peer    fleet.InstanceID
	Address string // PeerAddress
}

// Counters are the counters of a table, for metrics.
type Counters struct {
	Accepted    uint64
	Older       uint64
	Invalid     uint64 // documents that failed the check or were too large
	Pulls       uint64
	PullsFailed uint64
}

// Table is the state of the rollout at one node. It is not safe for concurrent
// use.
type Table struct {
	cfg      Config
	rng      *rand.Rand
	self     fleet.InstanceID
	domain   fleet.FailureDomain
	counters Counters

	version  epoch.Version
	document []byte
	refused  []refusal // invalid documents, by ascending version

	peers  []peer // peers that have a newer version, in the order in which they were recorded
	pulls  []pull // pulls in flight
	budget budget // for the bytes of accepted documents

	watches      bool
	otherMembers int // live members of the fleet without this node, -1 if not set

	startup startup
}

// refusal is an invalid document. Its digest tells it from another one with the same version,
// which exists if a restored store doesn't state its epoch.
type refusal struct {
	version epoch.Version
	digest  uint64
}

// peer is another node that has a newer version.
type peer struct {
	id        fleet.InstanceID
	address   string
	version   epoch.Version
	notBefore time.Time // earliest time of a pull from it
}

// pull is a request to a peer in flight.
type pull struct {
	peer    fleet.InstanceID
	version epoch.Version
	expires time.Time
}

// NewTable returns the table of a node that has no configuration yet.
func NewTable(cfg Config, self fleet.InstanceID, domain fleet.FailureDomain, now time.Time, seed uint64) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg:          cfg,
		budget:       newBudget(cfg, now),
		rng:          rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self)))),
		self:         self,
		domain:       domain,
		watches:      true,
		otherMembers: -1,
		startup:      startup{lastTick: now, responses: map[fleet.InstanceID]epoch.Version{}},
	}
}

// Version returns the version in force, 0 if there is none.
func (t *Table) Version() epoch.Version { return t.version }

// Document returns the document in force, nil if there is none. The caller must
// not modify it.
func (t *Table) Document() []byte { return t.document }

// Counters returns the current values of the counters.
func (t *Table) Counters() Counters { return t.counters }

// Offer puts a document from the platform or a peer in force if its version is
// newer than the one in force and it passes check.
func (t *Table) Offer(now time.Time, version epoch.Version, document []byte, check func([]byte) error) OfferResult {
	if version <= t.version {
		t.counters.Older++
		return Older
	}
	digest := xxhash.Sum64(document)
	if i, found := t.findRefused(version); found && t.refused[i].digest == digest {
		return Invalid
	}
	if len(document) > t.cfg.MaxDocumentBytes || check(document) != nil {
		t.counters.Invalid++
		t.refuse(version, digest)
		return Invalid
	}
	t.counters.Accepted++
	t.budget.spend(now, len(document))
	t.version = version
	t.document = slices.Clone(document)
	t.prunePeers(func(p *peer) bool { return p.version <= version })
	t.pulls = slices.DeleteFunc(t.pulls, func(p pull) bool { return p.version <= version })
	return Accepted
}

// findRefused returns where in the list of refused documents the version is or belongs.
func (t *Table) findRefused(version epoch.Version) (int, bool) {
	return slices.BinarySearchFunc(t.refused, version, func(r refusal, v epoch.Version) int { return cmp.Compare(r.version, v) })
}

func (t *Table) isRefused(version epoch.Version) bool {
	_, found := t.findRefused(version)
	return found
}

func (t *Table) refuse(version epoch.Version, digest uint64) {
	i, found := t.findRefused(version)
	if found {
		t.refused[i].digest = digest
	} else {
		t.refused = slices.Insert(t.refused, i, refusal{version, digest})
	}
	if len(t.refused) > maxRefusedVersions {
		t.refused = slices.Delete(t.refused, 0, 1)
	}
	t.prunePeers(func(p *peer) bool { return p.version == version })
	t.pulls = slices.DeleteFunc(t.pulls, func(p pull) bool { return p.version == version })
}

func (t *Table) prunePeers(matches func(p *peer) bool) {
	t.peers = slices.DeleteFunc(t.peers, func(p peer) bool { return matches(&p) })
}

// RecordPeerVersion records the version that a peer reports in its packets, so
// that a later Tick may pull it.
func (t *Table) RecordPeerVersion(now time.Time, id fleet.InstanceID, address string, version epoch.Version) {
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
	delay := time.Duration(t.rng.Int64N(int64(t.cfg.PullSpread)))
	t.peers = append(t.peers, peer{id: id, address: address, version: version, notBefore: now.Add(delay)})
}

// Tick returns the pulls to start now, and counts those without a response within
// Config.PullTimeout as failed. It chooses at random among the peers with the
// highest version.
func (t *Table) Tick(now time.Time) []Pull {
	t.tickStartup(now)
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
	var started []Pull
	if !t.budget.allows(now) {
		return nil
	}
	for len(t.pulls) < t.cfg.ConcurrentPulls {
		chosen, ok := t.choosePeer(now)
		if !ok {
			break
		}
		t.counters.Pulls++
		t.pulls = append(t.pulls, pull{
			peer:    chosen.id,
			version: chosen.version,
			expires: now.Add(t.cfg.PullTimeout),
		})
		started = append(started, Pull{Peer: chosen.id, Address: chosen.address})
	}
	return started
}

func (t *Table) choosePeer(now time.Time) (peer, bool) {
	var best []peer
	for _, p := range t.peers {
		if now.Before(p.notBefore) || t.isPulling(p.id) {
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

func (t *Table) isPulling(id fleet.InstanceID) bool {
	return slices.ContainsFunc(t.pulls, func(p pull) bool { return p.peer == id })
}

// PullFailed records that a pull got no response, or none with a newer version.
func (t *Table) PullFailed(now time.Time, id fleet.InstanceID) {
	before := len(t.pulls)
	t.pulls = slices.DeleteFunc(t.pulls, func(p pull) bool { return p.peer == id })
	if len(t.pulls) == before {
		return
	}
	t.counters.PullsFailed++
	t.postpone(id, now)
}

// postpone excludes a peer from pulls for pullRetryDelay.
func (t *Table) postpone(id fleet.InstanceID, now time.Time) {
	for i := range t.peers {
		if t.peers[i].id == id {
			t.peers[i].notBefore = now.Add(pullRetryDelay)
		}
	}
}
