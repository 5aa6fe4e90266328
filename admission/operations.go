package admission

import (
	"math"
	"time"
)

// Parameters of the estimated service times.
const (
	serviceTimeGain       = 1.0 / 16               // weight of a new sample
	waitFactor            = 2.0                    // waiting time that is allowed, in mean service times
	serviceTimeDecayAfter = 250 * time.Millisecond // time without a sample before an estimate decays
	serviceTimeDecay      = 0.9                    // factor per tick on an estimate that decays
)

// serviceTime estimates the service time of one operation.
type serviceTime struct {
	mean      float64   // seconds, 0 if unknown
	deviation float64   // mean absolute deviation in seconds
	last      time.Time // time of the last sample
}

// observe adds one service time.
func (s *serviceTime) observe(now time.Time, spent time.Duration) {
	seconds := spent.Seconds()
	s.last = now
	if s.mean == 0 {
		s.mean = seconds
		s.deviation = seconds / 4
		return
	}
	difference := seconds - s.mean
	s.mean += serviceTimeGain * difference
	s.deviation += serviceTimeGain * (math.Abs(difference) - s.deviation)
}

// lowEstimate returns a service time that most calls exceed.
func (s *serviceTime) lowEstimate() time.Duration {
	seconds := max(s.mean-s.deviation, s.mean/2)
	return time.Duration(seconds * float64(time.Second))
}

// allowedWait returns the time that a call may wait in proportion to its service
// time.
func (s *serviceTime) allowedWait() time.Duration {
	return time.Duration(waitFactor * s.mean * float64(time.Second))
}

// decay lowers an estimate that has had no sample for serviceTimeDecayAfter.
// Otherwise an estimate above every deadline would cause the refusal of all calls
// that could correct it.
func (s *serviceTime) decay(now time.Time) {
	if s.mean > 0 && now.Sub(s.last) > serviceTimeDecayAfter {
		s.mean *= serviceTimeDecay
		s.deviation *= serviceTimeDecay
	}
}

// serviceTimes is the table of the service times of one target's operations.
type serviceTimes struct {
	index   map[string]int32
	entries []serviceTime
	median  float64 // estimated median service time of all calls in seconds, 0 if unknown
}

func newServiceTimes() serviceTimes {
	return serviceTimes{
		index:   make(map[string]int32, MaxOperations),
		entries: make([]serviceTime, 0, MaxOperations),
	}
}

// find returns the index of the operation's entry. Operations that no longer fit
// share the last one.
func (t *serviceTimes) find(name string) int32 {
	if at, ok := t.index[name]; ok {
		return at
	}
	if len(t.entries) == MaxOperations {
		return MaxOperations - 1
	}
	at := int32(len(t.entries))
	t.entries = append(t.entries, serviceTime{})
	t.index[name] = at
	return at
}

// medianStep is the relative step by which the median moves.
const medianStep = 1.0 / 64

// observe adds one service time. The median moves by equal steps toward each
// sample, so a few long calls hardly change it.
func (t *serviceTimes) observe(now time.Time, at int32, spent time.Duration) {
	t.entries[at].observe(now, spent)
	seconds := spent.Seconds()
	switch {
	case t.median == 0:
		t.median = seconds
	case seconds > t.median:
		t.median *= 1 + medianStep
	default:
		t.median *= 1 - medianStep
	}
}

// isLong reports whether the operation's mean service time is more than factor
// times the median.
func (t *serviceTimes) isLong(at int32, factor float64) bool {
	return t.median > 0 && t.entries[at].mean > factor*t.median
}

// decay lowers all estimates that have had no recent sample.
func (t *serviceTimes) decay(now time.Time) {
	for i := range t.entries {
		t.entries[i].decay(now)
	}
}
