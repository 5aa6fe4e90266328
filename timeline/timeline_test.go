package timeline

import (
	"flag"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/fleet"
)

// init fixes the seed, so that every run has the same result. The flag -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestRing(t *testing.T) {
	Convey("A full ring stores the last events and reports how many it has dropped", t, func() {
		ring := NewRing("node-a", 4)
		for range 6 {
			ring.Record(Event{Kind: Received})
		}
		events, dropped := ring.After(0, Filter{}, 0)
		So(dropped, ShouldEqual, 2)
		So(len(events), ShouldEqual, 4)
		So(events[0].Sequence, ShouldEqual, 3)

		events, dropped = ring.After(4, Filter{}, 1)
		So(dropped, ShouldEqual, 0)
		So(len(events), ShouldEqual, 1)
		So(events[0].Sequence, ShouldEqual, 5)

		events, dropped = ring.After(1<<64-1, Filter{}, 0)
		So(dropped, ShouldEqual, 0)
		So(events, ShouldBeEmpty)
	})
	Convey("A long detail is truncated, so that the memory is bounded", t, func() {
		ring := NewRing("node-a", 1)
		ring.Record(Event{Kind: ConfigRefused, Detail: strings.Repeat("x", 1<<20)})
		events, _ := ring.After(0, Filter{}, 0)
		So(len(events[0].Detail), ShouldEqual, MaxDetailBytes)
	})
	Convey("Recording an event allocates no memory", t, func() {
		ring := NewRing("node-a", 16)
		e := Event{Kind: Sent, Time: time.Unix(1, 0), Request: "r", Service: "search"}
		So(testing.AllocsPerRun(100, func() { ring.Record(e) }), ShouldEqual, 0)
	})
	Convey("A clock value from a faulty node can't make the clock overflow", t, func() {
		ring := NewRing("node-a", 1)
		ring.Observe(1<<64 - 1)
		ring.Record(Event{Kind: Received})
		So(ring.Lamport(), ShouldEqual, 1)
	})
}

// TestMergeIsCausal sends messages between nodes at random and checks that each
// event comes after the events that caused it.
func TestMergeIsCausal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rings := []*Ring{NewRing("a", 100), NewRing("b", 100), NewRing("c", 100)}
		type cause struct{ sent, received Event }
		var causes []cause
		last := func(r *Ring) Event {
			events, _ := r.After(r.Sequence()-1, Filter{}, 0)
			return events[0]
		}
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			from := rings[rapid.IntRange(0, 2).Draw(t, "from")]
			to := rings[rapid.IntRange(0, 2).Draw(t, "to")]
			from.Record(Event{Kind: Sent})
			sent := last(from)
			to.Observe(from.Lamport())
			to.Record(Event{Kind: Received})
			causes = append(causes, cause{sent, last(to)})
		}
		var lists [][]Event
		for _, ring := range rings {
			events, _ := ring.After(0, Filter{}, 0)
			lists = append(lists, events, events)
		}
		type id struct {
			node     fleet.InstanceID
			sequence uint64
		}
		position := map[id]int{}
		previous := map[fleet.InstanceID]uint64{}
		for i, e := range Merge(lists...) {
			if e.Sequence != previous[e.Node]+1 {
				t.Fatalf("event %d of %s follows event %d", e.Sequence, e.Node, previous[e.Node])
			}
			previous[e.Node] = e.Sequence
			position[id{e.Node, e.Sequence}] = i
		}
		for _, c := range causes {
			if position[id{c.sent.Node, c.sent.Sequence}] >= position[id{c.received.Node, c.received.Sequence}] {
				t.Fatalf("%v comes after the event that it caused, %v", c.sent, c.received)
			}
		}
	})
}
