package attempt

import "math"

// MaxNeeds bounds the operations whose need is remembered.
const MaxNeeds = 1024

// Parameters of the learned need.
const (
	needFade      = 1.0 / 256 // part of the difference by which a need falls with each call
	marginDivisor = 4         // a quarter of the need is passed on top of it
	keptDivisor   = 8         // an eighth of the grant is kept from an unknown operation
)

// needKey names an operation.
type needKey struct {
	service   string
	operation string
}

// Needs remembers how many attempts the calls of each operation spend.
type Needs struct {
	spent map[needKey]float64
}

// NewNeeds returns an empty table.
func NewNeeds() *Needs { return &Needs{spent: make(map[needKey]float64)} }

// Observe takes note of the attempts that one call spent, itself included. The
// need rises at once and falls slowly. A full table learns no more operations.
func (n *Needs) Observe(service, operation string, spent int) {
	if spent <= 0 {
		return
	}
	if n.spent == nil {
		n.spent = make(map[needKey]float64)
	}
	key := needKey{service, operation}
	need, known := n.spent[key]
	if !known && len(n.spent) >= MaxNeeds {
		return
	}
	value := float64(spent)
	if value < need {
		value = need - (need-value)*needFade
	}
	n.spent[key] = value
}

// Need returns the attempts that calls of an operation are known to spend.
func (n *Needs) Need(service, operation string) (int, bool) {
	known, ok := n.spent[needKey{service, operation}]
	return int(math.Ceil(known)), ok
}

// Share returns how many of the attempts that are left a call should be passed:
// what its operation is known to need with a margin, or all but an eighth.
func (n *Needs) Share(service, operation string, left int) int {
	if left <= 1 {
		return max(left, 0)
	}
	need, ok := n.Need(service, operation)
	if !ok {
		return left - max(1, left/keptDivisor)
	}
	margin := 1 + need/marginDivisor
	return min(left, need+margin)
}
