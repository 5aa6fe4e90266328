package routing

import (
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
)

// Parameters of the estimates for one instance. Slowness is the moving average
// of the ratio of a call's latency to the average latency of its operation.
const (
	slownessGain         = 1.0 / 8                // weight of one call
	slownessClip         = 4.0                    // highest ratio that one call counts as
	slowThreshold        = 2.0                    // ratio to the mean slowness of the others from which an instance is ejected
	recoveryThreshold    = 1.4                    // ratio to the mean slowness of the others up to which an ejected instance returns
	probeGain            = 0.5                    // weight of one probe of a slow instance
	slownessMaxAge       = time.Second            // age at which the slowness of an instance that isn't ejected no longer counts
	slownessTolerance    = 1.5                    // slowness up to which an instance counts as normal
	slowProbeMinInterval = 250 * time.Millisecond // shortest time between two probes of a slow instance
	slowProbeMaxInterval = 4 * time.Second        // longest time between two probes of a slow instance while calls to the service are made
	slowProbeCalls       = 400                    // calls to the service between two probes, unless slowProbeMaxInterval has passed
	targetStallIntervals = 3.0                    // expected intervals without a reply from which an instance counts as slow
	ejectMin             = 100 * time.Millisecond // ejection after one failed connection, before jitter
	ejectMax             = 5 * time.Second        // longest ejection after failed connections, before jitter
	feedbackMaxAge       = 500 * time.Millisecond // age up to which the load in a reply counts
	drainingMaxAge       = 5 * time.Second        // age up to which a reply that reports draining counts
	rampMinShare         = 0.05                   // share of its slots that a new instance starts with
)

// target is the state of one instance in the table.
type target struct {
	instance     fleet.Instance
	service      *service
	inFlight     int
	lastActivity time.Time // last reply, or start of the first call since none was in flight

	slowness        float64   // moving average of latency ratios, 1 if normal
	slownessUpdated time.Time // time of the last update of slowness
	slow            bool      // ejected as slow
	lastProbe       time.Time // time of the last probe while slow
	probeAfterSent  uint64    // value of service.sent from which the next probe may be sent

	connectFailures int // consecutive failed connections
	ejectedUntil    time.Time
	drainingAt      time.Time // time of the last reply that reported draining
	coldSince       time.Time // zero if the instance is warm

	feedback           Feedback
	feedbackAt         time.Time
	inFlightAtFeedback int // calls of this node in flight when the feedback was received
}

// isDraining reports whether a recent reply reported that the target is draining.
func (t *target) isDraining(now time.Time) bool {
	return !t.drainingAt.IsZero() && now.Sub(t.drainingAt) < drainingMaxAge
}

// usable reports whether the instance can take a call, even if it is slow.
func (t *target) usable(now time.Time, exclude []fleet.InstanceID) bool {
	return t.connectFailures == 0 && !t.isDraining(now) && !slices.Contains(exclude, t.instance.ID)
}

// available reports whether the instance may be drawn: it is not ejected, or is
// due for a probe.
func (t *target) available(now time.Time) bool {
	if t.isDraining(now) {
		return false
	}
	if t.connectFailures > 0 {
		return !now.Before(t.ejectedUntil) && t.inFlight == 0
	}
	if t.slow {
		return t.inFlight == 0 && t.probeDue(now)
	}
	return true
}

// probing reports whether a call to the instance is a probe: an ejected instance
// is only drawn when a probe is due.
func (t *target) probing() bool { return t.slow || t.connectFailures > 0 }

// probeDue reports whether a slow instance may get a call that checks whether it
// has recovered.
func (t *target) probeDue(now time.Time) bool {
	elapsed := now.Sub(t.lastProbe)
	if elapsed < slowProbeMinInterval {
		return false
	}
	return t.service.sent >= t.probeAfterSent || elapsed >= slowProbeMaxInterval
}

// loadEstimate is the estimated load and latency of an instance at one moment.
type loadEstimate struct {
	load         float64 // calls that it runs or queues
	slots        float64 // calls that it runs at once, at least 1
	latencyRatio float64 // expected latency relative to the operation's average
}

// estimate returns the load estimate of the instance.
func (t *target) estimate(now time.Time) loadEstimate {
	slots := t.instance.Slots
	if slots == 0 {
		slots = t.service.config.Slots
	}
	load := t.inFlight
	if t.feedback.Limit > 0 && now.Sub(t.feedbackAt) < feedbackMaxAge {
		slots = t.feedback.Limit
		reported := t.feedback.Running + t.feedback.Queued + t.inFlight - t.inFlightAtFeedback
		load = max(load, reported)
	}
	return loadEstimate{
		load:         float64(load),
		slots:        max(float64(slots)*t.rampShare(now), 1),
		latencyRatio: t.latencyRatio(now),
	}
}

