package node

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

// Guards against an explanation by other rules than those that requests are decided by.
func TestExplain(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Settings{Name: "n", Domain: "a"}
	n := &Node{settings: s, tables: newTables(s, 0), metrics: newMetrics(), now: func() time.Time { return now }}
	n.domains = newDomains(s, n.tables, decisionLog{logr.Discard()}, n.metrics)
	Convey("Without a configuration a request is refused", t, func() {
		So(n.explain("h", "/a", "", false).Refused, ShouldEqual, "no configuration is in force")
	})
	c := &route.Configuration{
		Version:  3,
		Accounts: []route.Account{{Name: "a17", Priority: 1, HasPriority: true, Keys: []route.KeyDigest{route.DigestOf("k")}}},
		Routes: []route.Route{
			{Name: "keyed", Host: "h", PathPrefix: "/a", Priority: 2, Destinations: []route.Destination{{Service: "s", Weight: 3}, {Service: "u", Weight: 1}}},
			{Name: "open", Host: "h", PathPrefix: "/b", Public: true, Destinations: []route.Destination{{Service: "s", Weight: 1}}},
		},
	}
	c.Index()
	n.tables.inForce.Store(c)
	for _, r := range []roster.Record{{Instance: "x", Domain: "a"}, {Instance: "y", Domain: "b"}, {Instance: "z", Domain: "a"}} {
		r.Incarnation, r.Target = 1, roster.Target{ID: "t-" + r.Instance, Service: "s", Slots: 4, State: roster.Ready}
		if r.Instance == "z" {
			r.Target.State = roster.Draining
		}
		n.tables.mu.roster.Update(r)
	}
	Convey("The key that a route needs is named, and places are shown all the same", t, func() {
		e := n.explain("h", "/a/1?q=2", "", false)
		So(e.Route, ShouldEqual, "keyed")
		So(e.Refused, ShouldEqual, "the route needs the key of an account")
		So(e.Services, ShouldHaveLength, 2)
		So(n.explain("h", "/a", "nobody", false).Refused, ShouldEqual, "no account has that name")
	})
	Convey("With the account, the request goes to the ready target in the domain", t, func() {
		e := n.explain("h", "/a", "a17", false)
		So(e.Refused, ShouldEqual, "")
		So(e.Account, ShouldEqual, "a17")
		So(e.Priority, ShouldEqual, c.PriorityOf(&c.Routes[0], &c.Accounts[0]))
		So(e.Services[0].Weight, ShouldEqual, 0.75)
		So(e.Services[0].Targets, ShouldHaveLength, 2)
		for _, target := range e.Services[0].Targets {
			So(target.Chance, ShouldEqual, map[string]float64{"t-x": 1, "t-y": 0}[target.Target])
		}
		So(e.Services[1].Targets, ShouldBeEmpty)
	})
	Convey("A public route needs no account, and a path without a route is named", t, func() {
		So(n.explain("h", "/b", "", false).Refused, ShouldEqual, "")
		So(n.explain("h", "/c", "", false).Refused, ShouldEqual, "no route matches")
	})
}
