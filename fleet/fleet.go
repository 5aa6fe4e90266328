// Package fleet defines the types that describe a fleet of nodes: the instances,
// the failure domains and regions that they are in, and the state of each instance
// and its target. The package makes no decisions and does no I/O.
package fleet

// InstanceID identifies one run of a node process. A restarted process has a new
// one, so it receives nothing that was addressed to its predecessor.
type InstanceID string

// FailureDomain names a set of instances that fail together, such as those in one
// data hall.
type FailureDomain string

// Region names a set of failure domains that are near each other.
type Region string

// Instance describes one node and its local target.
type Instance struct {
	ID            InstanceID
	PeerAddress   string // host:port for calls and control messages from other nodes
	FailureDomain FailureDomain
	Region        Region
	Service       string // service of the target, "" until a target has announced itself
	Slots         int    // calls that the target runs at once, 0 if it reports no number
	State         State
	Incarnation   uint64 // increased by the instance with each new report about itself
}

// State is the state of an instance and its target.
type State uint8

const (
	// Starting: the node runs, but its target does not take calls yet.
	Starting State = iota
	// Ready: the target takes calls.
	Ready
	// Draining: the target takes no new calls and finishes those in flight.
	Draining
	// Suspect: the node did not respond to a probe. Unless it refutes the suspicion
	// in time, it becomes Dead.
	Suspect
	// Dead: the node has failed, or did not respond until the suspicion expired.
	Dead
	// Left: the node reported that it leaves the fleet for good.
	Left
)

var stateNames = [...]string{"starting", "ready", "draining", "suspect", "dead", "left"}

// String returns the state's name in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// TakesCalls reports whether new calls may be sent to an instance in this state.
// A suspect instance still takes calls, as each sender observes itself whether
// calls to it fail.
func (s State) TakesCalls() bool { return s == Ready || s == Suspect }
