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
	f.join(f.Nodes[i].Members, i, len(f.Nodes), joinAttempts)
}

// join exchanges tables with a random running node among the first ones, and again
// with another one until the table holds others.
func (f *Fleet) join(table *membership.Table, i, first, attempts int) {
	n := f.Nodes[i]
	if n.Members != table || !n.Running || table.Len() > 1 || attempts == 0 {
		return
	}
	peer := f.rng.IntN(first)
	if peer != i && f.Nodes[peer].active() {
		f.exchange(table, i, peer)
	}
	f.events.add(joinRetryMs, event{call: func() { f.join(table, i, first, attempts-1) }})
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
			n.Rollout.PeerVersion(f.Now, p.Instance.ID, p.Instance.PeerAddress, version)
		}})
	}})
}
