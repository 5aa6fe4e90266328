package link

import (
	"context"

	"github.com/gypsumford/gypsumford/quota"
)

// QuotaNode is implemented by nodes that keep quotas of client accounts. Other nodes ignore
// messages about them, as builds do that don't know the field of the frame.
type QuotaNode interface {
	// ReceiveQuota is called with a message of a peer, in the order of the connection. It must
	// not block. reply sends a message back on the same connection.
	ReceiveQuota(m *quota.Message, reply func(*quota.Message))
}

func (c *conn) receiveQuota(m *quota.Message) {
	c.use()
	if node, ok := c.node.(QuotaNode); ok {
		node.ReceiveQuota(m, c.sendQuota)
	}
}

// sendQuota sends a message about quotas. One that can't be sent is lost: its sender repeats it
// or does without.
func (c *conn) sendQuota(m *quota.Message) { c.send(outgoing{frame: frame{Quota: m}}) }

// SendQuota sends a message about quotas to the node at the address without waiting. It
// connects to the node if there is no connection. failed is called if there can't be one, maybe
// by another goroutine.
func (p *Pool) SendQuota(address string, m *quota.Message, failed func()) {
	r := p.peer(address)
	c, err := r.current(p.now())
	switch {
	case c != nil:
		c.use()
		c.sendQuota(m)
	case err != nil:
		failed()
	default:
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
			defer cancel()
			c, err := r.connect(ctx, p, address)
			if err != nil {
				failed()
				return
			}
			c.sendQuota(m)
		}()
	}
}

// use keeps the connection open and probed as a call does.
func (c *conn) use() {
	c.mu.Lock()
	c.mu.idleTicks = 0
	c.mu.Unlock()
}