// hasRoom reports whether a further call would find a free slot.
func (e loadEstimate) hasRoom() bool { return e.load+1 <= e.slots && e.latencyRatio <= slowThreshold }

// score ranks instances; lower is better. It is the expected latency plus the
// utilization, which separates instances of equal latency.
func (e loadEstimate) score() float64 {
	utilization := (e.load + 1) / e.slots
	return e.latencyRatio*max(1, utilization) + utilization
}

// rampShare returns the share of its slots that the instance may use: it grows
// over the cold start of a new instance and is 1 for a warm one.
func (t *target) rampShare(now time.Time) float64 {
	if t.coldSince.IsZero() {
		return 1
	}
	age := now.Sub(t.coldSince)
	if age >= t.service.config.ColdStart {
		t.coldSince = time.Time{}
		return 1
	}
	share := float64(age) / float64(t.service.config.ColdStart)
	return max(share, rampMinShare)
}

// decayedSlowness returns the slowness, decayed with its age. Without the decay,
// an instance that is avoided as slow would get no calls that could lower its
// slowness. An ejected instance needs no decay, as it gets probes.
func (t *target) decayedSlowness(now time.Time) float64 {
	if t.slow || t.slowness <= slownessTolerance {
		return t.slowness
	}
	weight := 1 - float64(now.Sub(t.slownessUpdated))/float64(slownessMaxAge)
	return 1 + (t.slowness-1)*max(weight, 0)
}

// latencyRatio returns the expected latency relative to the operation's average:
// the slowness, or a higher value if the instance has not replied for several
// expected intervals.
func (t *target) latencyRatio(now time.Time) float64 {
	ratio := t.decayedSlowness(now)
	if t.inFlight > 0 && t.service.averageLatency > 0 {
		interval := t.service.averageLatency / float64(t.inFlight)
		intervals := now.Sub(t.lastActivity).Seconds() / max(interval, t.service.averageLatency/8)
		if intervals > targetStallIntervals {
			ratio = max(ratio, min(intervals/targetStallIntervals*slowThreshold, slownessClip))
		}
	}
	if ratio < slownessTolerance {
		return 1
	}
	return ratio
}

// begin records that a call is sent to the instance.
func (t *target) begin(now time.Time) {
	if t.inFlight == 0 {
		t.lastActivity = now
	}
	t.inFlight++
	if t.slow {
		t.scheduleProbe(now, slowProbeCalls)
	}
}

// scheduleProbe delays the next probe of a slow instance until the service has
// sent the given number of further calls or slowProbeMaxInterval has passed.
func (t *target) scheduleProbe(now time.Time, calls uint64) {
	t.lastProbe = now
	t.probeAfterSent = t.service.sent + calls
}

// end records the end of a call; a latency ratio of 0 is unknown.
func (t *target) end(now time.Time, s Sample, ratio float64) {
	t.inFlight = max(t.inFlight-1, 0)
	t.lastActivity = now
	if s.Feedback.Limit > 0 {
		t.feedback = s.Feedback
		t.feedbackAt = now
		t.inFlightAtFeedback = t.inFlight
	}
	if s.Feedback.Draining || s.Reason == call.ReasonDraining {
		t.drainingAt = now
	}
	if ratio > 0 {
		t.updateSlowness(now, ratio)
	}
}

// updateSlowness records the latency ratio of one call, and ejects the instance
// or ends its ejection.
func (t *target) updateSlowness(now time.Time, ratio float64) {
	gain := slownessGain
	if t.slow {
		gain = probeGain
	}
	previous := t.slowness
	t.slownessUpdated = now
	t.slowness += gain * (min(ratio, slownessClip) - t.slowness)
	t.service.slownessSum += t.slowness - previous
	others := t.service.slownessOfOthers(t)
	switch {
	case !t.slow && t.slowness >= slowThreshold*others:
		t.slow = true
		t.service.slowTargets++
		t.scheduleProbe(now, slowProbeCalls)
	case t.slow && t.slowness <= recoveryThreshold*others:
		t.slow = false
		t.service.slowTargets--
	case t.slow && ratio < recoveryThreshold:
		t.probeAfterSent = 0 // it seems to have recovered, so the next probe need not wait for further calls
	}
}

// recordConnectFailure ejects the instance for a time that doubles with each
// consecutive failure. The jitter, from 0 to 1, spreads it from half to one and a
// half times its length.
func (t *target) recordConnectFailure(now time.Time, jitter float64) {
	ejection := ejectMin << min(t.connectFailures, 10)
	ejection = min(ejection, ejectMax)
	t.connectFailures++
	t.ejectedUntil = now.Add(ejection/2 + time.Duration(jitter*float64(ejection)))
}
