package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/retrybudget"
	"github.com/gypsumford/gypsumford/roster"
)

func TestPressuresOnTheWire(t *testing.T) {
	Convey("Decoded pressures equal the encoded ones within a unit, and equal ones at the end take no bytes", t, func() {
		for _, c := range []struct {
			inFlight [loadshed.Priorities]int
			bytes    int
		}{
			{inFlight: [loadshed.Priorities]int{}, bytes: 1},
			{inFlight: [loadshed.Priorities]int{0: 3}, bytes: 1},
			{inFlight: [loadshed.Priorities]int{0: 3, 2: 7}, bytes: 3},
			{inFlight: [loadshed.Priorities]int{7: 5}, bytes: 8},
		} {
			pressures := loadshed.PressuresOf(c.inFlight, 10)
			encoded := encodePressures(pressures)
			So(encoded, ShouldHaveLength, c.bytes)
			for p, decoded := range decodePressures(encoded) {
				So(decoded, ShouldAlmostEqual, pressures[p], link.PressureUnit)
			}
		}
	})
	Convey("A pressure above the encodable range is encoded as the highest", t, func() {
		pressures := decodePressures(encodePressures(loadshed.Uniform(1000)))
		So(pressures[0], ShouldBeGreaterThan, 5)
	})
}

// A reply also carries pressures that its node received from others, each with its age.
// If the age were ignored, a stale pressure could replace a more recent one.
func TestReplyStatesTheAgeOfPressures(t *testing.T) {
	Convey("A received pressure counts from the time when it was observed, and an older one is ignored", t, func() {
		now := time.Unix(1000, 0)
		tables := newTables(&Settings{Service: "front"}, 0)
		reply := func(pressure float64, age time.Duration) *link.Reply {
			return &link.Reply{Views: []link.ServiceView{{
				Service: "deep", Cost: 30 * time.Millisecond, Requests: 1,
				Pressures: encodePressures(loadshed.Uniform(pressure)), Age: age,
			}}}
		}
		tables.recordReply(now, "lookup", "front", reply(2, 10*time.Millisecond))
		tables.recordReply(now, "lookup", "front", reply(4, 300*time.Millisecond))
		pressures, observedAt, fresh := tables.mu.shed.Pressures(now, "deep")
		So(fresh, ShouldBeTrue)
		So(pressures[0], ShouldAlmostEqual, 2, link.PressureUnit)
		So(observedAt, ShouldEqual, now.Add(-10*time.Millisecond))
	})
}

// Guards against requests that are refused at the entry because one target of a service
// states a rate limit, although the others have room.
func TestPressureOfALimitedTargetCountsOnlyIfAllAreLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	reply := &link.Reply{
		Stated: &link.Statement{Born: 1, RateLimit: 5},
		Views:  []link.ServiceView{{Service: "front", Requests: 1, Pressures: encodePressures(loadshed.Uniform(3))}},
	}
	for _, c := range []struct {
		otherLimit float64
		counts     bool
	}{{0, false}, {8, true}} {
		Convey("Targets a, with a rate limit, and b: "+fmt.Sprint(c.otherLimit), t, func() {
			tables := newTables(&Settings{Service: "front"}, 0)
			for instance, rateLimit := range map[string]float64{"a": 5, "b": c.otherLimit} {
				tables.mu.roster.Update(roster.Record{Instance: instance, Incarnation: 1, Target: roster.Target{
					ID: instance, Born: 1, Service: "front", State: roster.Ready, RateLimit: rateLimit,
				}})
			}
			tables.recordReply(now, "lookup", "front", reply)
			_, _, known := tables.mu.shed.Pressures(now, "front")
			So(known, ShouldEqual, c.counts)
		})
	}
}

// Guards against retries beyond the budget of all nodes after many nodes restart at once:
// one that doesn't know the others yet took the whole slack for itself.
func TestSlackOfTheRetryBudgetBeforeTheOtherNodesAreKnown(t *testing.T) {
	granted := func(tables *tables) (granted int) {
		charge := []retrybudget.Charge{{Service: "front", Requests: 1}}
		for range 100 {
			if tables.allowRetry(time.Unix(1000, 0), retrybudget.Importance{}, charge) {
				granted++
			}
		}
		return granted
	}
	settings := &Settings{Name: "n0", Service: "front", RetryBudget: retrybudget.Config{Slack: 50, Window: 10 * time.Second}}
	record := func(i int) roster.Record { return roster.Record{Instance: fmt.Sprint("n", i), Incarnation: 1} }
	Convey("A node that knows itself alone, and has read no records, retries nothing beyond the ratio", t, func() {
		tables := newTables(settings, 0)
		tables.mu.roster.Update(record(0))
		So(granted(tables), ShouldEqual, 0)
	})
	Convey("Once it knows all ten, it takes a part", t, func() {
		tables := newTables(settings, 0)
		for i := range 10 {
			tables.mu.roster.Update(record(i))
		}
		tables.mu.allKnown = true
		So(granted(tables), ShouldBeBetween, 0, 6)
	})
}
