package membershiptest

import (
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
)

// Kill stops a node without an announcement.
func (f *Fleet) Kill(i int) { f.Nodes[i].Running = false }

// Leave makes a node announce that it leaves. The node runs until Kill.
func (f *Fleet) Leave(i int) { f.send(f.Nodes[i], f.Nodes[i].Members.Leave(f.Now)) }

// SetState makes a node announce a state of its target.
func (f *Fleet) SetState(i int, state fleet.State) {
	n := f.Nodes[i]
	f.send(n, n.Members.SetTarget(f.Now, n.Instance.Service, n.Instance.Slots, state))
}

// Pause pauses a node. Up to maxBuffered datagrams wait in its socket.
func (f *Fleet) Pause(i int) { f.Nodes[i].Paused = true }

// Resume resumes a paused node. It receives the waiting datagrams before its next tick.
func (f *Fleet) Resume(i int) {
	n := f.Nodes[i]
	n.Paused = false
	buffered := n.buffered
	n.buffered = nil
	for _, d := range buffered {
		f.deliver(d)
	}
}

// Restart replaces a node by a new instance at the same address, which joins through
// other nodes (see joinCandidate).
func (f *Fleet) Restart(i int) {
	f.restarts++
	f.start(i, f.instance(i), nil)
	f.Nodes[i].starting = true
}

// join exchanges tables with another node while the node needs peers, at most once in
// joinRetry.
func (f *Fleet) join(n *Node) {
	if n.joinAfter.After(f.Now) || !n.Members.NeedsPeers(f.Now) {
		return
	}
	n.joinAfter = f.Now.Add(joinRetry)
	peer, ok := f.joinCandidate(n)
	if ok && peer != n.index && f.Nodes[peer].active() {
		f.exchange(n.Members, n.index, peer)
	}
}

// joinCandidate returns the index of a node to join through: one from a seed object, or
// any node if seed objects are off or the platform is down.
func (f *Fleet) joinCandidate(n *Node) (int, bool) {
	if !f.SeedObjects || f.Platform.Down {
		return f.rng.IntN(len(f.Nodes)), true
	}
	keys := membership.SeedKeys(n.Instance.FailureDomain)
	f.Platform.Calls++
	addresses, err := membership.DecodeSeed(f.Platform.seeds[keys[f.rng.IntN(len(keys))]])
	if err != nil || len(addresses) == 0 {
		return 0, false
	}
	peer, ok := f.byAddress[addresses[f.rng.IntN(len(addresses))]]
	return peer, ok
}

// exchange exchanges whole tables with a peer, as the daemon does with the call
// ExchangeMembers.
func (f *Fleet) exchange(table *membership.Table, i, peer int) {
	n, p := f.Nodes[i], f.Nodes[peer]
	if f.partitioned(n, p) {
		return
	}
	request := table.Snapshot(f.Now)
	f.events.add(f.delayMs(n, p), event{run: func() {
		if !p.active() || f.partitioned(n, p) {
			return
		}
		reply, _ := p.Members.Merge(f.Now, request)
		version := p.Rollout.Version()
		f.events.add(f.delayMs(p, n), event{run: func() {
			if n.Members != table || !n.active() {
				return
			}
			_, _ = n.Members.Merge(f.Now, reply)
			n.Rollout.RecordPeerVersion(f.Now, p.Instance.ID, p.Instance.PeerAddress, version)
		}})
	}})
}
