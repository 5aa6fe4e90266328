package routing_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/routing"
)

var begin = time.Unix(1_000_000, 0)

func instances(count int, domains ...string) []fleet.Instance {
	list := make([]fleet.Instance, count)
	for i := range list {
		domain := domains[i%len(domains)]
		list[i] = fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprint(domain, i)), Service: "search", Slots: 8,
			FailureDomain: fleet.FailureDomain(domain), Region: "bayern", State: fleet.Ready,
		}
	}
	return list
}

func TestChoiceKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := begin
		table := routing.NewTable(routing.Config{MaxTargets: 6}, "a", "bayern", rapid.Uint64().Draw(t, "seed"))
		ready := map[fleet.InstanceID]fleet.Instance{}
		drained := map[fleet.InstanceID]bool{}
		inFlight := []fleet.InstanceID{}
		setInstances := func(t *rapid.T) {
			count := rapid.IntRange(0, 12).Draw(t, "count")
			all := instances(count, "a", "b", "c")
			clear(ready)
			for i := range all {
				if rapid.IntRange(0, 4).Draw(t, "draining") == 0 {
					all[i].State = fleet.Draining
					continue
				}
				ready[all[i].ID] = all[i]
			}
			table.SetInstances(now, "search", all)
		}
		t.Repeat(map[string]func(*rapid.T){
			"set instances": setInstances,
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"choose": func(t *rapid.T) {
				var exclude []fleet.InstanceID
				for id := range ready {
					if len(exclude) < 1 {
						exclude = append(exclude, id)
					}
				}
				chosen, ok := table.Choose(now, "search", routing.ChooseOptions{Exclude: exclude})
				if !ok {
					return
				}
				if _, found := ready[chosen.ID]; !found {
					t.Fatalf("chose %s, which is draining or not in the list", chosen.ID)
				}
				if chosen.ID == exclude[0] {
					t.Fatalf("chose %s, which is excluded", chosen.ID)
				}
				if drained[chosen.ID] {
					t.Fatalf("chose %s, which reported that it is draining", chosen.ID)
				}
				table.Begin(now, chosen.ID)
				inFlight = append(inFlight, chosen.ID)
			},
			"end": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("nothing in flight")
				}
				id := inFlight[0]
				inFlight = inFlight[1:]
				s := routing.Sample{
					Operation: "plot", Latency: time.Duration(rapid.IntRange(1, 500).Draw(t, "latency")) * time.Millisecond,
					Outcome:       call.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
					ConnectFailed: rapid.IntRange(0, 9).Draw(t, "connect") == 0,
				}
				s.Feedback = routing.Feedback{Limit: 8, Running: rapid.IntRange(0, 8).Draw(t, "running"), Queued: rapid.IntRange(0, 50).Draw(t, "queued")}
				table.End(now, id, s)
			},
		})
	})
}

func TestOneHealthyInstanceIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := begin
		table := routing.NewTable(routing.Config{}, "a", "bayern", rapid.Uint64().Draw(t, "seed"))
		all := instances(rapid.IntRange(2, 8).Draw(t, "count"), "a", "b")
		table.SetInstances(now, "search", all)
		healthy := all[rapid.IntRange(0, len(all)-1).Draw(t, "healthy")].ID
		served := 0
		for range 200 {
			now = now.Add(5 * time.Millisecond)
			chosen, ok := table.Choose(now, "search", routing.ChooseOptions{})
			if !ok {
				continue
			}
			table.Begin(now, chosen.ID)
			if chosen.ID != healthy {
				table.End(now, chosen.ID, routing.Sample{ConnectFailed: true, Outcome: call.NotRun})
				continue
			}
			served++
			table.End(now, chosen.ID, routing.Sample{Latency: time.Millisecond, Outcome: call.Completed})
		}
		if served < 120 {
			t.Fatalf("only %d of 200 calls reached the one healthy instance, want at least 120", served)
		}
	})
}

