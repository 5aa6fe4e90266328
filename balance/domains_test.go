package balance

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/spillover"
)

// withSpillover returns the scenario with package spillover in use.
func withSpillover(s scenario) scenario {
	s.newTable = func(domain string, seed uint64) *Table {
		table := NewSeededTable(domain, seed)
		table.UseSpillover(spillover.NewTable())
		return table
	}
	return s
}

// uneven returns a scenario whose entries in domain a send for the share a of what a domain's
// targets nominally complete, and those in the other domains for the share others.
func uneven(seed uint64, a, others float64) scenario {
	s := steady(seed, mixed, 1)
	base := s.rate("a", 0)
	s.rate = func(domain string, _ float64) float64 {
		if domain == "a" {
			return base * a
		}
		return base * others
	}
	return s
}

// domainScenarios returns scenarios whose failure domains differ in load.
func domainScenarios(seed uint64) map[string]scenario {
	list := map[string]scenario{
		"calm": uneven(seed, .55, .55), "usual70": uneven(seed, .65, .65), "full-all": uneven(seed, 1.2, 1.2),
		"uneven": uneven(seed, 1.1, .3), "uneven2": uneven(seed, 1.4, .3), "uneven3": uneven(seed, .9, .55), "otherfull": uneven(seed, 1.1, 1),
	}
	gone := uneven(seed, .4, .4)
	gone.gone = func(target int, t float64) bool { return target < 8 && t > 8 && t < 15 }
	list["gone"] = gone
	few := uneven(seed, .5, .5)
	few.entries = map[string]int{"a": 4, "b": 28, "c": 28}
	few.targets = map[string]int{"a": 12, "b": 6, "c": 6}
	list["few-entries"] = few
	pulse := uneven(seed, .5, .3)
	base := pulse.rate("a", 0)
	pulse.rate = func(d string, t float64) float64 {
		if d == "a" && int(t)%10 < 5 {
			return 2.6 * base
		}
		if d == "a" {
			return base
		}
		return .6 * base
	}
	list["pulse"] = pulse
	return list
}

// leavingShare returns the mean share of the sends in the domain that leave it, and its
// standard deviation, over the seconds from one to another.
func (f *fleet) leavingShare(domain string, from, to int) (mean, deviation float64) {
	squares := 0.0
	for _, second := range f.perSecond[from:to] {
		share := second.remote[domain] / max(second.sends[domain], 1) / float64(to-from)
		mean += share
		squares += share * share * float64(to-from)
	}
	return mean, math.Sqrt(max(squares-mean*mean, 0))
}

// Guards against requests that stay in a full domain, against exchange between domains that are
// alike, against swings and against traffic to domains that are full. The figures in comments
// are served and remote with a fixed factor in place of package spillover, seed 1.
func TestDomainsShareTheirTargets(t *testing.T) {
	for _, bound := range []struct {
		name                      string
		served                    float64 // least share
		remote, remoteOfA, swings float64 // most
	}{
		{"calm", 0.99, 0.01, 0.03, 0.04},        // 0.997, 0.000
		{"usual70", 0.975, 0.05, 0.12, 0.08},    // 0.989, 0.002
		{"full-all", 0.33, 0.02, 0.02, 0.02},    // 0.357, 0.670
		{"otherfull", 0.4, 0.02, 0.02, 0.02},    // 0.428, 0.755
		{"uneven", 0.97, 0.33, 0.55, 0.2},       // 0.916, 0.248
		{"uneven2", 0.93, 0.45, 0.65, 0.2},      // 0.915, 0.361
		{"uneven3", 0.96, 0.2, 0.45, 0.2},       // 0.943, 0.109
		{"pulse", 0.93, 0.35, 0.6, 0.35},        // 0.941, 0.184
		{"few-entries", 0.97, 0.35, 0.01, 0.01}, // 0.860, 0.275
	} {
		Convey(bound.name, t, func() {
			f := play(withSpillover(domainScenarios(2)[bound.name]))
			share, deviation := f.leavingShare("a", 8, int(f.s.seconds))
			Printf("%v; of a %.3f, deviation %.3f\n", f, share, deviation)
			So(float64(f.served)/float64(f.served+f.refused), ShouldBeGreaterThan, bound.served)
			So(float64(f.remote)/float64(f.served+f.refused), ShouldBeLessThan, bound.remote)
			So(share, ShouldBeLessThan, bound.remoteOfA)
			So(deviation, ShouldBeLessThan, bound.swings)
		})
	}
	// As in a node, where admission is decided first. With the fixed factor entries refuse
	// requests before any leave: 0.721, 0.608, 0.735 and 0.560 are served.
	for _, bound := range []struct {
		name           string
		served, remote float64
	}{{"uneven", 0.94, 0.33}, {"uneven2", 0.9, 0.42}, {"few-entries", 0.85, 0.25}, {"full-all", 0.53, 0.03}} {
		Convey(bound.name+", with admission at the entries", t, func() {
			s := withSpillover(domainScenarios(2)[bound.name])
			s.admission = true
			f := play(s)
			Println(f)
			So(float64(f.served)/float64(f.served+f.refused), ShouldBeGreaterThan, bound.served)
			So(float64(f.remote)/float64(f.served+f.refused), ShouldBeLessThan, bound.remote)
		})
	}
	Convey("While a domain has no target, its requests are served elsewhere, and they return gradually", t, func() {
		f := play(withSpillover(domainScenarios(2)["gone"]))
		Println(f)
		So(float64(f.served)/float64(f.served+f.refused), ShouldBeGreaterThan, 0.97) // 0.976
		during, _ := f.leavingShare("a", 10, 15)
		So(during, ShouldBeGreaterThan, 0.4) // the other sends try whether its targets can be reached
		after, _ := f.leavingShare("a", 20, 25)
		So(after, ShouldBeLessThan, 0.02)
	})
}

// Guards against an own domain that counts as gone because one request has tried its targets.
func TestRetriesDontChangeTheShare(t *testing.T) {
	Convey("After requests that had tried all targets of the domain, others stay there", t, func() {
		table, list := NewTable("a"), candidates("a", "b")
		table.UseSpillover(spillover.NewTable())
		for range 20 {
			choice, _ := table.Choose(start, Request{Route: "r", Service: "s"}, list, []string{"t0"})
			So(choice.Record.Target.ID, ShouldEqual, "t1")
			So(choice.Spillover.Reason, ShouldEqual, spillover.OwnTried)
			choice, _ = table.Choose(start, Request{Route: "r", Service: "s"}, list, nil)
			So(choice.Record.Target.ID, ShouldEqual, "t0")
		}
	})
}
