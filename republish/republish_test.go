package republish_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/republish"
	"github.com/gypsumford/gypsumford/roster"
)

// init fixes the seed, so that every run has the same result. The flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(instance string, sequence uint64) roster.Record {
	return roster.Record{Instance: instance, Incarnation: 1, Sequence: sequence}
}

func held(instance string, sequence uint64, id epoch.ID, number uint64) republish.Held {
	return republish.Held{Record: record(instance, sequence), Revision: epoch.Revision{Epoch: id, Number: number}}
}

func TestRecordsOfNodesThatAreGone(t *testing.T) {
	Convey("Given a node that has read the records of itself, a, b and c", t, func() {
		table := republish.NewTable("self", 1)
		known := []roster.Record{record("a", 5), record("b", 5), record("c", 5), record("never", 1), record("self", 5)}
		table.StateRead(start, 1, []republish.Held{
			held("a", 5, 1, 11), held("b", 5, 1, 12), held("c", 5, 1, 13), held("self", 5, 1, 14),
		}, known)
		later := start.Add(time.Hour)
		So(table.Due(later), ShouldBeEmpty)

		Convey("after a restore it writes those that the store lacks or holds in an older version, except its own", func() {
			table.StateRead(start, 2, []republish.Held{held("a", 5, 2, 11), held("b", 2, 2, 8)}, known)
			So(table.Due(start), ShouldBeEmpty)
			due := table.Due(later)
			So(due, ShouldHaveLength, 2)
			So(due, ShouldContain, republish.Write{Instance: "b", Replaces: epoch.Revision{Epoch: 2, Number: 8}})
			So(due, ShouldContain, republish.Write{Instance: "c"})
		})
		Convey("it drops a record that another node has written", func() {
			table.StateRead(start, 2, nil, known)
			table.Changed(held("a", 5, 2, 20), false)
			table.StateRead(start, 2, []republish.Held{held("a", 5, 2, 20), held("b", 6, 2, 21)}, known)
			So(table.Due(later), ShouldResemble, []republish.Write{{Instance: "c"}})
		})
		Convey("it replaces the older record that a late write has left", func() {
			table.StateRead(start, 2, nil, known)
			table.Changed(held("a", 3, 2, 20), false)
			So(table.Due(later), ShouldContain, republish.Write{Instance: "a", Replaces: epoch.Revision{Epoch: 2, Number: 20}})
		})
		Convey("a record that was deleted before or after the restore isn't written", func() {
			table.Changed(republish.Held{Record: record("a", 0)}, true)
			table.StateRead(start, 2, nil, known)
			table.Changed(republish.Held{Record: record("b", 0)}, true)
			So(table.Due(later), ShouldResemble, []republish.Write{{Instance: "c"}})
		})
		Convey("a second restore before the writes are due forgets none", func() {
			table.StateRead(start, 2, nil, known)
			table.StateRead(start, 3, nil, known)
			So(table.Due(later), ShouldHaveLength, 3)
		})
		Convey("a failed write is retried later", func() {
			table.StateRead(start, 2, nil, known)
			So(table.Due(later), ShouldHaveLength, 3)
			So(table.Due(later), ShouldBeEmpty)
			So(table.Due(later.Add(time.Minute)), ShouldHaveLength, 3)
		})
	})
}

// TestFewNodesWriteARecord counts the writes of one record of a node that is gone, in a fleet
// whose nodes learn a quarter of a second later that the record was written.
func TestFewNodesWriteARecord(t *testing.T) {
	const nodes = 1000
	known := make([]roster.Record, nodes)
	for i := range known {
		known[i] = record(fmt.Sprintf("node-%d", i), 1)
	}
	known = append(known, record("gone", 9))
	tables := make([]*republish.Table, nodes)
	for i := range tables {
		tables[i] = republish.NewTable(known[i].Instance, uint64(i))
		tables[i].StateRead(start, 1, []republish.Held{held("gone", 9, 1, 5)}, known)
		tables[i].StateRead(start, 2, []republish.Held{held("gone", 3, 2, 4)}, known)
	}
	writes, firstWrite := 0, time.Time{}
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(50 * time.Millisecond) {
		for _, table := range tables {
			writes += len(table.Due(now))
		}
		if writes > 0 && firstWrite.IsZero() {
			firstWrite = now
		}
		if !firstWrite.IsZero() && now.Sub(firstWrite) >= 250*time.Millisecond {
			break // all know that it was written
		}
	}
	Convey("Few nodes write it, and soon", t, func() {
		So(writes, ShouldBeBetween, 0, 10)
		So(firstWrite.Sub(start), ShouldBeLessThan, 20*time.Second)
	})
}

// TestAgainstRestores draws restores, writes, deletions and reads. A write that a table asks
// for must never replace a newer record or bring back a deleted one, and at the end the store
// must hold the newest version of each record that it held before a restore.
func TestAgainstRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type object struct{ sequence, revision uint64 }
		store, copied := map[string]object{}, map[string]object{}
		id, revision := epoch.ID(1), uint64(1)
		newest, deleted := map[string]uint64{}, map[string]bool{}
		table, now := republish.NewTable("self", 1), start
		names := []string{"a", "b", "c"}
		known := func() []roster.Record {
			var all []roster.Record
			for _, name := range names {
				if newest[name] > 0 {
					all = append(all, record(name, newest[name]))
				}
			}
			return all
		}
		read := func() {
			var state []republish.Held
			for name, o := range store {
				state = append(state, held(name, o.sequence, id, o.revision))
			}
			table.StateRead(now, id, state, known())
		}
		put := func(name string, sequence uint64) {
			revision++
			store[name] = object{sequence, revision}
		}
		write := func() {
			now = now.Add(time.Minute)
			for _, w := range table.Due(now) {
				current, exists := store[w.Instance]
				if w.Replaces.IsZero() == exists || exists && w.Replaces != (epoch.Revision{Epoch: id, Number: current.revision}) {
					table.Refused(w.Instance)
					continue
				}
				if deleted[w.Instance] {
					t.Fatalf("%s was deleted and is written again", w.Instance)
				}
				if current.sequence >= newest[w.Instance] {
					t.Fatalf("%s: sequence %d is replaced by %d", w.Instance, current.sequence, newest[w.Instance])
				}
				put(w.Instance, newest[w.Instance])
				table.Written(w.Instance)
			}
		}
		drawName := func(t *rapid.T) string { return rapid.SampledFrom(names).Draw(t, "name") }
		read()
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				name := drawName(t)
				newest[name]++
				delete(deleted, name)
				put(name, newest[name])
				table.Changed(held(name, newest[name], id, revision), false)
			},
			"delete": func(t *rapid.T) {
				name := drawName(t)
				delete(store, name)
				deleted[name] = true
				table.Changed(republish.Held{Record: record(name, 0)}, true)
			},
			"copy": func(*rapid.T) {
				copied = map[string]object{}
				for name, o := range store {
					copied[name] = o
				}
			},
			"restore": func(*rapid.T) {
				store = map[string]object{}
				for name, o := range copied {
					store[name] = o
					delete(deleted, name) // the copy brings it back
				}
				id++
				read()
			},
			"write": func(*rapid.T) { write() },
		})
		write()
		for name, sequence := range newest {
			if o, ok := store[name]; !deleted[name] && (!ok || o.sequence != sequence) {
				t.Fatalf("%s: the store holds sequence %d (%t), %d was published", name, o.sequence, ok, sequence)
			}
		}
	})
}
