package quarantine

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_700_000_000_000)

func after(d time.Duration) time.Time { return start.Add(d) }

// crashed returns a report of one crash.
func crashed(born int64, at time.Time, version string, suspects ...string) Report {
	c := Crash{Born: born, At: at.UnixMilli(), Service: "s", Version: version}
	for _, name := range suspects {
		c.Suspects = append(c.Suspects, fingerprint(name))
	}
	return Report{Crashes: []Crash{c}}
}

func candidatesOf(version string, names ...string) []Candidate {
	var candidates []Candidate
	for _, name := range names {
		candidates = append(candidates, Candidate{Instance: name, Version: version})
	}
	return candidates
}

func TestQuarantine(t *testing.T) {
	bad := fingerprint("bad")
	three := candidatesOf("v1", "a", "b", "c")
	// convicted returns a table in which the request was in flight at three crashes.
	convicted := func() *Table {
		table := NewTable()
		for i, instance := range []string{"a", "b", "c"} {
			table.Merge(after(time.Minute), instance, crashed(int64(i), after(time.Duration(i)*time.Second), "v1", "bad", fmt.Sprint("other", i)))
		}
		return table
	}
	status := func(table *Table, at time.Time) Status { return table.Place(at, bad, "s", 3, three).Status }
	Convey("A request that nothing is known of runs anywhere", t, func() {
		p := NewTable().Place(start, bad, "s", 3, three)
		So(p.Status, ShouldEqual, Free)
		So(p.Allows(three, "b"), ShouldBeTrue)
	})
	Convey("After one crash it runs at one target, and from two on apart from others", t, func() {
		table := NewTable()
		table.Merge(start, "b", crashed(1, start, "v1", "bad"))
		p := table.Place(start, bad, "s", 3, three)
		So(p.Status, ShouldEqual, Suspect)
		So(p.IsApart(), ShouldBeFalse)
		Convey("the one that has crashed, once it is back", func() {
			So(p.Allows(three, "b"), ShouldBeTrue)
			So(p.Allows(three, "a"), ShouldBeFalse)
		})
		Convey("not the last one that is up, unless the others stay away", func() {
			sole := candidatesOf("v1", "a")
			p := table.Place(after(time.Second), bad, "s", 3, sole)
			So(p.Allows(sole, "a"), ShouldBeFalse)
			p = table.Place(after(time.Minute), bad, "s", 3, sole)
			So(p.Allows(sole, "a"), ShouldBeTrue)
			p = table.Place(after(time.Second), bad, "s", 1, sole)
			So(p.Allows(sole, "a"), ShouldBeTrue)
		})
		table.Merge(start, "c", crashed(2, start, "v1", "bad"))
		p = table.Place(start, bad, "s", 3, three)
		So(p.IsApart(), ShouldBeTrue)
	})
	Convey("After three crashes it is held, and the requests beside it aren't", t, func() {
		table := convicted()
		So(status(table, after(time.Minute)), ShouldEqual, Quarantined)
		suspects, quarantined := table.Len(after(time.Minute))
		So(suspects, ShouldEqual, 3)
		So(quarantined, ShouldEqual, 1)
		Convey("at every service", func() {
			So(table.Place(after(time.Minute), bad, "other", 3, candidatesOf("", "x", "y")).Only, ShouldEqual, -1)
		})
		Convey("until the time is over; then one crash holds it for twice as long", func() {
			So(status(table, after(11*time.Minute)), ShouldEqual, Suspect)
			So(table.Place(after(11*time.Minute), bad, "s", 3, three).IsApart(), ShouldBeTrue)
			table.Merge(after(11*time.Minute), "a", crashed(9, after(11*time.Minute), "v1", "bad"))
			So(status(table, after(30*time.Minute)), ShouldEqual, Quarantined)
			So(status(table, after(32*time.Minute)), ShouldEqual, Suspect)
		})
		Convey("except at targets of a version that it hasn't crashed", func() {
			mixed := append(candidatesOf("v1", "a", "b"), candidatesOf("v2", "c")...)
			So(table.Place(after(10*time.Second), bad, "s", 3, mixed).Only, ShouldEqual, -1)
			p := table.Place(after(time.Minute), bad, "s", 3, mixed)
			So(p.Allows(mixed, "c"), ShouldBeTrue)
			So(p.Allows(mixed, "a"), ShouldBeFalse)
			table.Merge(after(time.Minute), "c", crashed(9, after(time.Minute), "v2", "bad"))
			third := candidatesOf("v3", "a", "b")
			So(table.Place(after(80*time.Second), bad, "s", 3, third).Only, ShouldEqual, -1)
			So(table.Place(after(2*time.Minute), bad, "s", 3, third).Only, ShouldBeGreaterThanOrEqualTo, 0)
			p = table.Place(after(time.Minute), bad, "s", 3, mixed)
			So(p.Only, ShouldEqual, -1)
		})
		Convey("until it has run to a response, or an operator has released it", func() {
			var own Report
			own.Add(nil, table.Clear(bad, Software{"s", "v1"})...)
			changes := table.Merge(after(time.Minute), "x", own)
			So(len(changes), ShouldEqual, 1)
			So(changes[0].From, ShouldEqual, Quarantined)
			So(status(table, after(time.Minute)), ShouldEqual, Free)
			Convey("after which three further crashes hold it again", func() {
				table.Merge(after(time.Minute), "a", crashed(10, after(time.Minute), "v1", "bad"))
				So(status(table, after(time.Minute)), ShouldEqual, Suspect)
				table.Merge(after(time.Minute), "a", crashed(11, after(time.Minute), "v1", "bad"))
				table.Merge(after(time.Minute), "a", crashed(12, after(time.Minute), "v1", "bad"))
				So(status(table, after(time.Minute)), ShouldEqual, Quarantined)
			})
		})
		Convey("until an operator has released it, whatever ran it", func() {
			var own Report
			own.Add(nil, table.Clear(bad, Software{})...)
			table.Merge(after(time.Minute), "x", own)
			So(status(table, after(time.Minute)), ShouldEqual, Free)
		})
		Convey("Operators see the evidence", func() {
			list := table.List(after(time.Minute))
			So(list[0].Fingerprint, ShouldEqual, bad)
			So(list[0].Status, ShouldEqual, Quarantined)
			So(len(list[0].Evidence), ShouldEqual, 3)
			So(list[0].Until, ShouldEqual, after(2*time.Second+baseQuarantine))
		})
	})
	Convey("Evidence expires: that against suspects first", t, func() {
		table := convicted()
		report := crashed(0, start, "v1", "bad", "other0")
		So(table.Prune(after(time.Minute)), ShouldBeEmpty)
		ended := table.Prune(after(30 * time.Minute))
		So(len(ended), ShouldEqual, 1)
		So(ended[0].To, ShouldEqual, Suspect)
		table.Prune(after(2 * time.Hour))
		So(len(table.entries), ShouldEqual, 1)
		report = table.PruneReport(after(2*time.Hour), report)
		So(report.Crashes[0].Suspects, ShouldResemble, []Fingerprint{bad})
		table.Prune(after(25 * time.Hour))
		So(table.IsEmpty(), ShouldBeTrue)
		So(len(table.lastCrash), ShouldEqual, 0)
		So(table.PruneReport(after(25*time.Hour), report).Crashes, ShouldBeEmpty)
	})
	Convey("A witness whose clock is ahead doesn't prolong a quarantine", t, func() {
		table := NewTable()
		for i := range int64(3) {
			table.Merge(start, "a", crashed(i, after(1000*time.Hour), "v1", "bad"))
		}
		So(status(table, after(time.Minute)), ShouldEqual, Quarantined)
		So(status(table, after(time.Hour)), ShouldEqual, Suspect)
	})
}

