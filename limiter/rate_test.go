package limiter

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/internal/virtual"
)

// rateSimulation is a target with a rate limit, whose requests take serviceTime.
type rateSimulation struct {
	*virtual.Clock
	limiter     *Limiter
	serviceTime time.Duration
	starts      []time.Time
	started     [3]int // by priority
	refused     [3]int
	timerSet    bool
}

func newRateSimulation(slots int, rate float64) *rateSimulation {
	s := &rateSimulation{Clock: virtual.NewClock(start), limiter: New(slots), serviceTime: 50 * time.Millisecond}
	s.limiter.SetRateLimit(start, rate)
	return s
}

func (s *rateSimulation) arrive(priority int) {
	i := &Item{Priority: priority, Deadline: s.Now().Add(2 * time.Second)}
	switch s.limiter.Arrive(s.Now(), i) {
	case Run:
		s.run(i)
	case Wait:
	default:
		s.refused[priority]++
	}
	s.wake()
}

func (s *rateSimulation) run(i *Item) {
	s.starts = append(s.starts, s.Now())
	s.started[i.Priority]++
	s.After(s.serviceTime, func() {
		s.limiter.Done(i, s.serviceTime)
		s.wake()
	})
}

func (s *rateSimulation) wake() {
	for i := s.limiter.Next(s.Now()); i != nil; i = s.limiter.Next(s.Now()) {
		s.run(i)
	}
	for i := s.limiter.Evict(); i != nil; i = s.limiter.Evict() {
		s.refused[i.Priority]++
	}
	if after, ok := s.limiter.NextIn(s.Now()); ok && !s.timerSet {
		s.timerSet = true
		s.After(after, func() {
			s.timerSet = false
			s.wake()
		})
	}
}

// mostIn returns how many requests started at most within a window of the length.
func (s *rateSimulation) mostIn(window time.Duration) int {
	most, first := 0, 0
	for last, at := range s.starts {
		for at.Sub(s.starts[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against a target that gets more than the rate limit that it states, however
// requests arrive, end early and change the limit.
func TestRateLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 4 * time.Second
		highest := rapid.Float64Range(0.25, 60).Draw(t, "rate")
		s := newRateSimulation(rapid.IntRange(0, 40).Draw(t, "slots"), highest)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s.RunUntil(s.Now().Add(1))
			s.After(time.Duration(rapid.IntRange(0, 300).Draw(t, "pauseMs"))*time.Millisecond, func() {})
			s.RunUntil(s.Now().Add(301 * time.Millisecond))
			switch rapid.SampledFrom([]string{"arrive", "arrive", "lower", "lift"}).Draw(t, "action") {
			case "arrive":
				for range rapid.IntRange(1, 80).Draw(t, "requests") {
					s.arrive(rapid.IntRange(0, 2).Draw(t, "priority"))
				}
			case "lower":
				s.limiter.SetRateLimit(s.Now(), highest*rapid.Float64Range(0.1, 1).Draw(t, "share"))
			case "lift":
				s.limiter.SetRateLimit(s.Now(), 0)
				s.limiter.SetRateLimit(s.Now(), highest)
			}
			s.wake()
		}
		if allowed := highest*window.Seconds() + max(highest*rateBurstTime.Seconds(), minRateBurst) + 1; float64(s.mostIn(window)) > allowed {
			t.Fatalf("%d requests started within %v, allowed %.1f", s.mostIn(window), window, allowed)
		}
	})
}

// A rate limit that was lowered and raised again let a whole burst start once more.
func TestChangedRateFreesNoRequests(t *testing.T) {
	s := newRateSimulation(79, 8)
	s.After(4*time.Second, func() {}) // a burst may start then
	s.RunUntil(start.Add(5 * time.Second))
	for range 40 {
		s.arrive(0)
	}
	before := len(s.starts)
	for range 5 {
		s.limiter.SetRateLimit(s.Now(), 0.8)
		s.limiter.SetRateLimit(s.Now(), 8)
		for range 40 {
			s.arrive(0)
		}
		s.wake()
	}
	if before == 0 || len(s.starts) > before {
		t.Errorf("%d requests started at once, %d more after the rate had changed", before, len(s.starts)-before)
	}
}

