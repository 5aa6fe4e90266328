package node

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/node/store"
	"github.com/gypsumford/gypsumford/roster"
)

// Heartbeat handles a heartbeat of the local target.
func (n *Node) Heartbeat(t roster.Target) {
	if t.Service != n.settings.Service {
		n.log.inputIgnored("heartbeat", "service is not that of this instance", "service", t.Service, "target", t.ID)
		return
	}
	if n.delivery.heartbeat(t) {
		n.targetChanged()
	}
}

// Deregister handles the deregistration of the local target.
func (n *Node) Deregister(id string) {
	if n.delivery.deregister(id) {
		n.targetChanged()
	}
}

// observePublished handles a record of this node that it published before a restart, or
// that a peer has completed with what it heard of the target. The record may be stale, so
// it makes no target ready.
func (n *Node) observePublished(r *roster.Record) {
	isEarlier := r.Incarnation != n.Record().Incarnation
	changed := n.succeed(r.Incarnation)
	changed = n.adoptEvidence(r.Quarantine) || changed
	if r.Target.ID != "" {
		changed = n.delivery.observeEarlier(r.Target) || changed
		changed = isEarlier && n.delivery.observePublished(r.Target) || changed
	}
	if changed {
		n.targetChanged()
	}
}

// succeed makes the node's incarnation follow that of an earlier process whose clock was
// ahead. Otherwise all nodes would take this process's records for older ones. It reports
// whether the incarnation changed.
func (n *Node) succeed(earlier int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if earlier <= n.mu.record.Incarnation || earlier == math.MaxInt64 {
		return false
	}
	n.mu.record.Incarnation = earlier + 1
	return true
}

// InvalidHeartbeat logs a heartbeat that can't be parsed.
func (n *Node) InvalidHeartbeat(err error) { n.log.inputIgnored("heartbeat", err.Error()) }

// expireTarget makes the local target absent if its heartbeats have stopped, and publishes
// its rate limit if that has changed.
func (n *Node) expireTarget() {
	expired := n.delivery.expire()
	if n.delivery.ratePublicationDue() || expired {
		n.targetChanged()
	}
}

// targetChanged publishes the new state of the local target.
func (n *Node) targetChanged() {
	target := n.delivery.target()
	n.mu.Lock()
	n.mu.record.Sequence++
	n.mu.record.Target = target
	record := n.mu.record
	n.mu.Unlock()
	n.log.targetChanged(&record)
	n.announce(record)
	if !n.isServed(target.Service) {
		n.readRecords() // so that requests for this service find other targets
	}
}

// isServed reports whether any known target accepts requests for the service.
func (n *Node) isServed(service string) bool {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	return len(n.tables.mu.roster.Serving(service)) > 0
}

// announce spreads the node's own changed record: to its roster, its connected peers and
// the store.
func (n *Node) announce(record roster.Record) {
	n.updateRecord(record, "own")
	n.links.Announce()
	n.signalPublish()
}

// signalPublish makes publishLoop write the node's record.
func (n *Node) signalPublish() {
	select {
	case n.publish <- struct{}{}:
	default:
	}
}

// publishLoop writes the node's record to the store after each change, and retries
// until that succeeds.
func (n *Node) publishLoop(ctx context.Context) {
	n.awaitEarlierRecord(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.publish:
		}
		wait := minPublishBackoff
		for ctx.Err() == nil {
			err := n.publishOnce(ctx)
			if err == nil {
				break
			}
			if !errors.Is(err, store.ErrRestored) { // else the response is of the lost history
				n.storeFailed("store: publication", err)
			}
			time.Sleep(wait/2 + rand.N(wait))
			wait = min(2*wait, n.backoffLimit())
		}
	}
}

// awaitEarlierRecord returns when the records of all nodes were read, among them the one of an
// earlier process of this instance, or after firstPublicationDelay.
func (n *Node) awaitEarlierRecord(ctx context.Context) {
	const interval = 50 * time.Millisecond
	for waited := time.Duration(0); waited < firstPublicationDelay && !n.tables.areRecordsKnown() && ctx.Err() == nil; waited += interval {
		time.Sleep(interval)
	}
}

func (n *Node) publishOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	record := n.Record()
	if err := n.platform.Directory.Publish(ctx, record); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mu.published = record
	return nil
}
