package bench_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/standin/bench"
	"github.com/gypsumford/gypsumford/standin/load"
	"github.com/gypsumford/gypsumford/standin/scenario"
	"github.com/gypsumford/gypsumford/standin/target"
)

const scenarioText = `
name n
length 10s
classes a
service s targets 2 slots 2
operation s/x class a time 100ms paid
load s/x from 0s 1/s
phase all 0s 10s
figure goodput 1/s goodput in all
figure capacity 1/s capacity in all service s
figure utilisation ratio utilisation in all service s
figure first ratio first-ask in all
figure wasted ratio wasted in all
figure recovery s recovery after 2s
figure attempts count attempts
figure lost count lost
figure doubled count doubled
figure unknown count unknown
figure notrun count notrun-ran
figure half ratio goodput in all over capacity in all service s
`

var runStart = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return runStart.Add(time.Duration(seconds * float64(time.Second)))
}

func record(key string, start, end float64, calls ...load.Call) *load.Record {
	return &load.Record{Stream: &load.Stream{Operation: "s/x", Class: "a"}, Key: key, Due: at(start), Ended: at(end), Calls: calls}
}

func run(id, key string, start, end float64, completed bool) bench.TargetRun {
	r := target.Run{RequestID: id, Key: key, Operation: "x", Started: at(start), Completed: completed}
	if end > 0 {
		r.Ended = at(end)
	}
	return bench.TargetRun{Run: r, Service: "s", Target: "s-1"}
}

func TestMeasures(t *testing.T) {
	Convey("Given a run with requests of different results", t, func() {
		s, err := scenario.Parse("file", scenarioText)
		So(err, ShouldBeNil)
		result := &bench.Result{
			Scenario: s, Start: runStart,
			Records: []*load.Record{
				record("k1", 1, 1.5, load.Call{RequestID: "r1", Result: load.Completed}),
				record("k2", 2.1, 3, load.Call{RequestID: "r2a", Result: load.TimedOut}, load.Call{RequestID: "r2b", Result: load.Completed}),
				record("k3", 2.4, 3, load.Call{RequestID: "r3", Result: load.Refused}),
				record("k4", 3.6, 4, load.Call{RequestID: "r4", Result: load.Unknown}),
				record("k5", 5, 5.1, load.Call{RequestID: "r5", Result: load.Completed}),
			},
			Runs: []bench.TargetRun{
				run("r1", "k1", 1, 2, true),
				run("r2a", "k2", 2, 3, true),
				run("r3", "k3", 2, 3, true), // ran although it was refused
				run("r4", "k4", 3, 4, true),
				run("r4", "k4", 3, 0, false), // a second run of the same key, without an end
			},
		}
		values := map[string]float64{}
		for _, line := range bench.ReportLines(s, result, nil) {
			values[line.Figure] = *line.With
		}
		Convey("each figure has the value that follows from them", func() {
			So(values, ShouldResemble, map[string]float64{
				"goodput":     0.3, // requests/s: r1, r2b and r5 in 10 s
				"capacity":    40,
				"utilisation": 2.0 / 40, // the runs of k1 and k2
				"first":       0.4,
				"wasted":      0.5,
				"recovery":    0.5, // four consecutive buckets follow the one in which k3 started
				"attempts":    1,   // the run without an end isn't counted as a second attempt
				"lost":        1,   // k5 completed without a run
				"doubled":     1,   // k4 ran twice
				"unknown":     1,
				"notrun":      1,
				"half":        0.3 / 40,
			})
		})
	})
}
