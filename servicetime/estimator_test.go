package servicetime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

// play records 40 requests a second for the seconds, each of the duration and with the
// slowdown stated, 0 for none, and returns the expected duration at the end.
func play(e *Estimator, from time.Time, seconds float64, took func() time.Duration, stated func() float64) (time.Time, time.Duration) {
	now := from
	for range int(seconds * 40) {
		now = now.Add(25 * time.Millisecond)
		if s := stated(); s > 0 {
			e.State(now, s)
		}
		e.Record(now, "r", took())
	}
	return now, e.Expect(now, "r")
}

func constant[T any](v T) func() T { return func() T { return v } }

// Guards against estimates that lag behind the target or trust a figure that is wrong.
func TestExpectedDuration(t *testing.T) {
	const usual = 50 * time.Millisecond
	near := func(got, want time.Duration, tolerance float64) {
		So(math.Abs(got.Seconds()/want.Seconds()-1), ShouldBeLessThan, tolerance)
	}
	Convey("Nothing is expected of a route without requests", t, func() {
		So(New().Expect(start, "r"), ShouldEqual, 0)
	})
	Convey("A target that becomes four times slower is known within two seconds", t, func() {
		e := New()
		now, _ := play(e, start, 5, constant(usual), constant(0.0))
		_, got := play(e, now, 2, constant(4*usual), constant(0.0))
		near(got, 4*usual, 0.2)
	})
	Convey("A true figure makes it known sooner", t, func() {
		with, without := New(), New()
		now, _ := play(with, start, 5, constant(usual), constant(1.0))
		play(without, start, 5, constant(usual), constant(0.0))
		_, gotWith := play(with, now, 0.3, constant(2*usual), constant(2.0))
		_, gotWithout := play(without, now, 0.3, constant(2*usual), constant(0.0))
		So(gotWith, ShouldBeGreaterThan, gotWithout)
		near(gotWith, 2*usual, 0.25)
	})
	Convey("A figure that is constantly wrong changes nothing", t, func() {
		for _, lie := range []float64{0.01, 0.3, 3, 1e9} {
			_, got := play(New(), start, 5, constant(usual), constant(lie))
			near(got, usual, 0.02)
		}
	})
	Convey("A random figure moves the estimate by a bounded factor and on average by little", t, func() {
		random, e, now, sum := rand.New(rand.NewPCG(1, 2)), New(), start, 0.0
		for range 200 {
			var got time.Duration
			now, got = play(e, now, 0.5, constant(usual), func() float64 { return 0.3 + 2.7*random.Float64() })
			sum += got.Seconds() / usual.Seconds() / 200
			So(got, ShouldBeBetween, usual/2, 2*usual)
		}
		So(sum, ShouldBeBetween, 0.9, 1.1)
	})
	Convey("A figure that is no longer stated is dropped", t, func() {
		e := New()
		now, _ := play(e, start, 5, constant(usual), constant(1.0))
		e.State(now, 4)
		So(e.Expect(now.Add(3*time.Second), "r"), ShouldEqual, usual)
		So(e.Slowdown(now.Add(3*time.Second)), ShouldEqual, 1)
	})
}
