package admission

import (
	"time"
)

// Parameters of the concurrency limit. Fractions are between 0 and 1.
const (
	shedFactor           = 0.95                   // factor on the limit for each call that the target sheds
	completedFactor      = 1.0075                 // factor on the limit for each call that the target completes within recoveryDelay of a shed
	recoveryDelay        = 100 * time.Millisecond // time without a shed before the limit recovers
	recoveryFraction     = 0.05                   // fraction of the slots by which a recovering limit rises each tick
	searchStart          = 16                     // first limit of a target whose slots are unknown
	searchCeiling        = 1024                   // highest limit of a target whose slots are unknown
	searchWindow         = 200 * time.Millisecond // shortest time over which completions are compared
	searchSamples        = 64                     // fewest completions in a window that is compared
	searchStep           = 1.15                   // factor between two limits that are compared
	searchMinGain        = 0.25                   // fraction of a step up that throughput must gain
	searchMaxLoss        = 0.5                    // fraction of a step down that throughput may lose
	kneeSmoothing        = 0.25                   // weight of a new window in the throughput at the knee
	kneeHoldWindows      = 20                     // windows for which a confirmed knee is kept before the search continues
	searchMinUtilization = 0.9                    // fraction of the limit in use from which a window is compared
)

// limiter is the concurrency limit of a target.
type limiter struct {
	slots   int // from the target's contract, 0 if unknown
	value   float64
	lastCut time.Time
	search  limitSearch
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

// limit returns the number of calls that may run at once, at least 1.
func (l *limiter) limit() int { return max(int(l.value), 1) }

func (l *limiter) setSlots(slots int) {
	if slots != l.slots {
		lastCut := l.lastCut
		*l = newLimiter(slots)
		l.lastCut = lastCut
	}
}

// onShed cuts the limit after the target shed a call.
func (l *limiter) onShed(now time.Time) {
	l.lastCut = now
	l.value = max(1, l.value*shedFactor)
	l.search.knee = l.value
}

// onCompleted raises a limit that was cut recently. So the limit falls only while
// the target sheds more than about a tenth of its calls; a lower limit wouldn't help
// a target that sheds some calls at any load.
func (l *limiter) onCompleted(now time.Time) {
	if now.Sub(l.lastCut) < recoveryDelay && l.slots > 0 {
		l.value = min(float64(l.slots), l.value*completedFactor)
	}
}

// tick raises the limit, or moves the search if the slots are unknown. The calls
// that completed and their busy time are those since the last tick.
func (l *limiter) tick(now time.Time, elapsed time.Duration, completed int, busySeconds float64) {
	if now.Sub(l.lastCut) < recoveryDelay {
		l.search.reset()
		return
	}
	if l.slots > 0 {
		ceiling := float64(l.slots)
		l.value = min(ceiling, l.value+max(ceiling*recoveryFraction, 0.25))
		return
	}
	l.search.add(elapsed, completed, busySeconds)
	if l.search.ready() {
		l.value = l.search.next(l.value)
	}
}

// limitSearch looks for the knee: the lowest limit with the highest throughput.
// From the best limit found so far it compares higher and lower limits in turn.
type limitSearch struct {
	knee           float64 // best limit found so far
	kneeThroughput float64 // completions per second at the knee
	holdWindows    int     // remaining windows for which the knee is kept
	tryLower       bool    // the next candidate is below the knee
	elapsed        time.Duration
	completed      int
	busySeconds    float64 // running time summed over calls
}

func (s *limitSearch) reset() {
	s.elapsed = 0
	s.completed = 0
	s.busySeconds = 0
}

func (s *limitSearch) add(elapsed time.Duration, completed int, busySeconds float64) {
	s.elapsed += elapsed
	s.completed += completed
	s.busySeconds += busySeconds
}

func (s *limitSearch) ready() bool {
	return s.elapsed >= searchWindow && s.completed >= searchSamples
}

// next returns the limit to use after a window at the current one.
func (s *limitSearch) next(current float64) float64 {
	seconds := s.elapsed.Seconds()
	throughput := float64(s.completed) / seconds
	inUse := s.busySeconds / seconds
	s.reset()
	if inUse < searchMinUtilization*float64(int(current)) {
		return current // the limit wasn't reached, so the throughput says nothing about it
	}
	if current != s.knee {
		return s.evaluate(current, throughput)
	}
	s.updateThroughput(throughput)
	if s.holdWindows > 0 {
		s.holdWindows--
		return current
	}
	return s.candidate()
}

// candidate returns the limit to compare with the knee.
func (s *limitSearch) candidate() float64 {
	if s.tryLower {
		return max(1, min(s.knee/searchStep, s.knee-1))
	}
	return min(searchCeiling, max(s.knee*searchStep, s.knee+1))
}

// evaluate accepts a higher limit as the knee if throughput rose with it, and a
// lower one if throughput hardly fell. Otherwise it returns to the knee and reverses
// the direction of the search.
func (s *limitSearch) evaluate(current, throughput float64) float64 {
	gain := searchMinGain
	if s.tryLower {
		gain = searchMaxLoss
	}
	needed := s.kneeThroughput * (1 + (current/s.knee-1)*gain)
	if throughput < needed {
		if s.tryLower {
			s.holdWindows = kneeHoldWindows
		}
		s.tryLower = !s.tryLower
		return s.knee
	}
	s.knee = current
	s.updateThroughput(throughput)
	return s.candidate()
}

// updateThroughput adds one window to the throughput at the knee.
func (s *limitSearch) updateThroughput(throughput float64) {
	if s.kneeThroughput == 0 {
		s.kneeThroughput = throughput
	}
	s.kneeThroughput += kneeSmoothing * (throughput - s.kneeThroughput)
}
