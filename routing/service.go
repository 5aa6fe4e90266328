package routing

import (
	"math"
	"time"
)

// Parameters of the usual latency of an operation.
const (
	usualGain    = 1.0 / 32
	usualClip    = 3.0 // highest multiple of the usual latency that one answer counts as
	hedgeSpread  = 4.0 // deviations above the usual latency after which a hedge is sent
	hedgeFactor  = 2.0 // and at least this multiple of it
	hedgePart    = 0.02
	hedgeBurst   = 20.0
	hedgeSamples = 20          // answers before the first hedge
	calmAfter    = time.Second // time without a refusal for overload before hedges are sent
	stallCalls   = 4           // calls in flight from which a pause tells something
	stallGaps    = 4.0         // usual times between two answers that are a pause
	hedgeLoad    = 0.8         // used part of the slots up to which hedges are sent
)

// latency is what is usual for one operation.
type latency struct {
	usual     float64 // seconds, 0 if unknown
	deviation float64 // mean absolute deviation in seconds
	samples   int
}

// observe adds an answer and returns its ratio to what was usual before.
func (l *latency) observe(seconds float64) float64 {
	l.samples++
	if l.usual == 0 {
		l.usual = seconds
		l.deviation = seconds / 4
		return 1
	}
	ratio := seconds / l.usual
	difference := min(seconds, usualClip*l.usual) - l.usual
	l.usual += usualGain * difference
	l.deviation += usualGain * (math.Abs(difference) - l.deviation)
	return ratio
}

// Tiers of instances, the closest first.
const (
	tierDomain = iota
	tierRegion
	tierRest
	tierCount
)

// service is one service as the table sees it.
type service struct {
	name       string
	config     ServiceConfig
	tiers      [tierCount][]*target
	known      bool // a first list has been set
	operations map[string]int32
	latencies  []latency
	usual      float64   // seconds, over all operations
	overload   time.Time // last refusal for overload
	completed  time.Time // last completed call
	hedges     float64   // hedges that may be sent
	inFlight   int
	begun      uint64 // calls sent so far
	slow       int    // targets that are set aside as slow
	targets    int
	slowness   float64 // sum over the targets
	slots      int     // of all its targets
}

func newService(name string) *service {
	return &service{
		name:       name,
		operations: make(map[string]int32),
		latencies:  make([]latency, 0, 8),
		hedges:     hedgeBurst,
	}
}

// latencyOf returns the record of an operation; a full table shares its last.
func (s *service) latencyOf(operation string) *latency {
	if at, ok := s.operations[operation]; ok {
		return &s.latencies[at]
	}
	if len(s.latencies) == MaxOperations {
		return &s.latencies[MaxOperations-1]
	}
	s.operations[operation] = int32(len(s.latencies))
	s.latencies = append(s.latencies, latency{})
	return &s.latencies[len(s.latencies)-1]
}

// observe adds the latency of a completed call and returns its ratio to the
// usual one.
func (s *service) observe(operation string, spent time.Duration) float64 {
	seconds := spent.Seconds()
	ratio := s.latencyOf(operation).observe(seconds)
	if s.usual == 0 {
		s.usual = seconds
	}
	s.usual += usualGain * (min(seconds, usualClip*s.usual) - s.usual)
	return ratio
}

// leastRatio returns the ratio to the usual latency that a call without an answer
// has at least, or 0 if that tells nothing.
func (s *service) leastRatio(operation string, spent time.Duration) float64 {
	usual := s.latencyOf(operation).usual
	if usual == 0 || spent.Seconds() < slownessFloor*usual {
		return 0
	}
	return spent.Seconds() / usual
}

// slownessOfOthers returns the mean slowness of the other targets, at least 1. A
// service that has slowed as a whole has no target to set aside.
func (s *service) slownessOfOthers(t *target) float64 {
	if s.targets < 2 {
		return math.Inf(1)
	}
	return max(1, (s.slowness-t.slowness)/float64(s.targets-1))
}

// mayHedge reports whether calls may be sent a second time at all. While no
// instance answers, it is not one of them that is slow, and hedges would only
// add to the load.
func (s *service) mayHedge(now time.Time) bool {
	if now.Sub(s.overload) < calmAfter || s.hedges < 1 || s.stalled(now) {
		return false
	}
	return s.slots == 0 || float64(s.inFlight) <= hedgeLoad*float64(s.slots)
}

// stalled reports whether no call has completed for several times the usual
// time between two.
func (s *service) stalled(now time.Time) bool {
	if s.inFlight < stallCalls {
		return false
	}
	gap := s.usual / float64(s.inFlight)
	return now.Sub(s.completed).Seconds() > stallGaps*gap
}

// hedgeAfter returns after how long a call may be sent a second time.
func (s *service) hedgeAfter(now time.Time, operation string) (time.Duration, bool) {
	if !s.mayHedge(now) {
		return 0, false
	}
	l := s.latencyOf(operation)
	if l.samples < hedgeSamples {
		return 0, false
	}
	seconds := max(l.usual+hedgeSpread*l.deviation, hedgeFactor*l.usual)
	return time.Duration(seconds * float64(time.Second)), true
}
