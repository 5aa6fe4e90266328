package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/node/store"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

// unwatchedPullDelay bounds the pause that replaces peerPullDelay on a node that doesn't wait for
// changes at the store. It spreads the pulls of the nodes.
const unwatchedPullDelay = 30 * time.Millisecond

// Serve runs a call from a peer at the local target.
func (n *Node) Serve(ctx context.Context, c *link.Call) *link.Reply { return n.delivery.serve(ctx, c) }

// LogUnexpected logs an error in this process that made a call or a connection fail.
func (n *Node) LogUnexpected(where string, err error) { n.log.unexpectedError(where, err) }

// Record returns the node's own record.
func (n *Node) Record() roster.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mu.record
}

// Version returns the version of the configuration in force, or 0 if there is none.
func (n *Node) Version() route.Version {
	if c := n.tables.inForce.Load(); c != nil {
		return c.Version
	}
	return 0
}

// ReceiveVersion receives the version of the configuration that a peer has in force. If it
// is still newer than the node's own after peerPullDelay, the node pulls the peer's
// state, without interrupting its watch of the store. If that doesn't help either, the
// node reads the store.
func (n *Node) ReceiveVersion(v route.Version, pull func()) {
	if v <= n.Version() || !n.pulling.CompareAndSwap(false, true) {
		return
	}
	delay := peerPullDelay
	if n.proofs != nil && !n.proofs.watches() {
		delay = rand.N(unwatchedPullDelay)
	}
	time.AfterFunc(delay, func() {
		n.pulling.Store(false)
		if v > n.Version() {
			pull()
			time.AfterFunc(storeReadDelay, func() {
				if v > n.Version() {
					n.configurations.Refresh()
				}
			})
		}
	})
}

// poll reads the configuration periodically, because a watch may miss a change without
// an error. The nodes poll in turn, so that one of them finds a change soon, and
// announce new versions to each other.
func (n *Node) poll(ctx context.Context) {
	if !sleep(ctx, initialPollDelay) {
		return
	}
	for {
		period := min(time.Duration(n.instances())*pollSpacing, maxPollPeriod)
		phase := time.Duration(xxhash.Sum64String(n.settings.Name) % uint64(period))
		now := time.Duration(n.now().UnixNano())
		if !sleep(ctx, period-(now-phase)%period) {
			return
		}
		n.configurations.Poll(ctx)
	}
}

// sleep waits for the time. It returns false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// instances returns the number of known instances, at least 1.
func (n *Node) instances() int {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	return max(n.tables.mu.roster.Len(), 1)
}

// ReceiveRecord receives the record of a peer, or of another node that a peer passes on.
// It passes newer records on to other peers.
func (n *Node) ReceiveRecord(r roster.Record) {
	if r.Instance != "" && n.updateRecord(r, "peer") {
		n.links.Gossip(r)
	}
}

// StatedBeside returns the record of the node at the address if its target states
// something for all nodes.
func (n *Node) StatedBeside(address string) (roster.Record, bool) {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	return n.tables.mu.roster.StatedBeside(address)
}

// State returns the state that is sent to a peer that pulls. unconfigured is set if the
// peer has no configuration yet: it has just started and needs the records, too.
func (n *Node) State(unconfigured bool) *link.State {
	state := &link.State{Configuration: n.tables.inForce.Load()}
	if unconfigured {
		n.tables.mu.Lock()
		defer n.tables.mu.Unlock()
		state.Records = n.tables.mu.roster.All()
	}
	return state
}

// ReceiveState receives the state that a peer sends after a pull.
func (n *Node) ReceiveState(s *link.State) {
	if s.Configuration != nil {
		s.Configuration.Index()
		n.propose(s.Configuration, "peer")
	}
	for _, r := range s.Records {
		n.updateRecord(r, "peer")
	}
	if len(s.Records) > 0 {
		n.tables.recordsKnown()
	}
}

