// Package republish decides which records a node writes to the store again after the store was
// restored from a copy.
//
// A restored store lacks the records, or the versions of records, that were written after the
// copy was made. Each node writes its own record again. The record of a node that has left,
// or whose process has ended, has nobody else to write it: without it, nodes that start later
// would take the copy's older record for true and use a target that has left. So each node
// also writes the records of others that it knows in a newer version than the store holds.
//
// All nodes come to the same list of such records. Each draws a delay for each record from a
// range that grows with the number of nodes, and drops the record when the store is seen to
// hold it, so that few nodes write it. The write is conditional on the revision that the store
// was seen to hold, so it never replaces a newer record.
//
// A record that the store lacks is written only if it was there before the restore: one that was
// deleted, or never reached the store, is not.
//
// A Table does no I/O and reads no clock. It is not safe for concurrent use.
package republish

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/roster"
)

const (
	// OwnSpacing times the number of instances is the longest delay of a node's own record.
	// It makes 200 writes a second in a fleet of any size, half of what the store allows.
	OwnSpacing = 5 * time.Millisecond
	// otherSpacing times the number of instances is the range of the delays of others'
	// records, so that for each record one node is due a second, on average.
	otherSpacing = 1 * time.Second
	// otherDelay is added to those delays and to the time in which the others write their
	// own records.
	otherDelay = 1 * time.Second
	retryDelay = 2 * time.Second // after a failed write
)

// Held is the record of an instance in the store.
type Held struct {
	Record   roster.Record
	Revision epoch.Revision
}

// Write is a record to write.
type Write struct {
	Instance string
	// Replaces is the revision of the store's record, zero if it has none.
	Replaces epoch.Revision
}

// Table holds which instances the store has records of, and the records to be written again.
type Table struct {
	self    string // name of the node's instance
	random  *rand.Rand
	epoch   epoch.ID
	read    bool                // the store was read before
	held    map[string]struct{} // instances that the store has records of, as last read
	pending map[string]pendingWrite
}

type pendingWrite struct {
	known    roster.Record // the newest when the write was scheduled
	replaces epoch.Revision
	due      time.Time
}

// NewTable returns the table of a node that hasn't read the store yet.
func NewTable(self string, seed uint64) *Table {
	return &Table{
		self: self, random: rand.New(rand.NewPCG(seed, 0)),
		held: map[string]struct{}{}, pending: map[string]pendingWrite{},
	}
}

// StateRead records the whole state of the store as of the epoch. If it is the first one of
// that epoch, it schedules the records that the store has forgotten. known are the newest
// records that the node knows.
func (t *Table) StateRead(now time.Time, read epoch.ID, state []Held, known []roster.Record) {
	byInstance := make(map[string]*Held, len(state))
	for i := range state {
		byInstance[state[i].Record.Instance] = &state[i]
	}
	if t.read && read != t.epoch {
		t.schedule(now, byInstance, known)
	}
	t.epoch, t.read = read, true
	clear(t.held)
	for instance, held := range byInstance {
		t.held[instance] = struct{}{}
		t.review(held)
	}
}

// schedule replaces the pending writes by those of the records that the store held before the
// restore and now lacks or holds in an older version.
func (t *Table) schedule(now time.Time, state map[string]*Held, known []roster.Record) {
	earlier := t.pending
	t.pending = map[string]pendingWrite{}
	for i := range known {
		r := &known[i]
		_, wasHeld := t.held[r.Instance]
		_, wasPending := earlier[r.Instance] // the restores follow each other
		held := state[r.Instance]
		forgotten := held == nil && (wasHeld || wasPending)
		outdated := held != nil && r.Newer(&held.Record)
		if r.Instance == t.self || !forgotten && !outdated {
			continue
		}
		write := pendingWrite{known: *r, due: now.Add(t.delay(len(known)))}
		if held != nil {
			write.replaces = held.Revision
		}
		t.pending[r.Instance] = write
	}
}

// delay draws the delay of a record of another node.
func (t *Table) delay(instances int) time.Duration {
	fleet := time.Duration(max(instances, 1))
	return otherDelay + fleet*OwnSpacing + time.Duration(t.random.Int64N(int64(fleet*otherSpacing)))
}

// Changed records a change of one record in the store. deleted tells that the store has none
// of that instance any more.
func (t *Table) Changed(h Held, deleted bool) {
	if deleted {
		delete(t.held, h.Record.Instance)
		delete(t.pending, h.Record.Instance)
		return
	}
	t.held[h.Record.Instance] = struct{}{}
	t.review(&h)
}

// review drops the pending write of a record that the store holds in that version or a newer
// one, and otherwise remembers what the write replaces.
func (t *Table) review(h *Held) {
	write, ok := t.pending[h.Record.Instance]
	if !ok {
		return
	}
	if !write.known.Newer(&h.Record) {
		delete(t.pending, h.Record.Instance)
		return
	}
	write.replaces = h.Revision
	t.pending[h.Record.Instance] = write
}

// Due returns the writes that are due, and schedules their retries.
func (t *Table) Due(now time.Time) []Write {
	var due []Write
	for instance, write := range t.pending {
		if now.Before(write.due) {
			continue
		}
		due = append(due, Write{Instance: instance, Replaces: write.replaces})
		write.due = now.Add(retryDelay + time.Duration(t.random.Int64N(int64(retryDelay))))
		t.pending[instance] = write
	}
	return due
}

// Written records that a write took effect.
func (t *Table) Written(instance string) {
	delete(t.pending, instance)
	t.held[instance] = struct{}{}
}

// Refused drops a write that the store refused, since its record has changed meanwhile.
func (t *Table) Refused(instance string) {
	delete(t.pending, instance)
}

// Pending returns the number of records that are to be written.
func (t *Table) Pending() int { return len(t.pending) }
