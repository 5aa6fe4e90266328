package node

import "github.com/gypsumford/gypsumford/epoch"

// epochChanged handles what a response of the store showed about its epoch.
func (n *Node) epochChanged(c epoch.Change) {
	n.metrics.storeEpochs.Add(c.Finding.String(), 1)
	n.log.storeEpoch(c)
}
