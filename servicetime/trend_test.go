package servicetime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// predictionError returns the root mean square error of the logarithm of the expected duration,
// a lag ahead. The target's slowdown varies with a correlation time, both in seconds; it is
// stated if states is set. 40 requests a second end, by chance.
func predictionError(correlation, lag float64, states bool) float64 {
	type prediction struct {
		of    time.Time
		value float64
	}
	random := rand.New(rand.NewPCG(1, 2))
	e, now, slowdown, squares, count := New(), start, 0.0, 0.0, 0.0
	var predictions []prediction
	for range 20000 {
		elapsed := random.ExpFloat64() / 40
		now = now.Add(time.Duration(elapsed * float64(time.Second)))
		kept := math.Exp(-elapsed / correlation)
		slowdown = slowdown*kept + 0.5*math.Sqrt(1-kept*kept)*random.NormFloat64()
		if states {
			e.State(now, math.Exp(slowdown))
		}
		e.Record(now, "r", time.Duration(0.05*math.Exp(slowdown)*(0.5+random.ExpFloat64()/2)*float64(time.Second)))
		predictions = append(predictions, prediction{now.Add(time.Duration(lag * float64(time.Second))), math.Log(e.Expect(now, "r").Seconds() / 0.05)})
		for len(predictions) > 0 && predictions[0].of.Before(now) {
			squares += (predictions[0].value - slowdown) * (predictions[0].value - slowdown)
			count++
			predictions = predictions[1:]
		}
	}
	return math.Sqrt(squares / count)
}

// Guards against trust in a figure whose changes are over when the next request comes, and
// against distrust of one whose changes last.
func TestStatedSlowdownPredictsAsFarAsItsChangesLast(t *testing.T) {
	for _, c := range []struct{ correlation, lag, most float64 }{
		{0.1, 0.3, 1.05}, {0.1, 1, 1.05}, {0.3, 0.3, 1.05}, {0.3, 1, 1.07}, {1, 0.3, 0.97}, {1, 1, 1.07}, {3, 0.3, 0.95}, {10, 0.3, 0.95}, {10, 1, 0.99},
	} {
		Convey("The error of the prediction, over that without the figure", t, func() {
			ratio := predictionError(c.correlation, c.lag, true) / predictionError(c.correlation, c.lag, false)
			Printf("correlation %v s, %v s ahead: %.3f\n", c.correlation, c.lag, ratio)
			So(ratio, ShouldBeLessThan, c.most)
		})
	}
}