// drive sends 1000 calls a second for ten seconds of virtual time to three
// instances. Instance a0 takes ten times as long as the others from millisecond
// slowFrom to slowTo. It returns the calls to a0 and all calls, by second.
func drive(seed uint64, slowFrom, slowTo int) (toSlowed [10]int, total [10]int) {
	type reply struct {
		at, sent time.Time
		id       fleet.InstanceID
	}
	r := rand.New(rand.NewPCG(seed, 2))
	table := routing.NewTable(routing.Config{}, "a", "bayern", seed)
	table.SetInstances(begin, "search", instances(3, "a"))
	var inFlight []reply
	for ms := range 10_000 {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		remaining := inFlight[:0]
		for _, a := range inFlight {
			if a.at.After(now) {
				remaining = append(remaining, a)
				continue
			}
			table.End(now, a.id, routing.Sample{Operation: "plot", Latency: a.at.Sub(a.sent), Outcome: call.Completed})
		}
		inFlight = remaining
		chosen, _ := table.Choose(now, "search", routing.ChooseOptions{Operation: "plot"})
		table.Begin(now, chosen.ID)
		latency := time.Duration(5+r.IntN(10)) * time.Millisecond
		if chosen.ID == "a0" && ms >= slowFrom && ms < slowTo {
			latency *= 10
		}
		total[ms/1000]++
		if chosen.ID == "a0" {
			toSlowed[ms/1000]++
		}
		inFlight = append(inFlight, reply{now.Add(latency), now, chosen.ID})
	}
	return toSlowed, total
}

func TestSlowedInstanceLosesItsShare(t *testing.T) {
	Convey("Given 1000 calls a second to three instances, one of them slow from the third to the seventh second", t, func() {
		slowed, total := drive(1, 2000, 7000)
		t.Logf("calls to the slow instance by second: %v of %v", slowed, total)
		Convey("Before that, it gets a third of the calls", func() {
			So(slowed[1], ShouldBeBetween, 250, 420)
		})
		Convey("While it is slow, it loses its share within tens of calls", func() {
			So(slowed[2], ShouldBeLessThan, 60)
			So(slowed[4], ShouldBeLessThan, 10)
		})
		Convey("Afterwards it gets its share back", func() {
			So(slowed[9], ShouldBeGreaterThan, 200)
		})
	})
}

