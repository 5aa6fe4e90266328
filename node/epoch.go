package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/node/store"
	"github.com/gypsumford/gypsumford/republish"
	"github.com/gypsumford/gypsumford/roster"
)

const (
	// restoreReadSpacing times the number of calls of all nodes is the time over which they
	// read the state of a restored store. It makes half of the calls that the store allows.
	restoreReadSpacing = 1 * time.Millisecond
	// recordsPerPage is about how many records one call to the store returns.
	recordsPerPage = 500
	// ownRecordDelay is how long the store may hold an older record of the node than the one
	// that was written, or none, before it is written again. What the node reads may be
	// seconds old.
	ownRecordDelay = 5 * time.Second
	// republishInterval is the time between checks for records to be written again.
	republishInterval = 250 * time.Millisecond
	// minRestoreInterval is the least time between two restores that are handled. A store whose
	// replicas state different epochs may seem to be restored with each response.
	minRestoreInterval = 1 * time.Second
	// minEpochPollInterval is the least time between reads because of an epoch that peers report.
	minEpochPollInterval = 1 * time.Second
)

// epochChanged handles what a response of the store showed about its epoch.
func (n *Node) epochChanged(c epoch.Change) {
	n.metrics.storeEpochs.Add(c.Finding.String(), 1)
	n.log.storeEpoch(c)
	if !c.BeginsHistory() || !n.restore.CompareAndSwap(false, true) {
		return
	}
	sinceLast := time.Duration(n.now().UnixNano() - n.lastRestore.Load())
	if sinceLast >= minRestoreInterval {
		n.handleRestore()
		return
	}
	time.AfterFunc(minRestoreInterval-sinceLast, n.handleRestore)
}

// handleRestore reads the whole state of the store's current epoch, writes the node's record
// again and tells peers.
func (n *Node) handleRestore() {
	n.lastRestore.Store(n.now().UnixNano())
	n.restore.Store(false)
	current := n.platform.Epochs.Epoch()
	n.configurations.Restored(current)
	n.records.Restored(current)
	n.publishWithin()
	n.links.Announce()
}

// restorePause draws the time until the node reads so many pages of a restored store.
func (n *Node) restorePause(pages int) time.Duration {
	return rand.N(time.Duration(n.instances()*pages)*restoreReadSpacing + 1)
}

// publishWithin writes the node's record again after a time drawn so that all nodes together
// stay within the store's rates.
func (n *Node) publishWithin() {
	if n.Record().Sequence == 0 {
		return // nothing was published yet
	}
	time.AfterFunc(rand.N(time.Duration(n.instances())*republish.OwnSpacing+1), n.signalPublish)
}

// StoreEpoch returns the store's epoch, for peers.
func (n *Node) StoreEpoch() epoch.ID { return n.platform.Epochs.Epoch() }

// ReceiveStoreEpoch receives the epoch of the store that a peer knows. If it is a later one,
// the node calls the store, which hasn't told it yet.
func (n *Node) ReceiveStoreEpoch(reported epoch.ID) {
	known := n.platform.Epochs.Epoch()
	if known == epoch.Unknown || reported <= known {
		return
	}
	now, last := n.now().UnixNano(), n.lastEpochPoll.Load()
	if time.Duration(now-last) < minEpochPollInterval || !n.lastEpochPoll.CompareAndSwap(last, now) {
		return
	}
	time.AfterFunc(n.restorePause(1), func() { n.configurations.Poll(context.Background()) })
}

// observeState compares the whole state of the store with what the node knows.
func (n *Node) observeState(state []store.Change[roster.Record], read epoch.ID) {
	held := make([]republish.Held, len(state))
	var own *roster.Record
	for i := range state {
		held[i] = republish.Held{Record: state[i].Value, Revision: state[i].Revision}
		if state[i].Name == n.settings.Name {
			own = &state[i].Value
		}
	}
	n.tables.mu.Lock()
	n.tables.mu.republish.StateRead(n.now(), read, held, n.tables.mu.roster.All())
	n.tables.mu.Unlock()
	n.observeOwnRecord(own)
}

// observeChange compares a changed record of the store with what the node knows.
func (n *Node) observeChange(c *store.Change[roster.Record]) {
	record := c.Value
	record.Instance = c.Name // a deleted object has no content
	n.tables.mu.Lock()
	n.tables.mu.republish.Changed(republish.Held{Record: record, Revision: c.Revision}, c.Deleted)
	n.tables.mu.Unlock()
	switch {
	case c.Name != n.settings.Name:
	case c.Deleted:
		n.observeOwnRecord(nil)
	default:
		n.observeOwnRecord(&record)
	}
}

// observeOwnRecord compares the node's record in the store, nil if there is none, with the one
// that was written last. A restore, or a write that took effect late, may have replaced it.
func (n *Node) observeOwnRecord(held *roster.Record) {
	n.mu.Lock()
	outdated := n.mu.published.Sequence > 0 && (held == nil || n.mu.published.Newer(held))
	scheduled := n.mu.ownOutdated
	n.mu.ownOutdated = outdated
	n.mu.Unlock()
	if !outdated || scheduled {
		return
	}
	time.AfterFunc(ownRecordDelay, func() {
		n.mu.Lock()
		stillOutdated := n.mu.ownOutdated
		n.mu.ownOutdated = false
		n.mu.Unlock()
		if stillOutdated {
			n.log.recordWrittenAgain(n.settings.Name, "the store held an older record or none")
			n.publishWithin()
		}
	})
}

// writeForgotten writes the records of others that the store has forgotten and that are due.
func (n *Node) writeForgotten() {
	n.tables.mu.Lock()
	due := n.tables.mu.republish.Due(n.now())
	records := make([]roster.Record, len(due))
	for i, w := range due {
		if known := n.tables.mu.roster.Get(w.Instance); known != nil {
			records[i] = *known
		}
	}
	n.tables.mu.Unlock()
	for i, w := range due {
		n.writeAgain(&records[i], w)
	}
}

func (n *Node) writeAgain(r *roster.Record, w republish.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	err := n.platform.Directory.PublishIf(ctx, *r, w.Replaces)
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	switch {
	case err == nil:
		n.tables.mu.republish.Written(w.Instance)
		n.log.recordWrittenAgain(w.Instance, "the store held an older record or none after a restore")
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		n.tables.mu.republish.Refused(w.Instance)
	case errors.Is(err, store.ErrRestored): // the next state that is read tells what it lacks
	default:
		n.storeFailed("store: records of others", err)
	}
}
