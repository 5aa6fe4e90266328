package membershiptest

import (
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/rollout"
)

// readPlatform starts a read of the platform's configuration if the node watches the
// platform and a newer version than the node's is there.
func (f *Fleet) readPlatform(n *Node) {
	if !n.Rollout.Watches() || n.reading {
		return
	}
	current := n.Rollout.Version()
	if current > 0 && current >= f.Platform.Version {
		return
	}
	n.reading = true
	version, document := f.Platform.Version, f.Platform.Document
	isFromCopy := version.Epoch() != f.Platform.Epoch
	f.Platform.Calls++
	table := n.Rollout
	f.events.add(platformMs+f.slowReplyMs(), event{run: func() {
		if n.Rollout != table || !n.active() {
			n.reading = false
			return
		}
		n.reading = false
		if f.Platform.Down {
			return
		}
		n.Rollout.PlatformResponded(f.Now, version, isFromCopy)
		n.BytesPulled += uint64(len(document))
		f.offer(n, version, document)
	}})
}

// pullAtStart lets a new node pull the configuration of random peers until it is ready.
func (f *Fleet) pullAtStart(n *Node) {
	if !n.starting || n.Rollout.Ready(f.Now) {
		n.starting = false
		return
	}
	for range peersAtStart {
		peer := f.Nodes[f.rng.IntN(len(f.Nodes))]
		if peer != n && n.Members.Knows(peer.Instance.PeerAddress) {
			f.pull(n, rollout.Pull{Peer: peer.Instance.ID, Address: peer.Instance.PeerAddress})
		}
	}
}

// pull pulls the configuration of a peer, as the daemon does with the call PullConfig.
func (f *Fleet) pull(n *Node, pull rollout.Pull) {
	i, ok := f.byAddress[pull.Address]
	if !ok {
		return
	}
	peer := f.Nodes[i]
	if f.partitioned(n, peer) {
		return
	}
	table := n.Rollout
	f.events.add(f.delayMs(n, peer), event{run: func() {
		if !peer.active() || f.partitioned(n, peer) {
			return
		}
		version, document := peer.Rollout.Version(), peer.Rollout.Document()
		peer.BytesServed += uint64(len(document))
		f.events.add(f.delayMs(peer, n)+f.slowReplyMs(), event{run: func() {
			if n.Rollout != table || !n.active() {
				return
			}
			n.BytesPulled += uint64(len(document))
			n.Rollout.PeerResponded(f.Now, pull.Peer, version)
			if f.offer(n, version, document) != rollout.Accepted {
				n.Rollout.PullFailed(f.Now, pull.Peer)
			}
		}})
	}})
}

// slowReplyMs returns the additional delay of a reply that carries a document, in
// milliseconds: 0 unless the reply is slow.
func (f *Fleet) slowReplyMs() int {
	if f.SlowReplies == 0 || f.rng.Float64() >= f.SlowReplies {
		return 0
	}
	return f.rng.IntN(maxSlowReplyMs)
}

// offer offers a document to a node's rollout table, as the daemon does.
func (f *Fleet) offer(n *Node, version epoch.Version, document []byte) rollout.OfferResult {
	check := f.Check
	if check == nil {
		check = func([]byte) error { return nil }
	}
	result := n.Rollout.Offer(f.Now, version, document, check)
	if result != rollout.Accepted {
		return result
	}
	n.Accepted = f.Now
	n.Members.SetConfigVersion(version)
	if f.OnAccept != nil {
		f.OnAccept(n, version)
	}
	return result
}
