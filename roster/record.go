package roster

import (
	"time"

	"github.com/gypsumford/gypsumford/quarantine"
)

// State is the state of a target, as the node beside it reports it.
type State uint8

const (
	// Absent means that no heartbeat was received, that heartbeats have stopped, or that
	// the target deregistered.
	Absent State = iota
	// Ready means that the target accepts requests.
	Ready
	// Draining means that the target finishes its requests and accepts no new ones.
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

// Target is one incarnation of a target, as its heartbeats report it.
type Target struct {
	ID       string
	Born     int64  // start in Unix milliseconds; orders incarnations
	Sequence uint64 // sequence number of the heartbeat
	Service  string
	Version  string `json:",omitempty"` // of the target's software, "" if unknown
	Slots    int    // requests that it runs at the same time
	State    State
	ColdLeft time.Duration // remaining time for which the target is slow after its start
	// RateLimit is the number of requests per second that the target takes from all nodes
	// together, as it states; 0 means that it states no limit.
	RateLimit float64
	// Leaving tells that the target stated that it leaves, in whatever way. It holds for
	// the rest of the incarnation, whichever node hears what of the target later.
	Leaving bool
}

// isLeaving reports whether the target stated that it leaves. Records of earlier versions
// of gypsumd state so by the state alone.
func (t *Target) isLeaving() bool { return t.Leaving || t.State == Draining }

// sameIncarnation reports whether both are the same incarnation of the same target.
func (t *Target) sameIncarnation(other *Target) bool { return t.ID == other.ID && t.Born == other.Born }

// Record is what a node publishes about itself and its target.
type Record struct {
	Instance    string // name of the node's instance
	Incarnation int64  // start of the node in Unix milliseconds
	Sequence    uint64 // grows with each record of one incarnation
	Address     string // host:port where peers reach the node
	Domain      string // failure domain
	Leaving     bool   // the node is stopping and accepts no new requests
	Target      Target
	// Quarantine is what the node, and earlier processes of the instance, have seen of requests
	// that may crash targets.
	Quarantine quarantine.Report `json:",omitzero"`
}

// Newer reports whether r replaces the other record of the same instance.
func (r *Record) Newer(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// AcceptsRequests reports whether new requests may be sent to the record's target.
func (r *Record) AcceptsRequests() bool {
	return !r.Leaving && r.Target.State == Ready && !r.Target.Leaving
}
