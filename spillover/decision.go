package spillover

// Reason is why a request is sent to a target in its node's failure domain or elsewhere.
type Reason uint8

const (
	// Stay means that the request stays in the node's failure domain.
	Stay Reason = iota
	// OwnFull means that leaving gains more than the crossing costs.
	OwnFull
	// OwnGone means that the own domain has no target that can be reached.
	OwnGone
	// OwnTried means that all targets of the own domain were tried for this request.
	OwnTried
	// Probe means that the own domain is short of slots and too little is known of the other.
	Probe
	// LowerScore means that the target elsewhere has a much lower score, whatever the share
	// is: the rule for requests that other responses wait for, and without this package.
	LowerScore
)

var reasonNames = [...]string{"stay", "own-full", "own-gone", "own-tried", "probe", "lower-score"}

// String returns the reason's name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Decision is where a request goes.
type Decision struct {
	Domain string // "" if it stays
	Reason Reason
	Share  float64 // of the requests of the same service and cost that leave at present
}