// TestChoiceDecisions runs the decision tables in testdata/choice.
func TestChoiceDecisions(t *testing.T) {
	datadriven.Walk(t, "testdata/choice", func(t *testing.T, path string) {
		now := begin
		table := routing.NewTable(routing.Config{}, "a", "bayern", 1)
		table.SetService("search", routing.ServiceConfig{ColdStart: 10 * time.Second})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "instances":
				table.SetInstances(now, "search", parseInstances(d.Input))
				return ""
			case "after":
				ms := 0
				d.ScanArgs(t, "ms", &ms)
				now = now.Add(time.Duration(ms) * time.Millisecond)
				return ""
			case "reply":
				recordReply(t, d, table, now)
				return ""
			case "choose":
				return shares(table, now)
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

// parseInstances parses lines of ID, failure domain and state.
func parseInstances(input string) []fleet.Instance {
	var list []fleet.Instance
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		state := fleet.Ready
		if fields[2] == "draining" {
			state = fleet.Draining
		}
		list = append(list, fleet.Instance{
			ID: fleet.InstanceID(fields[0]), Service: "search", Slots: 8, State: state,
			FailureDomain: fleet.FailureDomain(fields[1]), Region: "bayern",
		})
	}
	return list
}

func recordReply(t *testing.T, d *datadriven.TestData, table *routing.Table, now time.Time) {
	var id string
	var running, queued, ms int
	d.ScanArgs(t, "id", &id)
	s := routing.Sample{Outcome: call.Completed, Operation: "plot"}
	if d.HasArg("ms") {
		d.ScanArgs(t, "ms", &ms)
		s.Latency = time.Duration(ms) * time.Millisecond
	}
	if d.HasArg("running") {
		d.ScanArgs(t, "running", &running)
		d.ScanArgs(t, "queued", &queued)
		s.Feedback = routing.Feedback{Limit: 8, Running: running, Queued: queued}
	}
	if d.HasArg("connect-failed") {
		s = routing.Sample{Outcome: call.NotRun, ConnectFailed: true}
	}
	s.Feedback.Draining = d.HasArg("draining")
	table.Begin(now, fleet.InstanceID(id))
	table.End(now, fleet.InstanceID(id), s)
}

// shares chooses many times without sending a call and describes the share of
// each instance.
func shares(table *routing.Table, now time.Time) string {
	const draws = 300
	counts := map[fleet.InstanceID]int{}
	for range draws {
		if chosen, ok := table.Choose(now, "search", routing.ChooseOptions{Operation: "plot"}); ok {
			counts[chosen.ID]++
		}
	}
	var b strings.Builder
	for _, id := range []fleet.InstanceID{"a1", "a2", "b1", "b2"} {
		share := "none"
		switch fraction := float64(counts[id]) / draws; {
		case fraction > 0.9:
			share = "nearly all"
		case fraction > 0.35:
			share = "about half"
		case fraction > 0:
			share = "a part"
		}
		fmt.Fprintf(&b, "%s: %s\n", id, share)
	}
	return b.String()
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{3, 20, 1000} {
		b.Run(fmt.Sprint("targets=", count), func(b *testing.B) {
			table := routing.NewTable(routing.Config{MaxTargets: count}, "a", "bayern", 1)
			table.SetInstances(begin, "search", instances(count, "a", "b", "c"))
			now := begin
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				chosen, _ := table.Choose(now, "search", routing.ChooseOptions{Operation: "plot"})
				table.Begin(now, chosen.ID)
				table.End(now, chosen.ID, routing.Sample{
					Operation: "plot", Latency: time.Millisecond, Outcome: call.Completed,
					Feedback: routing.Feedback{Running: 3, Limit: 8},
				})
			}
		})
	}
}

func TestServiceThatSlowsAsAWholeKeepsItsInstances(t *testing.T) {
	Convey("When all instances take three times as long, none is ejected for longer than a few calls", t, func() {
		table := routing.NewTable(routing.Config{}, "a", "bayern", 1)
		table.SetInstances(begin, "search", instances(3, "a"))
		counts := map[fleet.InstanceID]int{}
		for i := range 400 {
			now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
			chosen, _ := table.Choose(now, "search", routing.ChooseOptions{Operation: "plot"})
			table.Begin(now, chosen.ID)
			latency := 9 * time.Millisecond
			if i >= 200 {
				latency *= 3
				counts[chosen.ID]++
			}
			table.End(now, chosen.ID, routing.Sample{Operation: "plot", Latency: latency, Outcome: call.Completed})
		}
		t.Logf("calls by instance after the slowdown: %v", counts)
		for _, instance := range instances(3, "a") {
			So(counts[instance.ID], ShouldBeGreaterThan, 40)
		}
	})
}

func TestHedges(t *testing.T) {
	Convey("Given a service whose calls take 10 ms on average", t, func() {
		table := routing.NewTable(routing.Config{}, "a", "bayern", 1)
		table.SetInstances(begin, "search", instances(3, "a"))
		now := begin
		end := func(id fleet.InstanceID, s routing.Sample) {
			s.Operation, s.Latency = "plot", 10*time.Millisecond
			table.End(now, id, s)
		}
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			chosen, _ := table.Choose(now, "search", routing.ChooseOptions{Operation: "plot"})
			table.Begin(now, chosen.ID)
			end(chosen.ID, routing.Sample{Outcome: call.Completed})
		}
		Convey("a call may be hedged after twice that time", func() {
			after, ok := table.HedgeAfter(now, "search", "plot")
			So(ok, ShouldBeTrue)
			So(after, ShouldBeGreaterThanOrEqualTo, 20*time.Millisecond)
		})
		Convey("no call may be hedged while no instance replies to any of several calls", func() {
			for range 5 {
				chosen, _ := table.Choose(now, "search", routing.ChooseOptions{Operation: "plot"})
				table.Begin(now, chosen.ID)
			}
			So(table.MayHedge(now.Add(time.Millisecond), "search"), ShouldBeTrue)
			So(table.MayHedge(now.Add(20*time.Millisecond), "search"), ShouldBeFalse)
		})
		Convey("an instance whose calls are repeatedly cancelled in favour of hedges is ejected", func() {
			for range 10 {
				table.Begin(now, "a0")
				table.End(now, "a0", routing.Sample{Operation: "plot", Latency: 25 * time.Millisecond, Cancelled: true})
			}
			for range 50 {
				chosen, _ := table.Choose(now, "search", routing.ChooseOptions{Operation: "plot"})
				So(chosen.ID, ShouldNotEqual, fleet.InstanceID("a0"))
			}
		})
		Convey("no call may be hedged for a second after a refusal for overload", func() {
			table.Begin(now, "a0")
			end("a0", routing.Sample{Outcome: call.NotRun, Reason: call.ReasonOverload})
			So(table.MayHedge(now.Add(900*time.Millisecond), "search"), ShouldBeFalse)
			So(table.MayHedge(now.Add(1100*time.Millisecond), "search"), ShouldBeTrue)
		})
		Convey("only a small fraction of the calls may be hedged", func() {
			for table.MayHedge(now, "search") {
				table.Hedged("search")
			}
			sent := 0
			for range 1000 {
				table.Begin(now, "a0")
				end("a0", routing.Sample{Outcome: call.Completed})
				if table.MayHedge(now, "search") {
					table.Hedged("search")
					sent++
				}
			}
			So(sent, ShouldBeBetweenOrEqual, 10, 20)
		})
	})
}
