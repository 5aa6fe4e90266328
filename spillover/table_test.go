package spillover

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

func view(domain string, used, reports float64) View {
	return View{Domain: domain, Targets: 8, Capacity: 80, Time: 1, Used: used, Reports: reports}
}

// counts holds how many of the requests of one second went where.
type counts struct {
	sent    map[string]int // by domain, "" for the own one
	reasons map[Reason]int
	share   float64
}

// second decides on 100 requests in one second.
func second(t *Table, now *time.Time, random *rand.Rand, crossing float64, own View, others ...View) counts {
	c := counts{map[string]int{}, map[Reason]int{}, 0}
	for range 100 {
		*now = now.Add(10 * time.Millisecond)
		d := t.Decide(*now, "s", crossing, random.Float64(), &own, others)
		c.sent[d.Domain]++
		c.reasons[d.Reason]++
		c.share = d.Share
	}
	return c
}

func TestDecide(t *testing.T) {
	short, long := Crossing(400), Crossing(6000)
	play := func(seconds int, crossing float64, own View, others ...View) counts {
		table, now, random := NewTable(), start, rand.New(rand.NewPCG(1, 2))
		var c counts
		for range seconds {
			c = second(table, &now, random, crossing, own, others...)
		}
		return c
	}
	Convey("Requests stay while the own domain has room, even if another one is idle", t, func() {
		c := play(10, short, view("a", 0.8, 5), view("b", 0.1, 5))
		So(c.sent[""], ShouldEqual, 100)
	})
	Convey("A part leaves a full domain, to another one with room, and more of a fuller one", t, func() {
		full := play(10, short, view("a", 1.1, 5), view("b", 0.4, 5), view("c", 1.1, 5))
		So(full.sent["b"], ShouldBeBetween, 5, 50)
		So(full.sent["c"], ShouldEqual, 0)
		fuller := play(10, short, view("a", 1.3, 5), view("b", 0.4, 5))
		So(fuller.sent["b"], ShouldBeGreaterThan, full.sent["b"])
	})
	Convey("Requests with long messages leave later than those with short ones", t, func() {
		So(play(10, long, view("a", 1.1, 5), view("b", 0.4, 5)).sent["b"], ShouldEqual, 0)
		So(play(10, short, view("a", 1.1, 5), view("b", 0.4, 5)).sent["b"], ShouldBeGreaterThan, 0)
	})
	Convey("Domains that are as full don't attract", t, func() {
		c := play(10, short, view("a", 1.4, 5), view("b", 1.4, 5), view("c", 1.3, 5))
		So(c.sent[""], ShouldEqual, 100)
	})
	Convey("The share grows over a second, and falls when room returns", t, func() {
		table, now, random := NewTable(), start, rand.New(rand.NewPCG(1, 2))
		own, other := view("a", 1.3, 5), view("b", 0.4, 5)
		d := table.Decide(now, "s", short, 0, &own, []View{other})
		So(d.Share, ShouldEqual, 0)
		now = now.Add(100 * time.Millisecond)
		So(table.Decide(now, "s", short, 0.99, &own, []View{other}).Share, ShouldBeLessThan, 0.2)
		So(second(table, &now, random, short, own, other).share, ShouldBeGreaterThan, 0.2)
		for range 3 {
			second(table, &now, random, short, view("a", 0.7, 5), other)
		}
		So(second(table, &now, random, short, view("a", 0.7, 5), other).sent[""], ShouldEqual, 100)
	})
	Convey("All leave a domain without targets at once, in proportion to capacity, and return gradually", t, func() {
		table, now, random := NewTable(), start, rand.New(rand.NewPCG(1, 2))
		small, large := view("b", 0.4, 5), view("c", 0.4, 5)
		small.Capacity = 20
		c := second(table, &now, random, short, View{Domain: "a"}, small, large)
		So(c.sent[""], ShouldEqual, 0)
		So(c.reasons[OwnGone], ShouldEqual, 100)
		So(c.sent["c"], ShouldBeGreaterThan, 2*c.sent["b"])
		own := view("a", 0.2, 5)
		So(second(table, &now, random, short, own, small, large).sent[""], ShouldBeBetween, 20, 90)
		second(table, &now, random, short, own, small, large)
		So(second(table, &now, random, short, own, small, large).sent[""], ShouldEqual, 100)
	})
	Convey("A request without any target stays", t, func() {
		So(play(1, short, View{Domain: "a"}, View{Domain: "b"}).sent[""], ShouldEqual, 100)
		So(play(1, short, View{Domain: "a"}).sent[""], ShouldEqual, 100)
	})
	Convey("A full domain sends few probes to domains that it knows nothing of", t, func() {
		table, now, random, probes := NewTable(), start, rand.New(rand.NewPCG(1, 2)), 0
		for range 60 {
			c := second(table, &now, random, short, view("a", 1.4, 5), view("b", 0, 0), view("c", 0, 0))
			So(c.reasons[OwnFull], ShouldEqual, 0)
			probes += c.reasons[Probe]
		}
		So(probes, ShouldBeBetween, 5, 15)
	})
	Convey("Without reports of its own domain a node changes nothing", t, func() {
		So(play(10, short, view("a", 0, 0), view("b", 0, 5)).sent[""], ShouldEqual, 100)
	})
}

