package routing

import (
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
)

// Parameters of the judgement of one instance.
const (
	slownessGain  = 1.0 / 8                // weight of an answer
	slownessClip  = 4.0                    // highest ratio that one answer counts as
	slowFrom      = 2.0                    // slowness, against the others', from which an instance is set aside
	slowUntil     = 1.4                    // and below which it is back
	probeGain     = 0.5                    // weight of the answer to a probe
	slownessHolds = time.Second            // age at which a slowness no longer counts
	slownessFloor = 1.5                    // slowness that makes no difference
	slowProbeMin  = 250 * time.Millisecond // least time between two probes of a slow instance
	slowProbeMax  = 4 * time.Second        // most time between them
	slowProbeCall = 400                    // calls to the service between them, unless the most time has passed
	stallRatio    = 3.0                    // usual latencies without an answer that count as slow
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

	slowness  float64   // latency against the usual one, smoothed
	judged    time.Time // last change of slowness
	slow      bool
	probed    time.Time // last probe while slow
	probeFrom uint64    // calls to the service from which the next probe may be sent

	failures  int // failed connections in a row
	ejected   time.Time
	draining  time.Time // when a draining notice was seen
	coldSince time.Time // zero if the instance is warm

	feedback   Feedback
	feedbackAt time.Time
	sentBefore int // own calls in flight when the feedback came
}

// drains reports whether the instance lately said that it leaves.
func (t *target) drains(now time.Time) bool {
	return !t.draining.IsZero() && now.Sub(t.draining) < drainingHolds
}

// usable reports whether the instance can take a call, even if slowly.
func (t *target) usable(now time.Time, exclude []fleet.InstanceID) bool {
	return t.failures == 0 && !t.drains(now) && !slices.Contains(exclude, t.instance.ID)
}

// available reports whether the instance may be drawn.
func (t *target) available(now time.Time) bool {
	if t.drains(now) {
		return false
	}
	if t.failures > 0 {
		return !now.Before(t.ejected) && t.inFlight == 0
	}
	if t.slow {
		return t.inFlight == 0 && t.probeDue(now)
	}
	return true
}

// probing reports whether a call to the instance is a probe. One that is drawn
// while it is set aside is due to get one.
func (t *target) probing() bool { return t.slow || t.failures > 0 }

// probeDue reports whether a slow instance may get a call to see if it is back.
func (t *target) probeDue(now time.Time) bool {
	passed := now.Sub(t.probed)
	if passed < slowProbeMin {
		return false
	}
	return t.service.begun >= t.probeFrom || passed >= slowProbeMax
}

// view is what an instance is judged by at one moment.
type view struct {
	load  float64 // calls that it is thought to hold
	slots float64 // calls that it runs at once, at least 1
	delay float64 // latency to expect against the usual one
}

// view judges the instance.
func (t *target) view(now time.Time) view {
	slots := t.instance.Slots
	if slots == 0 {
		slots = t.service.config.Slots
	}
	load := t.inFlight
	if t.feedback.Limit > 0 && now.Sub(t.feedbackAt) < feedbackHolds {
		slots = t.feedback.Limit
		told := t.feedback.Running + t.feedback.Queued + t.inFlight - t.sentBefore
		load = max(load, told)
	}
	return view{
		load:  float64(load),
		slots: max(float64(slots)*t.warmth(now), 1),
		delay: t.delayRatio(now),
	}
}

// hasRoom reports whether a further call would find a free slot.
func (v view) hasRoom() bool { return v.load+1 <= v.slots && v.delay <= slowFrom }

// cost ranks instances; lower is better. It is the expected latency, with the
// used part of the slots to tell equals apart.
func (v view) cost() float64 {
	used := (v.load + 1) / v.slots
	return v.delay*max(1, used) + used
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

// recentSlowness returns the slowness, which counts for less the older it is. An
// instance that is avoided for it has no answers that could lower it; one that
// was set aside is probed instead.
func (t *target) recentSlowness(now time.Time) float64 {
	if t.slow || t.slowness <= slownessFloor {
		return t.slowness
	}
	left := 1 - float64(now.Sub(t.judged))/float64(slownessHolds)
	return 1 + (t.slowness-1)*max(left, 0)
}

// delayRatio returns the latency to expect against the usual one.
func (t *target) delayRatio(now time.Time) float64 {
	ratio := t.recentSlowness(now)
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

// begin counts a call that is sent.
func (t *target) begin(now time.Time) {
	if t.inFlight == 0 {
		t.lastSeen = now
	}
	t.inFlight++
	if t.slow {
		t.nextProbe(now, slowProbeCall)
	}
}

// nextProbe puts the next probe of a slow instance off.
func (t *target) nextProbe(now time.Time, calls uint64) {
	t.probed = now
	t.probeFrom = t.service.begun + calls
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
	before := t.slowness
	t.judged = now
	t.slowness += gain * (min(ratio, slownessClip) - t.slowness)
	t.service.slowness += t.slowness - before
	others := t.service.slownessOfOthers(t)
	switch {
	case !t.slow && t.slowness >= slowFrom*others:
		t.slow = true
		t.service.slow++
		t.nextProbe(now, slowProbeCall)
	case t.slow && t.slowness <= slowUntil*others:
		t.slow = false
		t.service.slow--
	case t.slow && ratio < slowUntil:
		t.probeFrom = 0 // it seems to be back, so it is soon probed again
	}
}

// connectFailed sets the instance aside; the time grows with each failure.
func (t *target) connectFailed(now time.Time, jitter float64) {
	wait := ejectMin << min(t.failures, 10)
	wait = min(wait, ejectMax)
	t.failures++
	t.ejected = now.Add(wait/2 + time.Duration(jitter*float64(wait)))
}
