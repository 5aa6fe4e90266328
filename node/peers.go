package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/node/store"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

// Serve runs a call of a peer.
func (n *Node) Serve(ctx context.Context, c *link.Call) *link.Reply { return n.delivery.serve(ctx, c) }

// Unexpected hears of an error in this process that cost a call or a connection.
func (n *Node) Unexpected(what string, err error) { n.log.unexpected(what, err) }

// Record returns what the node states of itself.
func (n *Node) Record() roster.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mu.record
}

// Version returns the version of the configuration in force, 0 if there is none.
func (n *Node) Version() route.Version {
	if c := n.tables.inForce.Load(); c != nil {
		return c.Version
	}
	return 0
}

// PeerVersion hears which version a peer has. If it stays newer than the own one, the
// peer is asked for it, which leaves the wait at the store alone, and if that doesn't
// help the store is read again.
func (n *Node) PeerVersion(v route.Version, pull func()) {
	if v <= n.Version() || !n.pulling.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(versionDelay, func() {
		n.pulling.Store(false)
		if v > n.Version() {
			pull()
			time.AfterFunc(pullDelay, func() {
				if v > n.Version() {
					n.configs.Refresh()
				}
			})
		}
	})
}

// poll reads the configuration from time to time: a watch may miss a change
// without notice. The nodes take turns, so that some node finds a change soon,
// and tell each other of new versions.
func (n *Node) poll(ctx context.Context) {
	wait := pollDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			n.configs.Poll(ctx)
		}
		period := min(time.Duration(n.instances())*pollSpacing, maxPollPeriod)
		phase := time.Duration(xxhash.Sum64String(n.settings.Name) % uint64(period))
		now := time.Duration(n.now().UnixNano())
		wait = period - (now-phase)%period
	}
}

func (n *Node) instances() int {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	return max(n.tables.mu.roster.Len(), 1)
}

// PeerRecord hears what a peer states of itself, or passes on of another node. What
// is new is passed on.
func (n *Node) PeerRecord(r roster.Record) {
	if r.Instance != "" && n.offer(r, "peer") {
		n.links.Spread(r)
	}
}

// State returns what a peer that pulls is handed. Only one that has just started needs
// the records.
func (n *Node) State(fresh bool) *link.State {
	state := &link.State{Configuration: n.tables.inForce.Load()}
	if fresh {
		n.tables.mu.Lock()
		defer n.tables.mu.Unlock()
		state.Records = n.tables.mu.roster.All()
	}
	return state
}

// PeerState hears the answer to a pull.
func (n *Node) PeerState(s *link.State) {
	if s.Configuration != nil {
		s.Configuration.Index()
		n.accept(s.Configuration, "peer")
	}
	for _, r := range s.Records {
		n.offer(r, "peer")
	}
}

func (n *Node) configurationsHeard(changes []store.Change[*route.Configuration]) {
	for _, change := range changes {
		if !change.Deleted {
			n.accept(change.Value, "store")
		}
	}
}

// accept brings a configuration in force unless a newer one is.
func (n *Node) accept(c *route.Configuration, from string) {
	for {
		current := n.tables.inForce.Load()
		if current != nil && current.Version >= c.Version {
			return
		}
		if n.tables.inForce.CompareAndSwap(current, c) {
			break
		}
	}
	n.tables.keepRoutes(c)
	n.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "from", from)
	n.links.AnnounceVersion()
}

// recordsRead takes in the records of all nodes, which the others read, too.
func (n *Node) recordsRead(state []store.Change[roster.Record]) {
	for i := range state {
		n.offer(state[i].Value, "store")
	}
}

// recordsChanged takes in what has just changed and tells peers, which may not look at
// the store for a while.
func (n *Node) recordsChanged(changes []store.Change[roster.Record]) {
	for i := range changes {
		if changes[i].Deleted {
			continue // a node that is gone is seen to be by those who send there
		}
		if n.offer(changes[i].Value, "store") {
			n.links.Spread(changes[i].Value)
		}
	}
}

// offer takes in a record of any node and reports whether it is news of another one.
func (n *Node) offer(r roster.Record, from string) (news bool) {
	if from != "own" && r.Instance == n.settings.Name {
		n.recall(&r)
		return false
	}
	n.tables.mu.Lock()
	before := n.tables.mu.roster.Get(r.Instance)
	news = n.tables.mu.roster.Update(r)
	n.tables.mu.Unlock()
	if news && before != nil && before.Address != r.Address {
		n.links.Forget(before.Address)
	}
	if news && from != "own" {
		n.log.record(&r, from)
	}
	return news
}
