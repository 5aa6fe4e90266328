package balance

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/spillover"
)

// Guards against an explanation that differs from what the table does, or that changes it.
func TestExplainTellsWhatChooseDoes(t *testing.T) {
	for _, with := range []struct {
		name      string
		spillover bool
		awaited   bool
		load      int // of the targets in the own domain
	}{
		{"room", true, false, 3}, {"own domain full", true, false, 13}, {"fixed factor", false, false, 13},
		{"awaited", true, true, 11}, {"fixed factor, room", false, false, 3},
	} {
		Convey(with.name, t, func() {
			table, list, now := NewTable("a"), candidates("a", "a", "a", "b", "b", "c"), start
			if with.spillover {
				table.UseSpillover(spillover.NewTable())
			}
			request := Request{Route: "r", Service: "s", Awaited: with.awaited}
			report := func() {
				for i, r := range list {
					load := Load{Running: 3 + i, Slots: 10}
					if r.Domain == "a" {
						load.Running = with.load
					}
					table.Sent(now, r.Target.ID)
					table.Responded(now, r.Target.ID, "r", time.Duration(40+5*i)*time.Millisecond, 400, load, false)
				}
			}
			for range 200 { // until the moving averages are steady
				now = now.Add(50 * time.Millisecond)
				report()
				table.Choose(now, request, list, nil)
			}
			before := table.Explain(now, request, list)
			const draws = 20000
			counts := map[string]float64{}
			for range draws {
				choice, _ := table.Choose(now, request, list, nil)
				counts[choice.Record.Target.ID] += 1.0 / draws
			}
			sum := 0.0
			for _, e := range before.Targets {
				So(math.Abs(e.Chance-counts[e.Record.Target.ID]), ShouldBeLessThan, 0.02)
				sum += e.Chance
			}
			So(sum, ShouldAlmostEqual, 1, 1e-9)
			So(table.Explain(now, request, list), ShouldResemble, before)
		})
	}
	Convey("Nothing is kept of targets and services that are only asked about", t, func() {
		table := NewTable("a")
		table.UseSpillover(spillover.NewTable())
		e := table.Explain(start, Request{Route: "r", Service: "s"}, candidates("a", "b"))
		So(e.Targets, ShouldHaveLength, 2)
		So(table.targets, ShouldBeEmpty)
		So(table.spillover.Statuses(start), ShouldBeEmpty)
		So(table.Explain(start, Request{Service: "s"}, candidates("b", "b")).Targets[0].Chance, ShouldAlmostEqual, 0.5, 1e-9)
		So(table.Explain(start, Request{Service: "s"}, nil).Targets, ShouldBeEmpty)
	})
}
