package quota

import "time"

const (
	// answerTimeout is within which a peer must acknowledge a renewal to count as reachable.
	answerTimeout = 600 * time.Millisecond
	// askTimeout is after which another message with asks is sent although the former one
	// wasn't answered.
	askTimeout = 150 * time.Millisecond
	// minBackoff and maxBackoff bound the time until a peer that didn't answer is asked again.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// peer is what a node knows of another one as a home.
type peer struct {
	incarnation int64
	stamp       time.Duration // latest time of the peer's clock that it stated
	majority    uint32
	alive       bool
	aliveSince  time.Duration
	awaiting    bool // a renewal wasn't acknowledged yet
	awaitSince  time.Duration
	renewedAt   time.Duration
	hasRenewed  bool
	failedUntil time.Duration
	backoff     time.Duration
	until       time.Duration // by when all that was delegated to it has ended

	asking  bool // asks are in flight
	askedAt time.Duration
	pending []string // accounts to be asked for with the next message
}

// acknowledged records an ack to a renewal that was sent at echo. It reports whether the
// process of the peer is a new one.
func (p *peer) acknowledged(now time.Duration, incarnation int64, stamp, echo time.Duration, majority uint32) (restarted bool) {
	restarted = p.incarnation != 0 && incarnation > p.incarnation
	if restarted || p.incarnation == 0 {
		p.incarnation, p.stamp = incarnation, stamp
	}
	p.stamp, p.majority = max(p.stamp, stamp), majority
	if now-echo > answerTimeout {
		return restarted // too slow to be asked for tokens
	}
	if !p.alive {
		p.alive, p.aliveSince = true, now
	}
	p.awaiting, p.backoff, p.failedUntil = false, 0, 0
	return restarted
}

// failed records that the peer doesn't answer.
func (p *peer) failed(now time.Duration) {
	p.alive, p.awaiting, p.asking, p.majority = false, false, false, 0
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.failedUntil = now + p.backoff
}

// expire reports whether an answer is overdue. A peer to which no renewals were sent lately isn't
// known to be reachable.
func (p *peer) expire(now, renewal time.Duration) (failed bool) {
	if p.alive && now-p.renewedAt > 2*renewal+answerTimeout {
		p.alive = false
	}
	if p.asking && now-p.askedAt > askTimeout {
		p.asking = false
	}
	return p.awaiting && now-p.awaitSince > answerTimeout
}

func (p *peer) hasMajority(group int) bool { return p.alive && p.majority&(1<<group) != 0 }
