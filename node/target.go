package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumford/gypsumford/roster"
)

// Heartbeat takes in a heartbeat of the target beside the node.
func (n *Node) Heartbeat(t roster.Target) {
	if t.Service != n.settings.Service {
		n.log.ignored("heartbeat", "service is not that of this instance", "service", t.Service, "target", t.ID)
		return
	}
	if n.delivery.beat(t) {
		n.targetChanged()
	}
}

// Deregister takes in the word of the target that it goes.
func (n *Node) Deregister(id string) {
	if n.delivery.leave(id) {
		n.targetChanged()
	}
}

// recall takes in a record that this node stated before a restart. It may be out of
// date, so it makes no target ready.
func (n *Node) recall(r *roster.Record) {
	if r.Incarnation == n.Record().Incarnation || r.Target.ID == "" {
		return
	}
	if n.delivery.recall(r.Target) {
		n.targetChanged()
	}
}

// InvalidHeartbeat hears of a heartbeat that can't be used.
func (n *Node) InvalidHeartbeat(err error) { n.log.ignored("heartbeat", err.Error()) }

// watchTarget notes that heartbeats have stopped.
func (n *Node) watchTarget() {
	if n.delivery.expire() {
		n.targetChanged()
	}
}

// targetChanged states the target's new state to all.
func (n *Node) targetChanged() {
	target := n.delivery.target()
	n.mu.Lock()
	n.mu.record.Sequence++
	n.mu.record.Target = target
	record := n.mu.record
	n.mu.Unlock()
	n.log.target(&record)
	n.announce(record)
	if !n.isServed(target.Service) {
		n.readRecords() // requests from beside the target go elsewhere from now on
	}
}

// isServed reports whether any target of the service is known to take requests.
func (n *Node) isServed(service string) bool {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	return len(n.tables.mu.roster.Serving(service)) > 0
}

func (n *Node) announce(record roster.Record) {
	n.offer(record, "own")
	n.links.Announce()
	select {
	case n.publish <- struct{}{}:
	default:
	}
}

// publishLoop writes the node's record to the store after each change, until
// that has succeeded.
func (n *Node) publishLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.publish:
		}
		wait := minPublishWait
		for ctx.Err() == nil {
			err := n.publishOnce(ctx)
			if err == nil {
				break
			}
			n.storeFailed("store: publication", err)
			time.Sleep(wait/2 + rand.N(wait))
			wait = min(2*wait, n.retryWait())
		}
	}
}

func (n *Node) publishOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	return n.platform.Directory.Publish(ctx, n.Record())
}
