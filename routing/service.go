package routing

import (
	"math"
	"time"
)

// Parameters of the latency estimates and of hedging.
const (
	latencyGain           = 1.0 / 32    // weight of one call in the moving averages
	latencyClip           = 3.0         // a call counts as at most this multiple of the average latency
	hedgeDeviations       = 4.0         // a hedge is sent this many mean deviations after the average latency
	hedgeMinRatio         = 2.0         // a hedge is sent no earlier than this multiple of the average latency
	hedgeFraction         = 0.02        // hedges allowed per call
	hedgeBurst            = 20.0        // hedges allowed at once, after enough calls without one
	hedgeMinSamples       = 20          // completed calls of the operation before its first hedge
	hedgeOverloadPause    = time.Second // no hedges for this time after a refusal for overload
	serviceStallMinCalls  = 4           // calls in flight below which no pause counts as a stall
	serviceStallIntervals = 4.0         // expected intervals between completed calls after which a service counts as stalled
	hedgeMaxUtilization   = 0.8         // fraction of the slots in use up to which hedges are sent
)

// latencyEstimate holds the moving averages of the latency of one operation.
type latencyEstimate struct {
	average   float64 // seconds, 0 if unknown
	deviation float64 // mean absolute deviation in seconds
	samples   int
}

// observe adds the latency of a completed call and returns its ratio to the
// average before it.
func (l *latencyEstimate) observe(seconds float64) float64 {
	l.samples++
	if l.average == 0 {
		l.average = seconds
		l.deviation = seconds / 4
		return 1
	}
	ratio := seconds / l.average
	difference := min(seconds, latencyClip*l.average) - l.average
	l.average += latencyGain * difference
	l.deviation += latencyGain * (math.Abs(difference) - l.deviation)
	return ratio
}

// Tiers of instances by their distance from the node, closest first.
const (
	tierDomain = iota
	tierRegion
	tierRest
	tierCount
)

// service is the state of one service in the table.
type service struct {
	name           string
	config         ServiceConfig
	tiers          [tierCount][]*target
	populated      bool             // the service has had instances
	operations     map[string]int32 // index in latencies
	latencies      []latencyEstimate
	averageLatency float64   // seconds, moving average over all operations
	lastOverload   time.Time // time of the last refusal for overload
	lastCompleted  time.Time // time when a call last completed
	hedgeTokens    float64   // hedges that may be sent
	inFlight       int
	sent           uint64 // calls sent so far
	slowTargets    int    // targets that are ejected as slow
	targetCount    int
	slownessSum    float64 // sum over the targets
	totalSlots     int     // sum over the targets
}

func newService(name string) *service {
	return &service{
		name:        name,
		operations:  make(map[string]int32),
		latencies:   make([]latencyEstimate, 0, 8),
		hedgeTokens: hedgeBurst,
	}
}

// latencyOf returns the estimate of an operation. Operations beyond
// MaxOperations share the last one.
func (s *service) latencyOf(operation string) *latencyEstimate {
	if index, ok := s.operations[operation]; ok {
		return &s.latencies[index]
	}
	if len(s.latencies) == MaxOperations {
		return &s.latencies[MaxOperations-1]
	}
	s.operations[operation] = int32(len(s.latencies))
	s.latencies = append(s.latencies, latencyEstimate{})
	return &s.latencies[len(s.latencies)-1]
}

// observe adds the latency of a completed call and returns its ratio to the
// operation's average.
func (s *service) observe(operation string, elapsed time.Duration) float64 {
	seconds := elapsed.Seconds()
	ratio := s.latencyOf(operation).observe(seconds)
	if s.averageLatency == 0 {
		s.averageLatency = seconds
	}
	s.averageLatency += latencyGain * (min(seconds, latencyClip*s.averageLatency) - s.averageLatency)
	return ratio
}

// minRatio returns a lower bound for the ratio of a call's latency to the
// operation's average, from the time that passed without a reply. It returns 0
// if that time is too short to conclude that the target is slow.
func (s *service) minRatio(operation string, elapsed time.Duration) float64 {
	average := s.latencyOf(operation).average
	if average == 0 || elapsed.Seconds() < slownessTolerance*average {
		return 0
	}
	return elapsed.Seconds() / average
}

// slownessOfOthers returns the mean slowness of the other targets, at least 1.
// Each target is compared with it, so that none is ejected when the whole
// service slows down. It is infinite for the only target of a service.
func (s *service) slownessOfOthers(t *target) float64 {
	if s.targetCount < 2 {
		return math.Inf(1)
	}
	return max(1, (s.slownessSum-t.slowness)/float64(s.targetCount-1))
}

// mayHedge reports whether hedges may be sent to the service now. While no
// instance replies, the cause is not one slow instance, and hedges would only
// add load.
func (s *service) mayHedge(now time.Time) bool {
	if now.Sub(s.lastOverload) < hedgeOverloadPause || s.hedgeTokens < 1 || s.stalled(now) {
		return false
	}
	return s.totalSlots == 0 || float64(s.inFlight) <= hedgeMaxUtilization*float64(s.totalSlots)
}

// stalled reports whether the time since the last completed call is several
// times the expected interval between two.
func (s *service) stalled(now time.Time) bool {
	if s.inFlight < serviceStallMinCalls {
		return false
	}
	interval := s.averageLatency / float64(s.inFlight)
	return now.Sub(s.lastCompleted).Seconds() > serviceStallIntervals*interval
}

// hedgeAfter returns the time without a reply after which a call may be hedged.
func (s *service) hedgeAfter(now time.Time, operation string) (time.Duration, bool) {
	if !s.mayHedge(now) {
		return 0, false
	}
	l := s.latencyOf(operation)
	if l.samples < hedgeMinSamples {
		return 0, false
	}
	seconds := max(l.average+hedgeDeviations*l.deviation, hedgeMinRatio*l.average)
	return time.Duration(seconds * float64(time.Second)), true
}
