package membershiptest

import (
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
)

// Kill ends a node without a word.
func (f *Fleet) Kill(i int) { f.Nodes[i].Running = false }

// Leave has a node announce that it leaves; it runs on until Kill.
func (f *Fleet) Leave(i int) { f.send(f.Nodes[i], f.Nodes[i].Members.Leave(f.Now)) }

// SetState announces a state of a node's target.
func (f *Fleet) SetState(i int, state fleet.State) {
	n := f.Nodes[i]
	f.send(n, n.Members.SetTarget(f.Now, n.Instance.Service, n.Instance.Slots, state))
}

// Pause stops a node; datagrams wait in its socket.
func (f *Fleet) Pause(i int) { f.Nodes[i].Paused = true }

// Resume lets a paused node go on. It reads what waited before it ticks.
func (f *Fleet) Resume(i int) {
	n := f.Nodes[i]
	n.Paused = false
	waiting := n.buffered
	n.buffered = nil
	for _, d := range waiting {
		f.deliver(d)
	}
}

// Restart replaces a node by a new instance at the same address, which joins
// through random nodes.
func (f *Fleet) Restart(i int) {
	f.restarts++
	f.start(i, f.instance(i), nil)
	f.Nodes[i].starting = true
}

// join exchanges tables with a random node while the table knows nobody else.
func (f *Fleet) join(n *Node) {
	if n.joinAfter.After(f.Now) || !n.Members.Alone(f.Now) {
		return
	}
	n.joinAfter = f.Now.Add(joinRetry)
	peer, ok := f.candidate(n)
	if ok && peer != n.index && f.Nodes[peer].active() {
		f.exchange(n.Members, n.index, peer)
	}
}

// candidate returns a node to join through: one of the seed objects, or any one if
// there are none or the platform is down.
func (f *Fleet) candidate(n *Node) (int, bool) {
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

// exchange swaps whole tables, like twirp's ExchangeMembers.
func (f *Fleet) exchange(table *membership.Table, i, peer int) {
	n, p := f.Nodes[i], f.Nodes[peer]
	if f.cut(n, p) {
		return
	}
	request := table.Snapshot(f.Now)
	f.events.add(f.delayMs(n, p), event{call: func() {
		if !p.active() || f.cut(n, p) {
			return
		}
		reply, _ := p.Members.Merge(f.Now, request)
		version := p.Rollout.Version()
		f.events.add(f.delayMs(p, n), event{call: func() {
			if n.Members != table || !n.active() {
				return
			}
			_, _ = n.Members.Merge(f.Now, reply)
			n.Rollout.RecordPeerVersion(f.Now, p.Instance.ID, p.Instance.PeerAddress, version)
		}})
	}})
}
