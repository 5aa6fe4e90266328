package attempt

import "math"

// MaxNeeds is the maximum number of operations in a table of needs.
const MaxNeeds = 1024

// Parameters of the observed needs.
const (
	needDecay      = 1.0 / 256 // fraction of the difference by which a need falls with each call
	marginDivisor  = 4         // the margin on a need is a quarter of it
	reserveDivisor = 8         // an eighth of the attempts is not passed to an operation of unknown need
)

// needKey identifies an operation.
type needKey struct {
	service   string
	operation string
}

// Needs is a table of the attempts that the calls of each operation spend.
type Needs struct {
	needs map[needKey]float64
}

// NewNeeds returns an empty table.
func NewNeeds() *Needs { return &Needs{needs: make(map[needKey]float64)} }

// Observe records the attempts that one call spent, including its own. The need
// rises at once and falls slowly. A full table adds no more operations.
func (n *Needs) Observe(service, operation string, spent int) {
	if spent <= 0 {
		return
	}
	if n.needs == nil {
		n.needs = make(map[needKey]float64)
	}
	key := needKey{service, operation}
	need, known := n.needs[key]
	if !known && len(n.needs) >= MaxNeeds {
		return
	}
	value := float64(spent)
	if value < need {
		value = need - (need-value)*needDecay
	}
	n.needs[key] = value
}

// Need returns the attempts that calls of an operation spend, rounded up, and
// whether any were observed.
func (n *Needs) Need(service, operation string) (int, bool) {
	known, ok := n.needs[needKey{service, operation}]
	return int(math.Ceil(known)), ok
}

// Share returns how many of the remaining attempts to pass to a call: the need of
// its operation plus a margin, or all but an eighth if the need is unknown.
func (n *Needs) Share(service, operation string, left int) int {
	if left <= 1 {
		return max(left, 0)
	}
	need, ok := n.Need(service, operation)
	if !ok {
		return left - max(1, left/reserveDivisor)
	}
	margin := 1 + need/marginDivisor
	return min(left, need+margin)
}
