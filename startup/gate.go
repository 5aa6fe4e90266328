// Package startup decides when a node that has just started may put a configuration in force.
//
// The store may have come back from an old copy, so a configuration that was read from it may
// be older than the one that the other nodes have in force. A node that starts therefore asks
// some of them before it serves callers.
//
// A Gate does no I/O and reads no clock. It is not safe for concurrent use.
package startup

import "time"

const (
	// requiredAnswers is how many other nodes must have answered, or all if there are fewer.
	// One alone may have been cut off from the store and from its peers.
	requiredAnswers = 2
	// maxWait bounds the wait from when a configuration is known. The others write their
	// records to a restored store again within that time, unless there are hundreds.
	maxWait = 2 * time.Second
)

// Gate holds what a starting node has learned from others.
type Gate struct {
	open     bool
	knownAt  time.Time // when a configuration was known first; zero if none is
	answered map[string]struct{}
}

// NewGate returns the gate of a node. It is open from the start if the whole fleet starts for
// the first time: no node can know anything newer then.
func NewGate(firstStart bool) *Gate {
	return &Gate{open: firstStart, answered: map[string]struct{}{}}
}

// ConfigurationKnown records that a configuration was read or received.
func (g *Gate) ConfigurationKnown(now time.Time) {
	if g.knownAt.IsZero() {
		g.knownAt = now
	}
}

// Answered records that the other instance has told what it has in force, if anything.
func (g *Gate) Answered(instance string) { g.answered[instance] = struct{}{} }

// HasAnswered reports whether the instance has answered.
func (g *Gate) HasAnswered(instance string) bool {
	_, ok := g.answered[instance]
	return ok
}

// Open reports whether the newest known configuration may be in force. others is the number
// of other instances that the node knows. Once open, a gate stays open.
func (g *Gate) Open(now time.Time, others int) bool {
	if g.open || g.knownAt.IsZero() {
		return g.open
	}
	enough := others > 0 && len(g.answered) >= min(requiredAnswers, others)
	g.open = enough || now.Sub(g.knownAt) >= maxWait
	return g.open
}
