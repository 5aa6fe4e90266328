package loadshed

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStaleCostIsConfirmedByFewRequests(t *testing.T) {
	Convey("A stale cost admits one request a second to confirm it, not all", t, func() {
		costs, now := NewCosts(), start
		costs.Record(now, "lookup", []ServiceCost{{Service: "narrow", Time: 240 * time.Millisecond}})
		now = now.Add(costMaxAge)
		probes := 0
		const seconds, perS = 10, 100
		for range seconds * perS {
			now = now.Add(time.Second / perS)
			switch costs.Arrive(now, "lookup") {
			case CostProbe:
				probes++
			case CostKnown:
				So(costs.ByService("lookup"), ShouldHaveLength, 1)
			default:
				So("neither CostKnown nor CostProbe", ShouldBeEmpty)
			}
		}
		So(probes, ShouldBeBetweenOrEqual, 1, seconds)
	})
}

func TestUnknownCostStartsSlowly(t *testing.T) {
	flood := func(costs *Costs, now time.Time) (admitted int) {
		for range 1000 {
			if costs.Arrive(now, "lookup") == SlowStart {
				admitted++
			}
		}
		return admitted
	}
	Convey("Few requests are admitted before the first reply, more if it takes long", t, func() {
		costs := NewCosts()
		So(flood(costs, start), ShouldEqual, slowStartRequests)
		So(flood(costs, start.Add(slowStartDoublingTime)), ShouldEqual, slowStartRequests)
		So(costs.Arrive(start.Add(slowStartDoublingTime), "lookup"), ShouldEqual, SlowStartFull)
		So(costs.Arrive(start, "another"), ShouldEqual, SlowStart)
	})
	Convey("While requests fail, fewer are admitted, but at least one", t, func() {
		costs := NewCosts()
		now := start
		for range 10 {
			for range flood(costs, now) {
				costs.Ended("lookup", false)
			}
		}
		So(flood(costs, now), ShouldEqual, 1)
	})
	Convey("A reply ends the slow start", t, func() {
		costs := NewCosts()
		flood(costs, start)
		costs.Record(start, "lookup", nil)
		So(costs.Arrive(start, "lookup"), ShouldEqual, CostKnown)
	})
}

func TestNewestPressureCounts(t *testing.T) {
	Convey("A pressure that was observed before the recorded one is ignored", t, func() {
		table, now := NewTable(), start.Add(time.Minute)
		table.Observe(now, "narrow", now.Add(-10*time.Millisecond), Uniform(1), Relayed)
		table.Observe(now, "narrow", now.Add(-500*time.Millisecond), Uniform(4), Relayed)
		pressures, observedAt, fresh := table.Pressures(now, "narrow")
		So(fresh, ShouldBeTrue)
		So(pressures, ShouldResemble, Uniform(1))
		So(observedAt, ShouldEqual, now.Add(-10*time.Millisecond))
	})
	Convey("A pressure that arrives after a pause replaces the recorded one", t, func() {
		table, now := NewTable(), start.Add(time.Minute)
		table.Observe(now, "narrow", now, Uniform(1), Relayed)
		now = now.Add(300 * time.Millisecond)
		table.Observe(now, "narrow", now, Uniform(4), Relayed)
		pressures, _, _ := table.Pressures(now, "narrow")
		So(pressures[0], ShouldBeGreaterThan, 3.9)
	})
	Convey("A refusal raises the pressure of less important requests, never of the most important", t, func() {
		table, now := NewTable(), start.Add(time.Minute)
		table.Refused(now, "narrow", 0)
		pressures, _, _ := table.Pressures(now, "narrow")
		So(pressures[0], ShouldEqual, 0)
		So(pressures[1], ShouldBeGreaterThan, pressureSetpoint)
	})
}
