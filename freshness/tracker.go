package freshness

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/route"
)

const (
	// maxMargin and marginFraction of the bound limit how long before the bound a proof isn't
	// used any more. Clocks of machines differ by less than 0.1% in their rates.
	maxMargin      = 200 * time.Millisecond
	marginFraction = 0.1
	// askFraction and readFraction are the ages of the proof, as fractions of the bound, from which
	// the node asks peers and reads the store.
	askFraction  = 0.3
	readFraction = 0.6
	// watchFraction is the age of the proof, as a fraction of the bound, up to which a node needs
	// no watch of its own: what was acknowledged before is in force.
	watchFraction = 0.4
	// readSpreadFraction of the time from readFraction until the proof expires is that over
	// which the nodes' first reads are spread.
	readSpreadFraction = 0.5
	// askInterval is the time between two rounds of questions to peers.
	askInterval = 250 * time.Millisecond
	// answerMemory is how long an answer of a peer shows that peers are within reach.
	answerMemory = 2 * time.Second
	// minReadInterval is the mean time between the first failed read and the next one. It
	// doubles with each further one, up to readSpacing times the number of instances, so that all
	// nodes together make 40 a second then, or up to maxReadInterval.
	minReadInterval = 500 * time.Millisecond
	readSpacing     = 25 * time.Millisecond
	maxReadInterval = 10 * time.Second
	// settleTime is how long reads of an epoch prove nothing after the node has first seen it,
	// and maxSettleTime how long if the store holds an older configuration than the node.
	settleTime    = 5 * time.Second
	maxSettleTime = 30 * time.Second
	// settleSpread is the time over which the nodes' first reads after settleTime are spread.
	settleSpread = 1 * time.Second
	// minWait bounds how soon Next is to be called again.
	minWait = 20 * time.Millisecond
)

// Proof states that no configuration newer than Version had been acknowledged at the time At of
// the own machine's boot clock.
type Proof struct {
	Version route.Version
	At      time.Duration
}

// Tracker holds a node's proofs. Times are those of the machine's boot clock.
type Tracker struct {
	bound   time.Duration
	random  *rand.Rand
	inForce route.Version
	// replacedAt is when that version replaced an earlier one, 0 if it is the process's first.
	replacedAt time.Duration
	current    *Proof // the latest that holds for the configuration in force
	pending    *Proof // the latest of a newer configuration
	offer      bool   // the proof has become much younger

	epoch       epoch.ID
	epochSeenAt time.Duration
	settled     bool // the store can't have lost anything before the epoch
	unstated    bool // a read stated no epoch

	nextAsk      time.Duration
	lastAnswer   time.Duration // of a peer
	wasAnswered  bool
	nextRead     time.Duration
	readPlanned  bool
	reading      bool
	readFailures int // since the last read that was a proof
}

// NewTracker returns a tracker without a proof. firstStart tells that the whole fleet starts for
// the first time, so that the store can't have lost anything. seed is that of the
// pauses that are drawn.
func NewTracker(bound time.Duration, firstStart bool, seed uint64) *Tracker {
	return &Tracker{bound: bound, settled: firstStart, random: rand.New(rand.NewPCG(seed, 0))}
}

// Limit returns the age from which a proof isn't used any more.
func (t *Tracker) Limit() time.Duration {
	return t.bound - min(maxMargin, time.Duration(marginFraction*float64(t.bound)))
}

// InForce records that the configuration of the version has come into force.
func (t *Tracker) InForce(now time.Duration, v route.Version) {
	if v <= t.inForce {
		return
	}
	if t.inForce > 0 {
		t.replacedAt = now
	}
	t.inForce = v
	if p := t.pending; p != nil && p.Version <= t.inForce {
		t.pending = nil
		t.Observe(*p)
	}
}

// Observe records a proof.
func (t *Tracker) Observe(p Proof) {
	held := &t.current
	if p.Version > t.inForce {
		held = &t.pending
	}
	if *held != nil && (*held).At >= p.At {
		return
	}
	if held == &t.current && (t.current == nil || p.At-t.current.At > t.fraction(askFraction)) {
		t.offer = true
	}
	if *held == nil {
		*held = new(Proof)
	}
	**held = p
}

// HasOffer reports whether TakeOffer would report true.
func (t *Tracker) HasOffer() bool { return t.offer }

// TakeOffer reports, once, that the node has a proof that peers may lack: that of an own read, or
// one that is much younger than the one before.
func (t *Tracker) TakeOffer() bool {
	offer := t.offer
	t.offer = false
	return offer
}

// PeerAnswered records a peer's answer to a question that was asked at the given time. age is
// that of the peer's proof for the version; proven is false if it has none.
func (t *Tracker) PeerAnswered(now, asked time.Duration, v route.Version, age time.Duration, proven bool) {
	t.lastAnswer, t.wasAnswered = now, true
	if proven && age >= 0 {
		t.Observe(Proof{Version: v, At: asked - age})
	}
}

// EpochSeen records the epoch that the store states.
func (t *Tracker) EpochSeen(now time.Duration, current epoch.ID) {
	if current == epoch.Unknown || current == t.epoch {
		return
	}
	if t.epoch != epoch.Unknown || t.unstated {
		t.settled = false
	}
	t.epoch, t.epochSeenAt = current, now
}

