package admission

import "math"

// rate estimates events per unit of exposure. Old events fade together with
// the exposure in which they were seen, so a pause without exposure leaves the
// estimate as it was.
type rate struct {
	events   float64
	exposure float64
}

// minExposure is the exposure below which nothing is known.
const minExposure = 1e-9

func (r *rate) known() bool { return r.exposure > minExposure }

// value returns events per unit of exposure, 0 while nothing is known.
func (r *rate) value() float64 {
	if !r.known() {
		return 0
	}
	return r.events / r.exposure
}

// add fades the past by keep (0..1) and adds what was seen since.
func (r *rate) add(events, exposure, keep float64) {
	r.events = r.events*keep + events
	r.exposure = r.exposure*keep + exposure
}

// Parameters of jumps.
const (
	jumpDeviations = 4   // standard deviations of a Poisson count from which a change is a jump
	jumpKeep       = 0.3 // part of the past that is kept after a jump
	fewestEvents   = 8   // events on which a recent estimate is believed
	riseDeviations = 3   // standard deviations by which it must exceed the older one
)

// jumped reports whether the events differ from the estimate by more than
// chance explains.
func (r *rate) jumped(events, exposure float64) bool {
	if !r.known() {
		return true
	}
	expected := r.value() * exposure
	difference := math.Abs(events - expected)
	return difference > jumpDeviations*(math.Sqrt(expected)+1)
}

// exceeds reports whether r is higher than the other estimate by more than
// chance explains.
func (r *rate) exceeds(other rate) bool {
	expected := other.value() * r.exposure
	return r.events >= fewestEvents && r.events > expected+riseDeviations*math.Sqrt(expected)
}
