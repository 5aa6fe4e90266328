package routing

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
)

// Parameters of the judgement of one instance.
const (
	slownessGain  = 1.0 / 8                // weight of an answer
	slownessClip  = 4.0                    // highest ratio that one answer counts as
	slowFrom      = 2.0                    // slowness from which an instance is set aside
	slowUntil     = 1.4                    // slowness below which it is back
	probeGain     = 0.5                    // weight of the answer to a probe
	slownessFloor = 1.5                    // slowness that makes no difference
	slowProbeMin  = 250 * time.Millisecond // time between two probes of a slow instance
	slowProbeMax  = 4 * time.Second
	stallRatio    = 3.0 // usual latencies without an answer that count as slow
	ejectMin      = 100 * time.Millisecond
	ejectMax      = 5 * time.Second
	feedbackHolds = 500 * time.Millisecond // age up to which an answer's load counts
	drainingHolds = 5 * time.Second        // age up to which a draining notice counts
	rampFloor     = 0.05                   // first share of a new instance
)

// target is what the table knows of one instance.
type target struct {
	instance fleet.Instance
	service  *service
	inFlight int
	lastSeen time.Time // last answer, or start of the oldest call known to wait

	slowness  float64 // latency against the usual one, smoothed
	slow      bool
	probeAt   time.Time // earliest next probe while slow
	probeWait time.Duration

	failures  int // failed connections in a row
	ejected   time.Time
	draining  time.Time // when a draining notice was seen
	coldSince time.Time // zero if the instance is warm

	feedback   Feedback
	feedbackAt time.Time
	sentBefore int // own calls in flight when the feedback came
}

// available reports whether the instance may be drawn.
func (t *target) available(now time.Time) bool {
	if !t.draining.IsZero() && now.Sub(t.draining) < drainingHolds {
		return false
	}
	if t.failures > 0 {
		return !now.Before(t.ejected) && t.inFlight == 0
	}
	if t.slow {
		return !now.Before(t.probeAt) && t.inFlight == 0
	}
	return true
}

// slots returns the calls that the instance runs at once, at least 1.
func (t *target) slots(now time.Time) float64 {
	slots := t.instance.Slots
	if slots == 0 {
		slots = t.service.config.Slots
	}
	if t.feedback.Limit > 0 && now.Sub(t.feedbackAt) < feedbackHolds {
		slots = t.feedback.Limit
	}
	return max(float64(slots)*t.warmth(now), 1)
}

// load returns the calls that the instance is thought to hold.
func (t *target) load(now time.Time) float64 {
	own := t.inFlight
	if t.feedback.Limit == 0 || now.Sub(t.feedbackAt) >= feedbackHolds {
		return float64(own)
	}
	told := t.feedback.Running + t.feedback.Queued + own - t.sentBefore
	return float64(max(own, told))
}

// warmth returns the share that a new instance may have, 1 for a warm one.
func (t *target) warmth(now time.Time) float64 {
	if t.coldSince.IsZero() {
		return 1
	}
	age := now.Sub(t.coldSince)
	if age >= t.service.config.ColdStart {
		t.coldSince = time.Time{}
		return 1
	}
	part := float64(age) / float64(t.service.config.ColdStart)
	return max(part, rampFloor)
}

// hasRoom reports whether a further call would find a free slot.
func (t *target) hasRoom(now time.Time) bool {
	return t.load(now)+1 <= t.slots(now) && t.delayRatio(now) <= slowFrom
}

// delayRatio returns the latency to expect against the usual one.
func (t *target) delayRatio(now time.Time) float64 {
	ratio := t.slowness
	if t.inFlight > 0 && t.service.usual > 0 {
		gap := t.service.usual / float64(t.inFlight)
		stall := now.Sub(t.lastSeen).Seconds() / max(gap, t.service.usual/8)
		if stall > stallRatio {
			ratio = max(ratio, min(stall/stallRatio*slowFrom, slownessClip))
		}
	}
	if ratio < slownessFloor {
		return 1
	}
	return ratio
}

// cost ranks an instance; lower is better. It is the expected latency, with the
// used part of the slots to tell equals apart.
func (t *target) cost(now time.Time) float64 {
	used := (t.load(now) + 1) / t.slots(now)
	return t.delayRatio(now)*max(1, used) + used
}

// begin counts a call that is sent.
func (t *target) begin(now time.Time) {
	if t.inFlight == 0 {
		t.lastSeen = now
	}
	t.inFlight++
	if t.slow {
		t.probeWait = min(max(2*t.probeWait, slowProbeMin), slowProbeMax)
		t.probeAt = now.Add(t.probeWait)
	}
}

// end takes what came of a call.
func (t *target) end(now time.Time, s Sample, ratio float64) {
	t.inFlight = max(t.inFlight-1, 0)
	t.lastSeen = now
	if s.Feedback.Limit > 0 {
		t.feedback = s.Feedback
		t.feedbackAt = now
		t.sentBefore = t.inFlight
	}
	if s.Feedback.Draining || s.Reason == call.ReasonDraining {
		t.draining = now
	}
	if ratio > 0 {
		t.judge(now, ratio)
	}
}

// judge takes one answer's latency against the usual one.
func (t *target) judge(now time.Time, ratio float64) {
	gain := slownessGain
	if t.slow {
		gain = probeGain
	}
	t.slowness += gain * (min(ratio, slownessClip) - t.slowness)
	switch {
	case !t.slow && t.slowness >= slowFrom:
		t.slow = true
		t.probeWait = slowProbeMin
		t.probeAt = now.Add(t.probeWait)
	case t.slow && t.slowness <= slowUntil:
		t.slow = false
	}
}

// connectFailed sets the instance aside; the time grows with each failure.
func (t *target) connectFailed(now time.Time, jitter float64) {
	wait := ejectMin << min(t.failures, 10)
	wait = min(wait, ejectMax)
	t.failures++
	t.ejected = now.Add(wait/2 + time.Duration(jitter*float64(wait)))
}