// configurationsReceived handles configurations that were read from the store.
func (n *Node) configurationsReceived(changes []store.Change[*route.Configuration]) {
	for _, change := range changes {
		if !change.Deleted {
			n.logOlder(change.Value.Version)
			n.propose(change.Value, "store")
		}
	}
}

// logOlder logs that the store holds an older configuration than the one in force, once for
// each pair of versions.
func (n *Node) logOlder(held route.Version) {
	inForce := n.Version()
	if held >= inForce {
		return
	}
	pair := [2]route.Version{held, inForce}
	n.mu.Lock()
	logged := n.mu.olderLogged == pair
	n.mu.olderLogged = pair
	n.mu.Unlock()
	if !logged {
		n.log.configurationOlder(held, inForce)
	}
}

// applyConfiguration brings a configuration into force, unless the one in force is as
// new or newer.
func (n *Node) applyConfiguration(c *route.Configuration, from string) {
	for {
		current := n.tables.inForce.Load()
		if current != nil && current.Version >= c.Version {
			return
		}
		if n.tables.inForce.CompareAndSwap(current, c) {
			break
		}
	}
	if n.proofs != nil {
		n.proofs.inForce(c.Version)
	}
	n.tables.retainRoutes(c)
	n.delivery.speed.retainRoutes(c)
	n.quotas.configure(c)
	n.domains.retainServices(c)
	n.dispatcher.fair.retainAccounts(c)
	n.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "from", from)
	n.links.AnnounceVersion()
}

// recordsRead updates the roster with the records of all nodes. They aren't passed on,
// as the other nodes read them, too.
func (n *Node) recordsRead(state []store.Change[roster.Record], read epoch.ID) {
	n.countMissing(state)
	n.observeState(state, read)
	for i := range state {
		n.updateRecord(state[i].Value, "store")
	}
	n.tables.recordsKnown()
}

// recordsChanged updates the roster with changed records and passes them on to peers,
// which may not read the store for a while.
func (n *Node) recordsChanged(changes []store.Change[roster.Record]) {
	for i := range changes {
		n.observeChange(&changes[i])
		if changes[i].Deleted {
			continue // nodes that send calls to the deleted node notice that it is unreachable
		}
		if n.updateRecord(changes[i].Value, "store") {
			n.links.Gossip(changes[i].Value)
		}
	}
}

// updateRecord updates the roster with a record of any node, and reports whether the
// record is newer than the stored one. from is "own" for records that this process
// made. Other records of this instance don't enter the roster; observePublished handles
// those of an earlier process.
func (n *Node) updateRecord(r roster.Record, from string) (updated bool) {
	if from != "own" {
		n.mergeEvidence(r.Instance, r.Quarantine)
	}
	if from != "own" && r.Instance == n.settings.Name {
		n.observePublished(&r)
		return false
	}
	n.tables.mu.Lock()
	before := n.tables.mu.roster.Get(r.Instance)
	updated = n.tables.mu.roster.Update(r)
	n.tables.mu.Unlock()
	if updated && before != nil && before.Address != r.Address {
		n.links.Remove(before.Address)
	}
	if updated && from != "own" {
		n.log.peerChanged(&r, from)
	}
	return updated
}

// countMissing counts the records that the store lacks, or holds in an older version than
// the node knows, and logs a change of their number.
func (n *Node) countMissing(state []store.Change[roster.Record]) {
	held := make(map[string]*roster.Record, len(state))
	for i := range state {
		held[state[i].Name] = &state[i].Value
	}
	n.tables.mu.Lock()
	known := n.tables.mu.roster.All()
	n.tables.mu.Unlock()
	missing, own := 0, "current"
	for i := range known {
		r := held[known[i].Instance]
		if r != nil && !known[i].Newer(r) {
			continue
		}
		missing++
		if known[i].Instance == n.settings.Name {
			own = "older"
			if r == nil {
				own = "missing"
			}
		}
	}
	if before := n.recordsMissing.Swap(int64(missing)); before != int64(missing) {
		n.log.recordsMissing(missing, len(known), own, n.platform.Epochs.Epoch())
	}
}