func TestProbationRuns(t *testing.T) {
	Convey("A suspect that must run apart runs alone", t, func() {
		p := &Probation{}
		So(p.Begin(false), ShouldBeTrue)
		So(p.Begin(true), ShouldBeFalse)
		p.End()
		So(p.Begin(true), ShouldBeTrue)
		So(p.Begin(false), ShouldBeFalse)
		p.End()
		for range maxProbationRuns {
			So(p.Begin(false), ShouldBeTrue)
		}
		So(p.Begin(false), ShouldBeFalse)
	})
}

// A flood of different requests that crash targets filled the memory of all nodes.
func TestFloodOfDeadlyRequestsIsBounded(t *testing.T) {
	table, bad := NewTable(), fingerprint("bad")
	for i := range int64(3) {
		table.Merge(start, "a", crashed(i, start, "v1", "bad"))
	}
	var report Report
	for i := range 300 {
		c := Crash{Born: int64(100 + i), At: after(time.Duration(i) * time.Second).UnixMilli(), Service: "s"}
		for j := range 100 {
			c.Suspects = append(c.Suspects, fingerprint(fmt.Sprint(i, " ", j)))
		}
		report.Add(&c)
		table.Merge(after(time.Hour), "b", Report{Crashes: []Crash{c}})
	}
	if len(table.entries) > maxFingerprints || report.Size() > maxFacts {
		t.Errorf("%d requests in the table and %d facts in the report", len(table.entries), report.Size())
	}
	if table.status(after(time.Minute), bad) != Quarantined {
		t.Error("a request in quarantine was forgotten before suspects")
	}
	for i := range int64(100) {
		table.Merge(start, "c", crashed(1000+i, after(time.Duration(i)*time.Second), "v1", "bad"))
	}
	if n := len(table.entries[bad].crashes); n > maxCrashes {
		t.Errorf("%d crashes are kept for one request", n)
	}
}

