package admission

import "math"

// rate estimates events per unit of exposure, as a ratio of two decaying sums. Old
// events decay together with their exposure, so an interval without exposure leaves
// the estimate unchanged.
type rate struct {
	events   float64
	exposure float64
}

// minExposure is the exposure up to which the rate is unknown.
const minExposure = 1e-9

func (r *rate) known() bool { return r.exposure > minExposure }

// value returns events per unit of exposure, 0 if unknown.
func (r *rate) value() float64 {
	if !r.known() {
		return 0
	}
	return r.events / r.exposure
}

// add multiplies the old events and exposure by decay (0..1) and adds the new ones.
func (r *rate) add(events, exposure, decay float64) {
	r.events = r.events*decay + events
	r.exposure = r.exposure*decay + exposure
}

// Parameters of sudden changes.
const (
	jumpDeviations   = 4   // standard deviations of a Poisson count above which a difference is a jump
	jumpDecay        = 0.3 // decay of the old events at a jump
	minRecentEvents  = 8   // fewest events for which a recent estimate is compared with an older one
	exceedDeviations = 3   // standard deviations by which a recent estimate must exceed an older one
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
	return r.events >= minRecentEvents && r.events > expected+exceedDeviations*math.Sqrt(expected)
}