// Guards against requests that are refused for a full domain while there is room elsewhere, and
// against requests that are admitted while there is none.
func TestRelief(t *testing.T) {
	relief := func(own View, others ...View) (float64, bool) {
		table, now, random := NewTable(), start, rand.New(rand.NewPCG(1, 2))
		for range 5 {
			second(table, &now, random, Crossing(400), own, others...)
		}
		if _, late := table.Relief(now.Add(2*reliefMaxAge), "s"); late {
			t.Error("a gain that no request has renewed still counts")
		}
		return table.Relief(now, "s")
	}
	Convey("Beside a full domain, the least full one that requests leave for counts", t, func() {
		used, ok := relief(view("a", 1.2, 5), view("b", 0.6, 5), view("c", 0.3, 5))
		So(ok, ShouldBeTrue)
		So(used, ShouldAlmostEqual, 0.3+remoteMargin, 1e-9)
	})
	Convey("There is none where the own domain has room, or the others have none", t, func() {
		_, ok := relief(view("a", 0.8, 5), view("b", 0.2, 5))
		So(ok, ShouldBeFalse)
		_, ok = relief(view("a", 1.3, 5), view("b", 1.3, 5))
		So(ok, ShouldBeFalse)
		_, ok = NewTable().Relief(start, "s")
		So(ok, ShouldBeFalse)
	})
}

func TestStatuses(t *testing.T) {
	Convey("A change is reported once, and not while the share varies", t, func() {
		table, now, random := NewTable(), start, rand.New(rand.NewPCG(1, 2))
		other, reports := view("b", 0.4, 5), 0
		for i := range 60 {
			own := view("a", 0.7, 5)
			if i >= 10 && i < 40 {
				own.Used = 1.15 + 0.15*float64(i%3)
			}
			second(table, &now, random, Crossing(400), own, other)
			for _, change := range table.Changes(now) {
				reports++
				So(change.Service, ShouldEqual, "s")
				So(change.Leaving, ShouldEqual, i < 40)
			}
		}
		So(reports, ShouldEqual, 2)
	})
	Convey("The share of a service without requests falls, and unlisted services are pruned", t, func() {
		table, now, random := NewTable(), start, rand.New(rand.NewPCG(1, 2))
		for range 5 {
			second(table, &now, random, Crossing(400), View{Domain: "a"}, view("b", 0.4, 5))
		}
		So(table.Statuses(now)[0].Share, ShouldBeGreaterThan, 0.8)
		So(table.Statuses(now.Add(20 * time.Second))[0].Share, ShouldBeLessThan, 0.01)
		table.RetainServices(map[string]bool{"t": true})
		So(table.Statuses(now), ShouldBeEmpty)
	})
	Convey("The services that state is kept of are bounded", t, func() {
		table, own := NewTable(), view("a", 0.5, 5)
		for i := range maxServices + 10 {
			table.Decide(start, string(rune(i+1000)), 1, 0, &own, nil)
		}
		So(table.Statuses(start), ShouldHaveLength, maxServices)
	})
}
