package admission

import (
	"time"
)

// Parameters of the limit.
const (
	shedCut       = 0.95                   // factor on the limit for each call that the target refuses
	completedGain = 1.0075                 // and for each one that it completes meanwhile
	climbAfter    = 100 * time.Millisecond // time without a shed before the limit climbs
	climbPart     = 0.05                   // part of the ceiling gained each tick
	searchStart   = 16                     // first limit of a target whose slots are unknown
	searchCeiling = 1024                   // highest limit of such a target
	searchWindow  = 200 * time.Millisecond // shortest time over which completions are compared
	searchSamples = 64                     // fewest completions that are compared
	searchStep    = 1.15                   // factor between two tried limits
	searchGain    = 0.25                   // part of the step that completions must gain
	searchLoss    = 0.5                    // part of a step down that completions may lose
	searchSmooth  = 0.25                   // weight of a window at the knee
	searchHold    = 20                     // windows that a found knee is kept before it is tried again
	busyEnough    = 0.9                    // part of the limit in use from which a window counts
)

// limiter holds the number of calls that a target is given at once.
type limiter struct {
	slots   int // stated by the contract, 0 if unknown
	value   float64
	lastCut time.Time
	search  search
}

func newLimiter(slots int) limiter {
	l := limiter{slots: slots}
	l.value = float64(slots)
	if slots == 0 {
		l.value = searchStart
		l.search.knee = searchStart
	}
	return l
}

// limit returns the calls that may run at once, at least 1.
func (l *limiter) limit() int { return max(int(l.value), 1) }

func (l *limiter) setSlots(slots int) {
	if slots != l.slots {
		lastCut := l.lastCut
		*l = newLimiter(slots)
		l.lastCut = lastCut
	}
}

// shed cuts the limit as the target refused a call.
func (l *limiter) shed(now time.Time) {
	l.lastCut = now
	l.value = max(1, l.value*shedCut)
	l.search.knee = l.value
}

// completed lets a limit that was cut climb with each completed call. So the cuts
// prevail only while the target refuses more than about a tenth of its calls; a
// lower limit wouldn't help a target that refuses some calls at any load.
func (l *limiter) completed(now time.Time) {
	if now.Sub(l.lastCut) < climbAfter && l.slots > 0 {
		l.value = min(float64(l.slots), l.value*completedGain)
	}
}

// tick lets the limit climb. The arguments tell what the target completed and
// how much of the limit was in use since the last tick.
func (l *limiter) tick(now time.Time, elapsed time.Duration, completed int, busySeconds float64) {
	if now.Sub(l.lastCut) < climbAfter {
		l.search.restart()
		return
	}
	if l.slots > 0 {
		ceiling := float64(l.slots)
		l.value = min(ceiling, l.value+max(ceiling*climbPart, 0.25))
		return
	}
	l.search.add(elapsed, completed, busySeconds)
	if l.search.ready() {
		l.value = l.search.next(l.value)
	}
}

// search looks for the lowest limit with the most completions. From the knee
// that it knows it tries a higher limit, then a lower one, in turn.
type search struct {
	knee      float64 // best limit found
	best      float64 // completions per second at the knee
	held      int     // windows for which the knee is still kept
	down      bool    // the next try is below the knee
	elapsed   time.Duration
	completed int
	busy      float64 // seconds of running calls
}

func (s *search) restart() {
	s.elapsed = 0
	s.completed = 0
	s.busy = 0
}

func (s *search) add(elapsed time.Duration, completed int, busySeconds float64) {
	s.elapsed += elapsed
	s.completed += completed
	s.busy += busySeconds
}

func (s *search) ready() bool {
	return s.elapsed >= searchWindow && s.completed >= searchSamples
}

// next returns the limit to try after a window at the present one.
func (s *search) next(present float64) float64 {
	seconds := s.elapsed.Seconds()
	throughput := float64(s.completed) / seconds
	inUse := s.busy / seconds
	s.restart()
	if inUse < busyEnough*float64(int(present)) {
		return present // the limit didn't bind, so the window tells nothing
	}
	if present != s.knee {
		return s.judge(present, throughput)
	}
	s.smooth(throughput)
	if s.held > 0 {
		s.held--
		return present
	}
	return s.try()
}

// try returns the limit to compare with the knee.
func (s *search) try() float64 {
	if s.down {
		return max(1, min(s.knee/searchStep, s.knee-1))
	}
	return min(searchCeiling, max(s.knee*searchStep, s.knee+1))
}

// judge keeps a higher limit if completions rose with it, and a lower one if
// they hardly fell. Otherwise it returns to the knee and turns round.
func (s *search) judge(present, throughput float64) float64 {
	gain := searchGain
	if s.down {
		gain = searchLoss
	}
	needed := s.best * (1 + (present/s.knee-1)*gain)
	if throughput < needed {
		if s.down {
			s.held = searchHold
		}
		s.down = !s.down
		return s.knee
	}
	s.knee = present
	s.smooth(throughput)
	return s.try()
}

// smooth takes the completions of one window at the knee.
func (s *search) smooth(throughput float64) {
	if s.best == 0 {
		s.best = throughput
	}
	s.best += searchSmooth * (throughput - s.best)
}
