// Package fleet holds the objects of the world that the nodes act on: the
// instances, the failure domains they stand in, and the state of the target
// beside each node. The package decides nothing and does no I/O.
package fleet

// InstanceID names one run of one node process; a restarted process has a new
// one, so nothing that was meant for its predecessor can reach it.
type InstanceID string

// FailureDomain names a set of instances that fail together, such as a hall.
type FailureDomain string

// Region names a set of failure domains that are close to each other.
type Region string

// Instance is one node with the target beside it.
type Instance struct {
	ID            InstanceID
	PeerAddress   string // host:port for calls and control messages of other nodes
	FailureDomain FailureDomain
	Region        Region
	Service       string // service of the target, "" while none has announced itself
	Slots         int    // calls that the target runs at once, 0 if unstated
	State         State
	Incarnation   uint64 // grows with each statement that the instance makes of itself
}

// State is what is known of an instance.
type State uint8

const (
	// Starting: the node runs, its target takes no calls yet.
	Starting State = iota
	// Ready: the target takes calls.
	Ready
	// Draining: the target finishes its calls and takes no new ones.
	Draining
	// Suspect: the node has not answered; it is dead unless it objects in time.
	Suspect
	// Dead: the node is gone, or was silent for longer than the suspicion lasts.
	Dead
	// Left: the node said that it leaves for good.
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

// Takes reports whether new calls may be sent to an instance in this state.
// A suspect instance still takes calls: senders see for themselves if it fails.
func (s State) Takes() bool { return s == Ready || s == Suspect }
