package membershiptest

import (
	"slices"

	"github.com/gypsumford/gypsumford/membership"
)

// refreshSeeds writes the due seed objects that the node owns. First it exchanges
// tables with the nodes listed in them that it doesn't know.
func (f *Fleet) refreshSeeds(n *Node) {
	if f.Platform.Down || !f.SeedObjects {
		return
	}
	for _, key := range n.Members.SeedChecks(f.Now) {
		f.Platform.Calls++
		if addresses, _ := membership.DecodeSeed(f.Platform.seeds[key]); !slices.Contains(addresses, n.Instance.PeerAddress) {
			n.Members.SeedForgotten(f.Now, key)
		}
	}
	for _, write := range n.Members.SeedWrites(f.Now) {
		f.Platform.Calls += 2
		addresses, _ := membership.DecodeSeed(f.Platform.seeds[write.Key])
		for _, address := range addresses {
			if peer, ok := f.byAddress[address]; ok && !n.Members.Knows(address) && f.Nodes[peer].active() {
				f.exchange(n.Members, n.index, peer)
			}
		}
		f.Platform.seeds[write.Key] = write.Value
		n.Members.SeedWritten(f.Now, write.Key)
	}
}
