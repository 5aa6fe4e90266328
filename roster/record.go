package roster

import "time"

// State is what the node beside a target says of it.
type State uint8

const (
	// Absent: no target has announced itself, or it has left.
	Absent State = iota
	// Ready: the target takes requests.
	Ready
	// Draining: the target finishes its requests and takes no new ones.
	Draining
)

var stateNames = [...]string{"absent", "ready", "draining"}

// String returns the state's name in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Target is one incarnation of a target, as it announced itself.
type Target struct {
	ID       string
	Born     int64  // Unix milliseconds of its start, orders incarnations
	Sequence uint64 // of the heartbeat that said so
	Service  string
	Slots    int // requests that it runs at once
	State    State
	ColdLeft time.Duration // how much longer it is slow after its start
}

// Record is what one node states of itself and its target.
type Record struct {
	Instance    string // name of the instance
	Incarnation int64  // Unix milliseconds of the node's start
	Sequence    uint64 // grows with each statement of one incarnation
	Address     string // host:port where peers reach the node
	Domain      string // failure domain
	Leaving     bool   // the node stops: it takes no new requests
	Target      Target
}

// Newer reports whether r replaces the other record of the same instance.
func (r *Record) Newer(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Takes reports whether new requests may be sent to the record's target.
func (r *Record) Takes() bool { return !r.Leaving && r.Target.State == Ready }
