package node

import (
	"sync"
	"time"

	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/memory"
)

// closedLogInterval is the least time between log lines about clients that were closed. A crowd may
// have hundreds closed in a second; the metrics count all.
const closedLogInterval = 100 * time.Millisecond

// shareMemory makes the callers' connections, the links and the connections to the target take from
// one memory account.
func (n *Node) shareMemory() {
	budget := memory.NewBudget(n.settings.MemoryBytes, n.settings.MaxDescriptors, n.now)
	n.ingress.UseBudget(budget)
	n.links.UseBudget(budget)
	n.delivery.sender.UseBudget(budget)
	closings := &closedClients{node: n}
	n.ingress.OnClosed = closings.record
	n.metrics.gauges["memory_held_bytes"] = budget.Used
	n.metrics.gauges["memory_refusals"] = budget.Refused
	n.metrics.gauges["client_connections"] = func() int64 { return int64(budget.Connections()) }
}

// closedClients counts and logs the connections of clients that were closed to bound what they hold.
type closedClients struct {
	node *Node
	mu   struct {
		sync.Mutex
		loggedAt time.Time
		omitted  int // since then
	}
}

func (c *closedClients) record(closed ingress.Closed) {
	c.node.metrics.closedClients.Add(string(closed.Cause), 1)
	now := c.node.now()
	c.mu.Lock()
	if now.Sub(c.mu.loggedAt) < closedLogInterval {
		c.mu.omitted++
		c.mu.Unlock()
		return
	}
	omitted := c.mu.omitted
	c.mu.loggedAt, c.mu.omitted = now, 0
	c.mu.Unlock()
	c.node.log.clientClosed(closed, omitted)
}

// clientClosed logs that a client's connection was closed or refused to bound what clients hold.
// omitted is the number of others for which no line was written.
func (l decisionLog) clientClosed(c ingress.Closed, omitted int) {
	l.Info("client closed", "client", c.Client, "cause", string(c.Cause), "heldBytes", c.Held,
		"stalledMs", c.StalledFor.Milliseconds(), "omitted", omitted)
}
