package retrybudget

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

var config = Config{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}

func TestBudget(t *testing.T) {
	Convey("Repeats follow the requests", t, func() {
		b := New(config)
		for range 1000 {
			b.Request(start, "s")
		}
		allowed := 0
		for b.Repeat(start, 12, []Charge{{"s", 1}}) {
			allowed++
		}
		So(allowed, ShouldBeBetween, 100, 200)
	})
	Convey("A repeat that leads to many calls needs room for them", t, func() {
		b := New(config)
		for range 1000 {
			b.Request(start, "s")
		}
		So(b.Repeat(start, 12, []Charge{{"s", 1}, {"deep", 8}}), ShouldBeFalse)
	})
	Convey("The window slides", t, func() {
		b := New(config)
		for range 100 {
			b.Request(start, "s")
		}
		for b.Repeat(start, 12, []Charge{{"s", 1}}) {
		}
		later := start.Add(2 * config.Window)
		So(b.Repeat(later, 12, []Charge{{"s", 1}}), ShouldBeTrue)
	})
}

// TestFleetKeepsTheBound plays nodes that repeat whenever they may, and checks
// all sliding windows of the fleet against what operators allow.
func TestFleetKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 20).Draw(t, "nodes")
		perStep := rapid.SliceOfN(rapid.IntRange(0, 30), 300, 300).Draw(t, "requests")
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = New(config)
		}
		const step = 100 * time.Millisecond
		requests, repeats := make([]float64, len(perStep)), make([]float64, len(perStep))
		for i, count := range perStep {
			now := start.Add(time.Duration(i) * step)
			for r := range count {
				b := budgets[(i+r)%nodes]
				b.Request(now, "s")
				requests[i]++
				if b.Repeat(now, nodes, []Charge{{"s", 1}}) {
					repeats[i]++
				}
			}
		}
		window := int(config.Window / step)
		for from := range perStep {
			sent, again := 0.0, 0.0
			for i := from; i < min(from+window, len(perStep)); i++ {
				sent += requests[i]
				again += repeats[i]
			}
			before := 0.0
			for i := max(from-window, 0); i < from; i++ {
				before += requests[i]
			}
			if allowed := config.Ratio*max(sent, before) + config.Slack; again > allowed {
				t.Fatalf("%v repeats for %v requests in the window from step %d, allowed %v", again, sent, from, allowed)
			}
		}
	})
}
