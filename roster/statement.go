package roster

import "time"

const (
	// minRateLimit is the lowest rate limit that is kept, in requests per second. A target
	// that takes fewer, or none, still gets a request now and then, since only its
	// responses tell that the limit has changed.
	minRateLimit = 0.25
	// maxRateLimit is the highest rate limit that is kept, in requests per second.
	maxRateLimit = 1e6
	// rateTolerance is the relative difference up to which a changed rate limit isn't
	// published, and ratePublishInterval the least time between two publications.
	rateTolerance       = 0.25
	ratePublishInterval = 2 * time.Second
)

// longAgo is when a target began to leave of which only others know, so that calls under way get
// no time to reach it. It lies before whatever the clock shows, however it is set. The start of the
// target may not: the clock may have been set back since.
var longAgo = time.Time{}.Add(1)

// Statement is what a target states in a response for all nodes together. It concerns
// every request that any node sends, and stays true when the node that read it restarts.
type Statement struct {
	// HasRateLimit tells that the target limits the rate of its requests, to RateLimit
	// requests per second from all nodes together.
	HasRateLimit bool
	RateLimit    float64
	Leaving      bool  // the target is about to leave and wants no new requests
	Invalid      error // why a part of the statement can't be read; nil if all of it can
}

// ObserveStatement updates the state from what a target stated in a response, which was read
// now, to a request that was sent at sentAt. It reports whether the new state is to be
// published at once; RatePublicationDue tells when a changed rate limit is.
//
// A target that leaves doesn't take that back. A lower rate limit holds at once. A higher
// one, or none, holds only if the request was sent after the current limit was last read:
// responses on several connections may overtake each other.
func (l *LocalTarget) ObserveStatement(now, sentAt time.Time, of Target, s Statement) (publish bool) {
	if !of.sameIncarnation(&l.target) {
		return false
	}
	l.responded = true
	if s.HasRateLimit || s.Invalid == nil {
		l.observeRate(now, sentAt, s)
	}
	return s.Leaving && l.leave(now)
}

func (l *LocalTarget) observeRate(now, sentAt time.Time, s Statement) {
	rate := 0.0
	if s.HasRateLimit {
		rate = boundRate(s.RateLimit)
	}
	current := l.target.RateLimit
	isLower := rate > 0 && (current == 0 || rate <= current)
	if !isLower && sentAt.Before(l.rateReadAt) {
		return
	}
	l.target.RateLimit = rate
	if rate > 0 {
		l.rateReadAt = now
	}
}

// boundRate returns the rate limit that is kept for a stated one.
func boundRate(rate float64) float64 { return min(max(rate, minRateLimit), maxRateLimit) }

// leave makes a target drain that stated that it leaves. It reports whether that is new.
func (l *LocalTarget) leave(now time.Time) bool {
	if l.target.Leaving {
		return false
	}
	l.target.Leaving = true
	if l.target.State == Ready {
		l.target.State = Draining
	}
	if l.drainStart.IsZero() {
		l.drainStart = now
	}
	return true
}

// RatePublicationDue reports whether the rate limit has changed enough since it was last
// published to be published now, and records that it is.
func (l *LocalTarget) RatePublicationDue(now time.Time) bool {
	rate := l.target.RateLimit
	if isCloseRate(rate, l.publishedRate) || now.Sub(l.ratePublishedAt) < ratePublishInterval {
		return false
	}
	l.publishedRate, l.ratePublishedAt = rate, now
	return true
}

// isCloseRate reports whether a rate limit differs little from another one.
func isCloseRate(rate, other float64) bool {
	return rate >= other*(1-rateTolerance) && rate <= other*(1+rateTolerance)
}

// ObserveEarlier records what the target stated before this process was started, as the
// store or a peer knows it. It reports whether the target's state changed.
func (l *LocalTarget) ObserveEarlier(t Target) bool {
	hasRateLimit := t.RateLimit > 0 // peers may send what is no rate
	if !t.isLeaving() && !hasRateLimit {
		return false
	}
	if !t.sameIncarnation(&l.earlier) {
		if t.Born < l.earlier.Born {
			return false
		}
		l.earlier = Target{ID: t.ID, Born: t.Born}
	}
	l.earlier.Leaving = l.earlier.Leaving || t.isLeaving()
	if hasRateLimit {
		l.earlier.RateLimit = lowerRate(l.earlier.RateLimit, boundRate(t.RateLimit))
	}
	return l.target.sameIncarnation(&l.earlier) && l.applyEarlier()
}

// applyEarlier applies the earlier statements to the current target, if they are of its
// incarnation. It reports whether the target's state changed.
func (l *LocalTarget) applyEarlier() bool {
	if !l.target.sameIncarnation(&l.earlier) {
		return false
	}
	if !l.responded {
		l.target.RateLimit = lowerRate(l.target.RateLimit, l.earlier.RateLimit)
	}
	if !l.earlier.Leaving {
		return false
	}
	return l.leave(longAgo)
}

// lowerRate returns the lower of two rate limits, of which 0 means none.
func lowerRate(a, b float64) float64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
