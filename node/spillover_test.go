package node

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/balance"
	"github.com/gypsumford/gypsumford/node/egress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
	"github.com/gypsumford/gypsumford/spillover"
)

// Guards against requests that leave without a trace in log and metrics, and against metrics of
// services that are gone.
func TestLeavingTheDomainIsReported(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("A domain without targets", t, func() {
		var lines []string
		log := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
		s := &Settings{Domain: "a"}
		tables, m := newTables(s, 0), newMetrics()
		d := newDomains(s, tables, decisionLog{log}, m)
		elsewhere := []*roster.Record{{Instance: "n", Domain: "b", Target: roster.Target{ID: "t", Service: "s", Slots: 4}}}
		for range 3 {
			now = now.Add(time.Second)
			choice, ok := tables.mu.balance.Choose(now, balance.Request{Route: "r", Service: "s"}, elsewhere, nil)
			So(ok, ShouldBeTrue)
			d.sent("s", &choice)
			d.ended("s", &choice, 500)
			d.logChanges(now)
		}
		So(m.domainRequests.String(), ShouldEqual, `{"s/own-gone": 3}`)
		So(m.domainBytes.String(), ShouldEqual, `{"s": 1500}`)
		So(m.domainShares.Get("s").String(), ShouldNotEqual, "0")
		So(lines, ShouldHaveLength, 1)
		So(lines[0], ShouldContainSubstring, "requests leave the failure domain")
		d.retainServices(&route.Configuration{})
		So(m.domainShares.String(), ShouldEqual, "{}")
	})
	Convey("With the fixed factor requests are counted, too", t, func() {
		s := &Settings{Domain: "a", WithoutSpillover: true}
		m := newMetrics()
		d := newDomains(s, newTables(s, 0), decisionLog{logr.Discard()}, m)
		d.sent("s", &balance.Choice{Record: &roster.Record{Domain: "b"}})
		d.logChanges(now)
		d.retainServices(&route.Configuration{})
		So(m.domainRequests.String(), ShouldEqual, `{"s/stay": 1}`)
	})
}

// Guards against requests that are refused at the entry although they may leave for a domain
// with room.
func TestPressuresOfAFullDomainAreRelieved(t *testing.T) {
	Convey("Pressures of the own domain are lowered to those of the domain that requests leave for", t, func() {
		now, s := time.Unix(1000, 0), &Settings{Domain: "a"}
		tables := newTables(s, 0)
		d := newDomains(s, tables, decisionLog{logr.Discard()}, newMetrics())
		own, other := spillover.View{Domain: "a", Targets: 2, Capacity: 20, Time: 1, Used: 1.4, Reports: 2},
			spillover.View{Domain: "b", Targets: 2, Capacity: 20, Time: 1, Used: 0.4, Reports: 2}
		reply := func() *link.Reply {
			return &link.Reply{Views: []link.ServiceView{{Service: "s", Pressures: []byte{10, 70}}, {Service: "deeper", Pressures: []byte{90}}}}
		}
		relieved := func(domain string) []link.ServiceView {
			r := reply()
			d.relieve(now, "s", &balance.Choice{Record: &roster.Record{Domain: domain}}, r)
			return r.Views
		}
		So(relieved("a"), ShouldResemble, reply().Views)
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			d.table.Decide(now, "s", 1.4, 1, &own, []spillover.View{other})
		}
		views := relieved("a")
		So(views[0].Pressures, ShouldResemble, []byte{10, 25})
		So(views[1].Pressures, ShouldResemble, []byte{90})
		So(relieved("b"), ShouldResemble, reply().Views)
	})
}

// Guards against a figure of one target that is used for the next one, and against bad figures
// that aren't counted or flood the log.
func TestSpeedOfTheLocalTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	var lines []string
	speed := newTargetLoad()
	speed.log = decisionLog{funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})}
	speed.metrics = newMetrics()
	respond := func(target *roster.Target, took time.Duration, load egress.TargetLoad) link.Load {
		now = now.Add(50 * time.Millisecond)
		speed.observe(now, target, "r", took, &egress.Response{Status: 200, Fields: egress.ResponseFields{Load: load}})
		var reported link.Load
		speed.describe(now, "r", &reported)
		return reported
	}
	first, second := &roster.Target{ID: "t1", Born: 1}, &roster.Target{ID: "t2", Born: 2}
	Convey("Replies report the time that the target takes, and its slowdown", t, func() {
		So(respond(first, 30*time.Millisecond, egress.TargetLoad{}), ShouldResemble, link.Load{ServiceTime: 300})
		So(respond(first, 30*time.Millisecond, egress.TargetLoad{Slowdown: 1.5}).Slowdown, ShouldEqual, 150)
		So(respond(second, 50*time.Millisecond, egress.TargetLoad{}), ShouldResemble, link.Load{ServiceTime: 500})
	})
	Convey("Failures and refusals say nothing about it", t, func() {
		speed.observe(now, second, "r", time.Microsecond, &egress.Response{Status: 500})
		speed.observe(now, second, "r", time.Microsecond, nil)
		So(respond(second, 50*time.Millisecond, egress.TargetLoad{}).ServiceTime, ShouldEqual, 500)
	})
	Convey("What can't be read is counted, and logged now and then", t, func() {
		for range 20 {
			respond(second, 50*time.Millisecond, egress.TargetLoad{Invalid: errUnsigned})
		}
		So(speed.metrics.invalidLoads.Value(), ShouldEqual, 20)
		So(lines, ShouldHaveLength, 1)
	})
}
