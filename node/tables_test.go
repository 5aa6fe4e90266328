package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/link"
)

func TestPressuresOnTheWire(t *testing.T) {
	Convey("Pressures are the same after the wire, and repeated ones take no bytes", t, func() {
		for _, c := range []struct {
			held  [loadshed.Priorities]int
			bytes int
		}{
			{held: [loadshed.Priorities]int{}, bytes: 1},
			{held: [loadshed.Priorities]int{0: 3}, bytes: 1},
			{held: [loadshed.Priorities]int{0: 3, 2: 7}, bytes: 3},
			{held: [loadshed.Priorities]int{7: 5}, bytes: 8},
		} {
			pressures := loadshed.PressuresOf(c.held, 10)
			encoded := encodePressures(pressures)
			So(encoded, ShouldHaveLength, c.bytes)
			for p, decoded := range decodePressures(encoded) {
				So(decoded, ShouldAlmostEqual, pressures[p], link.PressureUnit)
			}
		}
	})
	Convey("A pressure beyond the wire's range stays the highest", t, func() {
		pressures := decodePressures(encodePressures(loadshed.Uniform(1000)))
		So(pressures[0], ShouldBeGreaterThan, 5)
	})
}

// A reply tells of services that its node has only heard of, and when.
func TestReplyTellsHowOldAPressureIs(t *testing.T) {
	Convey("A node passes a pressure on with its age, and an older one changes nothing", t, func() {
		now := time.Unix(1000, 0)
		tables := newTables(&Settings{Service: "front"}, 0)
		reply := func(pressure float64, age time.Duration) *link.Reply {
			return &link.Reply{Views: []link.ServiceView{{
				Service: "deep", Cost: 30 * time.Millisecond, Requests: 1,
				Pressures: encodePressures(loadshed.Uniform(pressure)), Age: age,
			}}}
		}
		tables.learn(now, "lookup", "front", reply(2, 10*time.Millisecond))
		tables.learn(now, "lookup", "front", reply(4, 300*time.Millisecond))
		pressures, seenAt, known := tables.mu.shed.Pressures(now, "deep")
		So(known, ShouldBeTrue)
		So(pressures[0], ShouldAlmostEqual, 2, link.PressureUnit)
		So(seenAt, ShouldEqual, now.Add(-10*time.Millisecond))
	})
}