func TestRateLimit(t *testing.T) {
	flood := func(s *rateSimulation, seconds, perS int, priority func(i int) int) {
		for i := range seconds * perS {
			s.After(time.Duration(i)*time.Second/time.Duration(perS), func() { s.arrive(priority(i)) })
		}
		s.RunUntil(start.Add(time.Duration(seconds) * time.Second))
	}
	Convey("A target whose limit is exceeded gets all that it takes", t, func() {
		for _, rate := range []float64{1, 8, 40} {
			s := newRateSimulation(79, rate)
			flood(s, 20, 100, func(int) int { return 2 })
			So(float64(len(s.starts)), ShouldBeBetween, 0.93*20*rate, 20*rate+2)
		}
	})
	Convey("The least important requests are refused first", t, func() {
		s := newRateSimulation(79, 20)
		flood(s, 20, 40, func(i int) int { return []int{0, 2, 2, 1}[i%4] }) // 10, 10 and 20 a second
		So(s.refused[0], ShouldBeLessThanOrEqualTo, 2)                      // of 200, before the first starts
		So(s.started[1], ShouldBeGreaterThan, 150)
		So(s.refused[2], ShouldBeGreaterThan, 300)
	})
	Convey("Without a limit all requests start", t, func() {
		s := newRateSimulation(0, 0)
		flood(s, 5, 100, func(int) int { return 2 })
		So(len(s.starts), ShouldEqual, 500)
		So(s.limiter.RateUse(s.Now()), ShouldEqual, 0)
	})
	Convey("A limit that is lifted frees the queue", t, func() {
		s := newRateSimulation(79, 8)
		flood(s, 2, 100, func(int) int { return 2 })
		So(s.limiter.Waiting(), ShouldBeGreaterThan, 0)
		s.limiter.SetRateLimit(s.Now(), 0)
		s.wake()
		So(s.limiter.Waiting(), ShouldEqual, 0)
	})
	Convey("The pressure follows the demand, below 1 within the limit and above it beyond", t, func() {
		for perS, between := range map[int][2]float64{10: {0, 0.9}, 40: {1.5, 3}} {
			s := newRateSimulation(79, 20)
			flood(s, 10, perS, func(int) int { return 2 })
			pressures := s.limiter.Pressures(s.Now())
			So(pressures[2], ShouldBeBetweenOrEqual, between[0], between[1])
			So(pressures[1], ShouldBeLessThan, 0.5)
		}
	})
	Convey("A request that doesn't run after all returns its part of the rate", t, func() {
		l := New(79)
		l.SetRateLimit(start, 1)
		now := start.Add(10 * time.Second)
		for range 10 {
			i := item(0, time.Minute)
			So(l.Arrive(now, i), ShouldEqual, Run)
			l.Release(i)
		}
	})
}

// Guards against a restarted node that fills a target at once whose rate limit it hasn't
// heard.
func TestSlowStartBeforeTheFirstResponse(t *testing.T) {
	Convey("Few requests start, and more with time", t, func() {
		l := New(100)
		l.StartSlowly(start)
		flood := func(now time.Time) (started int) {
			for range 200 {
				if l.Arrive(now, item(0, time.Hour)) == Run {
					started++
				}
			}
			for l.Next(now) != nil {
				started++
			}
			return started
		}
		So(flood(start), ShouldEqual, slowStartRequests)
		after, ok := l.NextIn(start)
		So(ok, ShouldBeTrue)
		So(after, ShouldEqual, slowStartDoublingTime)
		So(flood(start.Add(after)), ShouldEqual, slowStartRequests)
		l.EndSlowStart()
		So(flood(start.Add(after)), ShouldEqual, 95-2*slowStartRequests)
	})
	Convey("It doesn't change the pressures, by which entry nodes refuse requests", t, func() {
		l := New(100)
		l.StartSlowly(start)
		for range 20 {
			l.Arrive(start, item(0, time.Hour))
		}
		So(l.Pressures(start)[0], ShouldBeLessThan, 0.3)
	})
}
