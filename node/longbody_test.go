package node

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/balance"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

// Guards against a count of the bytes that leave the failure domain in which a long body counts for
// its first part only.
func TestBytesOfLongBodiesLeaveTheDomain(t *testing.T) {
	Convey("All parts of a request and its response are counted", t, func() {
		now := func() time.Time { return time.Unix(1000, 0) }
		s := &Settings{Domain: "a"}
		m := newMetrics()
		d := &dispatcher{settings: s, now: now, tables: newTables(s, 0), metrics: m, whole: newWholeRequests(s, now)}
		d.domains = newDomains(s, d.tables, decisionLog{logr.Discard()}, m)
		choice := balance.Choice{Record: &roster.Record{Instance: "n", Domain: "b", Target: roster.Target{ID: "t", Service: "s"}}}
		r := &request{
			Request: &ingress.Request{Body: make([]byte, 10), Rest: [][]byte{make([]byte, 200)}},
			route:   &route.Route{Name: "r"}, service: "s",
		}
		d.recordOutcome(r, choice, &link.Reply{Outcome: link.OutcomeResponded, Status: 200, Body: make([]byte, 3000), Rest: [][]byte{make([]byte, 40000)}})
		So(m.domainBytes.String(), ShouldEqual, `{"s": 43210}`)
	})
}