// StoreRead records a linearizable read of the store that was sent at the given time, and found
// the version. It reports whether the read is a proof.
func (t *Tracker) StoreRead(now, sent time.Duration, v route.Version, read epoch.ID) bool {
	t.reading, t.readPlanned = false, false
	t.EpochSeen(now, read)
	t.unstated = t.unstated || read == epoch.Unknown
	if read != epoch.Unknown && !t.settled {
		// What was sent within the time may have been answered from the incomplete state.
		known := sent - t.epochSeenAt
		switch {
		case known < settleTime:
			t.readPlanned, t.nextRead = true, t.epochSeenAt+settleTime+t.draw(settleSpread)
			return false
		case v < t.inForce && known < maxSettleTime:
			t.readFailures++
			return false
		}
	}
	t.readFailures = 0
	t.Observe(Proof{Version: v, At: sent})
	t.offer = true
	return true
}

// ReadFailed records that a read of the store has failed.
func (t *Tracker) ReadFailed() {
	t.reading, t.readPlanned = false, false
	t.readFailures++
}

// Fresh reports whether requests may be accepted by the configuration of the version.
func (t *Tracker) Fresh(now time.Duration, v route.Version) bool {
	return t.current != nil && t.current.Version <= v && now-t.current.At < t.Limit()
}

// IsRecent reports whether the configuration in force replaced another one so recently that a proof
// of then would still be used. The first one of a process may be of any age.
func (t *Tracker) IsRecent(now time.Duration) bool {
	return t.replacedAt > 0 && now-t.replacedAt < t.Limit()
}

// Age returns the age of the proof for the configuration in force. It returns false without a
// proof that peers can use.
func (t *Tracker) Age(now time.Duration) (time.Duration, bool) {
	if t.current == nil || now-t.current.At >= t.Limit() {
		return 0, false
	}
	return now - t.current.At, true
}

// IsUseful reports whether a peer with a proof of that age is worth a question: the own one grows
// old, and the peer's is much younger.
func (t *Tracker) IsUseful(now, age time.Duration) bool {
	if t.current == nil {
		return true
	}
	own := now - t.current.At
	return own > t.fraction(askFraction)/2 && age < own/2
}

// Action is what a node does now to have a younger proof.
type Action struct {
	Ask  bool          // some peers
	Dial bool          // ask peers without a connection, too: no other has answered
	Read bool          // the store
	Wait time.Duration // until Next is to be called again
}

// Next returns what to do now. instances is the number of known instances. storeLost tells that the
// node's connection to the store is broken, so that it already tries to read the store again.
func (t *Tracker) Next(now time.Duration, instances int, storeLost bool) Action {
	if t.current != nil {
		if left := t.fraction(askFraction) - (now - t.current.At); left > 0 {
			t.readPlanned = false
			return Action{Wait: max(left, minWait)}
		}
	}
	action := Action{Wait: askInterval}
	if now >= t.nextAsk {
		action.Ask = true
		t.nextAsk = now + askInterval
		action.Dial = !t.hasPeers(now)
	}
	if t.reading || storeLost {
		return action
	}
	if left := t.untilRead(now); left > 0 {
		action.Wait = min(action.Wait, max(left, minWait))
		return action
	}
	if !t.readPlanned {
		t.readPlanned, t.nextRead = true, now+t.readPause(now, instances)
	}
	if now >= t.nextRead {
		action.Read, t.reading = true, true
		return action
	}
	action.Wait = min(action.Wait, max(t.nextRead-now, minWait))
	return action
}

// NeedsWatch reports whether the node is to wait for changes of the configuration at the store,
// although others do.
func (t *Tracker) NeedsWatch(now time.Duration) bool {
	return t.current == nil || now-t.current.At > t.fraction(watchFraction)
}

// untilRead returns the time until the proof is so old that the node reads the store.
func (t *Tracker) untilRead(now time.Duration) time.Duration {
	if t.current == nil {
		return 0
	}
	return t.fraction(readFraction) - (now - t.current.At)
}

// readPause draws the time until the next read.
func (t *Tracker) readPause(now time.Duration, instances int) time.Duration {
	if t.readFailures == 0 {
		return t.draw(time.Duration(readSpreadFraction * float64(t.Limit()-t.fraction(readFraction))))
	}
	sharers := instances
	if !t.hasPeers(now) {
		sharers = 1 // nobody reads the store for this node
	}
	const maxDoublings = 8
	mean := minReadInterval << min(t.readFailures-1, maxDoublings)
	mean = min(mean, max(time.Duration(sharers)*readSpacing, minReadInterval), maxReadInterval)
	return t.draw(2 * mean)
}

// hasPeers reports whether a peer has answered lately.
func (t *Tracker) hasPeers(now time.Duration) bool {
	return t.wasAnswered && now-t.lastAnswer <= answerMemory
}

func (t *Tracker) draw(atMost time.Duration) time.Duration {
	return time.Duration(t.random.Int64N(int64(atMost) + 1))
}

func (t *Tracker) fraction(f float64) time.Duration { return time.Duration(f * float64(t.bound)) }
