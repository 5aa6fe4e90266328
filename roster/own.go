package roster

import "time"

// expiryIntervals is the number of heartbeat intervals without a heartbeat after which
// the target counts as absent. Heartbeats may be seconds late.
const expiryIntervals = 4

// LocalTarget tracks the state of the target beside the node by its heartbeats.
type LocalTarget struct {
	interval      time.Duration // between heartbeats
	target        Target
	lastHeartbeat time.Time
	drainStart    time.Time // when the target began to drain or deregistered; zero if it did neither
	expired       bool      // heartbeats have stopped
	ended         bool      // the process of the current incarnation was seen to have ended
	// deregistered holds, by ID, when targets other than the current one deregistered. A
	// restarted node may receive a target's deregistration first and an earlier heartbeat
	// of that target seconds later.
	deregistered map[string]time.Time
	// published is the target's state as the node published it before its own restart.
	published Target
	// earlier are the statements of the target that were heard before the node's own
	// restart, by this node or by others.
	earlier Target
	// responded is set once the target has responded to this process, which knows the
	// rate limit itself from then on.
	responded bool
	// rateReadAt is when the current rate limit was last read in a response.
	rateReadAt time.Time
	// publishedRate is the rate limit that the node published last.
	publishedRate   float64
	ratePublishedAt time.Time
}

// maxDeregistered bounds the number of deregistered targets that are stored. An instance
// has one target at a time, so the latest ones suffice.
const maxDeregistered = 16

// NewLocalTarget returns the state of a node that has received no heartbeat yet.
// interval is the time between heartbeats.
func NewLocalTarget(interval time.Duration) *LocalTarget {
	return &LocalTarget{interval: interval, deregistered: map[string]time.Time{}}
}

// Target returns the current target, and the time when it began to drain or deregistered.
// The time is zero if it did neither.
func (l *LocalTarget) Target() (Target, time.Time) { return l.target, l.drainStart }

// Heartbeat updates the state from a heartbeat. It reports whether anything changed that
// is to be published. A heartbeat of an earlier incarnation, of a target that deregistered
// since its start, or with an older sequence number changes nothing.
func (l *LocalTarget) Heartbeat(now time.Time, t Target) bool {
	if !l.Accepts(t) {
		return false
	}
	previous := l.target
	sameIncarnation := previous.sameIncarnation(&t)
	if sameIncarnation && l.ended && t.State == Ready {
		l.ended = false // a second one proves that the process lives
		l.target.Sequence = t.Sequence
		return false
	}
	if sameIncarnation {
		t.RateLimit, t.Leaving = previous.RateLimit, previous.Leaving
	}
	if sameIncarnation && !l.drainStart.IsZero() && !l.expired {
		t.State = previous.State // a target that drains or deregistered doesn't become ready again
	}
	if t.Leaving && t.State == Ready {
		t.State = Draining
	}
	wasExpired := l.expired
	l.target, l.lastHeartbeat, l.expired, l.ended = t, now, false, false
	if !sameIncarnation {
		l.drainStart, l.responded, l.rateReadAt = time.Time{}, false, time.Time{}
		l.applyEarlier()
		l.publishedRate = l.target.RateLimit // the caller publishes the new target
	}
	if l.target.State == Draining && l.drainStart.IsZero() {
		l.drainStart = now
	}
	l.target.Leaving = l.target.isLeaving()
	return !sameIncarnation || wasExpired || previous.State != t.State || previous.Slots != t.Slots || previous.Service != t.Service
}

// Accepts reports whether a heartbeat is newer than what is known of the target, and than its
// deregistration. Any other heartbeat changes nothing.
func (l *LocalTarget) Accepts(t Target) bool {
	deregisteredAt, ok := l.deregistered[t.ID]
	return l.isNewer(&t) && (!ok || t.Born > deregisteredAt.UnixMilli())
}

// ObservePublished records the target's state as the node published it before its own
// restart. It makes no target ready, but heartbeats that are older than it are ignored
// from then on. If such a heartbeat was accepted before, the published state replaces it.
// ObservePublished reports whether the target's state changed.
func (l *LocalTarget) ObservePublished(now time.Time, t Target) bool {
	if t.sameIncarnation(&l.published) && t.Sequence < l.published.Sequence {
		return false
	}
	l.published = t
	if l.adoptDeregistered(t.ID) {
		return true
	}
	if !t.sameIncarnation(&l.target) || l.target.Sequence > t.Sequence || t.State == Ready || l.target.State == t.State {
		return false
	}
	l.target.State, l.target.Sequence = t.State, t.Sequence
	l.target.Leaving = l.target.Leaving || t.isLeaving()
	if l.drainStart.IsZero() {
		l.drainStart = now
	}
	return true
}

// isNewer reports whether a heartbeat is newer than the current and the published state.
func (l *LocalTarget) isNewer(t *Target) bool {
	if t.sameIncarnation(&l.published) && t.Sequence <= l.published.Sequence {
		return false
	}
	if t.Born != l.target.Born {
		return t.Born > l.target.Born
	}
	if t.ID != l.target.ID {
		return l.target.State == Absent || t.Sequence > 0 && l.target.ID == ""
	}
	return t.Sequence > l.target.Sequence
}

// Deregister makes the target absent, at the target's own request. It reports whether the
// current target's state changed. A request of another target changes it only if no heartbeat was
// received yet and the node published that target before its restart.
func (l *LocalTarget) Deregister(now time.Time, id string) bool {
	if id != l.target.ID {
		l.recordDeregistered(now, id)
		return l.adoptDeregistered(id)
	}
	if l.target.Leaving && l.target.State == Absent {
		return false
	}
	if l.drainStart.IsZero() {
		l.drainStart = now
	}
	l.target.State, l.target.Leaving = Absent, true
	return true
}

// adoptDeregistered makes the published target the current one if it has deregistered, so that
// others learn of it, and reports whether it did. No heartbeat of the target may follow that a
// restarted node could learn its start from.
func (l *LocalTarget) adoptDeregistered(id string) bool {
	at, ok := l.deregistered[id]
	if !ok || l.target.ID != "" || l.published.ID != id || l.published.Born > at.UnixMilli() {
		return false
	}
	l.target, l.drainStart = l.published, at
	l.target.State, l.target.Leaving = Absent, true
	return true
}

// recordDeregistered records that a target other than the current one deregistered. It
// drops the oldest such record if there are too many.
func (l *LocalTarget) recordDeregistered(now time.Time, id string) {
	if len(l.deregistered) >= maxDeregistered {
		oldest := id
		for other, at := range l.deregistered {
			if oldest == id || at.Before(l.deregistered[oldest]) {
				oldest = other
			}
		}
		delete(l.deregistered, oldest)
	}
	l.deregistered[id] = now
}

// Expire makes a ready target absent whose heartbeats have stopped. It reports whether it
// did.
func (l *LocalTarget) Expire(now time.Time) bool {
	if l.target.State != Ready || now.Sub(l.lastHeartbeat) < expiryIntervals*l.interval {
		return false
	}
	l.target.State = Absent
	l.expired = true
	return true
}

// Ended makes a target absent whose process has ended. One heartbeat of the same incarnation may
// still be on its way and changes nothing.
func (l *LocalTarget) Ended(t Target) {
	if l.target.sameIncarnation(&t) && l.target.State == Ready {
		l.target.State = Absent
		l.expired, l.ended = true, true
	}
}