// Nodes that received the same reports in another order, or twice, came to other decisions.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"p", "q", "r"}
		now := after(time.Hour)
		type sent struct {
			instance string
			report   Report
		}
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) sent {
			s := sent{instance: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "instance")}
			for range rapid.IntRange(0, 2).Draw(t, "crashes") {
				// What an instance says of one crash doesn't change.
				born := rapid.Int64Range(0, 3).Draw(t, "born")
				suspects := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "suspects")
				s.report.Add(&crashed(born, after(time.Duration(born)*time.Minute), fmt.Sprint("v", born), suspects...).Crashes[0])
			}
			for range rapid.IntRange(0, 2).Draw(t, "clearances") {
				born := rapid.Int64Range(0, 3).Draw(t, "cleared born")
				s.report.Add(nil, Clearance{
					Instance: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "cleared instance"), Born: born,
					At:      after(time.Duration(born) * time.Minute).UnixMilli(),
					Cleared: []Fingerprint{fingerprint(rapid.SampledFrom(names).Draw(t, "cleared"))},
				})
			}
			return s
		}), 0, 8).Draw(t, "reports")
		order := rapid.Permutation(reports).Draw(t, "order")
		first, second := NewTable(), NewTable()
		for _, r := range reports {
			first.Merge(now, r.instance, r.report)
		}
		joined := map[string]Report{}
		for _, r := range order {
			second.Merge(now, r.instance, r.report)
			joined[r.instance] = Join(r.report, joined[r.instance])
			second.Merge(now, r.instance, joined[r.instance])
		}
		if a, b := first.List(now), second.List(now); !reflect.DeepEqual(a, b) {
			t.Fatalf("the tables differ:\n%+v\n%+v", a, b)
		}
		third := NewTable()
		for instance, r := range joined {
			third.Merge(now, instance, r)
		}
		if a, b := first.List(now), third.List(now); !reflect.DeepEqual(a, b) {
			t.Fatalf("the union of the reports differs:\n%+v\n%+v", a, b)
		}
	})
}

func BenchmarkPlace(b *testing.B) {
	table, bad := NewTable(), fingerprint("bad")
	table.Merge(start, "a", crashed(1, start, "v1", "bad"))
	candidates := candidatesOf("v1", "a", "b", "c", "d")
	for b.Loop() {
		table.Place(start, bad, "s", 4, candidates)
	}
}

// A request in quarantine ended one target of each service and version in turn, as its route was
// changed and targets were replaced.
func TestTrialsAtOtherVersionsAreFew(t *testing.T) {
	table, bad := NewTable(), fingerprint("bad")
	for i := range int64(3) {
		table.Merge(start, "a", crashed(i, start, "v0", "bad"))
	}
	trials := 0
	for second := range 90 {
		now, version := after(time.Duration(second)*time.Second), fmt.Sprint("v", 1+second)
		candidates := candidatesOf(version, "a", "b", "c")
		if table.Place(now, bad, "s", 3, candidates).Only >= 0 {
			trials++
			table.Merge(now, "b", crashed(int64(100+second), now, version, "bad"))
		}
	}
	if trials > 3 {
		t.Errorf("%d trials in 90 s", trials)
	}
}
