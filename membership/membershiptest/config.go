package membershiptest

import (
	"github.com/gypsumford/gypsumford/rollout"
)

// watch reads the platform if the node watches it and there is a newer version.
func (f *Fleet) watch(n *Node) {
	if !n.Rollout.Watches() || n.reading {
		return
	}
	known := n.Rollout.Version()
	if known > 0 && known >= f.Platform.Version {
		return
	}
	n.reading = true
	version, document := f.Platform.Version, f.Platform.Document
	f.Platform.Calls++
	table := n.Rollout
	f.events.add(platformMs+f.lateMs(), event{call: func() {
		if n.Rollout != table || !n.active() {
			n.reading = false
			return
		}
		n.reading = false
		if f.Platform.Down {
			return
		}
		n.Rollout.PlatformResponded(f.Now, version)
		n.BytesPulled += uint64(len(document))
		f.offer(n, version, document)
	}})
}

// startUp has a new node ask some peers for their configuration until it is ready.
func (f *Fleet) startUp(n *Node) {
	if !n.starting || n.Rollout.Ready(f.Now) {
		n.starting = false
		return
	}
	for range startUpPeers {
		peer := f.Nodes[f.rng.IntN(len(f.Nodes))]
		if peer != n && n.Members.Knows(peer.Instance.PeerAddress) {
			f.pull(n, rollout.Pull{Peer: peer.Instance.ID, Address: peer.Instance.PeerAddress})
		}
	}
}

// pull asks a peer for its configuration, like twirp's PullConfig.
func (f *Fleet) pull(n *Node, pull rollout.Pull) {
	i, ok := f.byAddress[pull.Address]
	if !ok {
		return
	}
	peer := f.Nodes[i]
	if f.cut(n, peer) {
		return
	}
	table := n.Rollout
	f.events.add(f.delayMs(n, peer), event{call: func() {
		if !peer.active() || f.cut(n, peer) {
			return
		}
		version, document := peer.Rollout.Version(), peer.Rollout.Document()
		peer.BytesServed += uint64(len(document))
		f.events.add(f.delayMs(peer, n)+f.lateMs(), event{call: func() {
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

// lateMs is a further delay of a share of the answers that carry a document.
func (f *Fleet) lateMs() int {
	if f.Late == 0 || f.rng.Float64() >= f.Late {
		return 0
	}
	return f.rng.IntN(lateLimitMs)
}

func (f *Fleet) offer(n *Node, version uint64, document []byte) rollout.OfferResult {
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
	if f.Accept != nil {
		f.Accept(n, version)
	}
	return result
}
