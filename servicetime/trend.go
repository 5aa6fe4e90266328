package servicetime

import (
	"math"
	"time"
)

const (
	// leadTime is the time for which the slowdown is to be predicted: an entry hears of a target
	// about once a second, and sends the next request there some tenths of a second later.
	leadTime = 600 * time.Millisecond
	// trendGain is the weight of one observation, of which there is one each leadTime.
	trendGain = 0.1
	// priorVariance and priorCovariance are assumed of a target that has stated little: half of
	// a change lasts for the lead time. They are those of a figure that varies by about a tenth.
	priorVariance, priorCovariance = 0.01, 0.005
	// minVariance keeps a figure that hardly varies from teaching its noise.
	minVariance = 0.001
)

// trend learns which part of a change of the stated slowdown is left after the lead time, by the
// regression of later deviations from the mean on earlier ones, in logarithms.
type trend struct {
	mean                 float64 // moving average of the logarithm, with the horizon of a route's average
	updated              time.Time
	variance, covariance float64
	begun                time.Time // of the current observation; zero if there is none
	meanThen, deviation  float64   // when it began
}

func newTrend() trend { return trend{variance: priorVariance, covariance: priorCovariance} }

// observe records the present slowdown.
func (t *trend) observe(now time.Time, slowdown float64) {
	value := math.Log(slowdown)
	if t.updated.IsZero() || now.Sub(t.updated) > maxStatedAge {
		t.mean, t.begun = value, time.Time{}
	}
	t.mean += gain(now.Sub(t.updated), horizon) * (value - t.mean)
	t.updated = now
	if !t.begun.IsZero() {
		if now.Sub(t.begun) < leadTime {
			return
		}
		t.variance += trendGain * (t.deviation*t.deviation - t.variance)
		t.covariance += trendGain * (t.deviation*(value-t.meanThen) - t.covariance)
	}
	t.begun, t.meanThen, t.deviation = now, t.mean, value-t.mean
}

// persistence returns the part of a change that is left after the lead time, from 0 to 1.
func (t *trend) persistence() float64 {
	if t.variance < minVariance {
		return priorCovariance / priorVariance
	}
	return min(max(t.covariance/t.variance, 0), 1)
}
