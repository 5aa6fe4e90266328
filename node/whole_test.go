package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/retrybudget"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

var budgetSettings = Settings{
	Name: "n0", Service: "front", RetryBudget: retrybudget.Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
}

// Guards against retries that are counted as requests, and so raise the number of retries that
// are allowed: those of calls that a repeated run makes again, and calls that never reach the
// target.
func TestRetryLedgerCountsArrivals(t *testing.T) {
	newLedger := func(now *time.Time) *retryLedger {
		tables := newTables(&budgetSettings, 0)
		tables.mu.allKnown = true
		for i := range 10 {
			tables.mu.roster.Update(roster.Record{Instance: fmt.Sprint("n", i), Incarnation: 1, Target: roster.Target{ID: fmt.Sprint("t", i), Service: "front"}})
		}
		return newRetryLedger(&budgetSettings, tables, func() time.Time { return *now })
	}
	granted := func(l *retryLedger) (granted int) {
		for range 200 {
			if _, allowed := l.begin(&link.Call{Retry: true}); allowed {
				granted++
			}
		}
		return granted
	}
	Convey("Retries need requests or a part of the slack, of which a new process has a quarter for a window", t, func() {
		now := time.Unix(1000, 0)
		l := newLedger(&now)
		So(granted(l), ShouldEqual, 0)
		now = now.Add(21 * time.Second)
		So(granted(l), ShouldBeBetweenOrEqual, 2, 4)
	})
	Convey("Requests allow retries; calls of repeated runs use them up, and are not refused", t, func() {
		now := time.Unix(1000, 0)
		l := newLedger(&now)
		for range 400 {
			l.begin(&link.Call{})
		}
		for range 30 {
			_, allowed := l.begin(&link.Call{Repeated: true})
			So(allowed, ShouldBeTrue)
		}
		So(granted(l), ShouldBeBetween, 5, 20)
	})
	Convey("What doesn't reach the target is not counted", t, func() {
		now := time.Unix(1000, 0)
		l := newLedger(&now)
		for range 400 {
			at, _ := l.begin(&link.Call{})
			now = now.Add(time.Millisecond)
			l.cancel(&link.Call{}, at)
		}
		So(granted(l), ShouldEqual, 0)
	})
}

// Guards against work in vain: requests whose calls a deeper service rejects were admitted
// though the retries suffice for few of them.
func TestEntryRefusesWhatRetriesDontCarry(t *testing.T) {
	now := time.Unix(1000, 0)
	settings := budgetSettings
	newDispatcher := func() *dispatcher {
		clock := func() time.Time { return now }
		d := &dispatcher{settings: &settings, now: clock, tables: newTables(&settings, 0), metrics: newMetrics(), whole: newWholeRequests(&settings, clock)}
		d.tables.mu.costs.Record(now, "order", []loadshed.ServiceCost{{Service: "front", Requests: 1}, {Service: "deep", Requests: 8}})
		d.tables.mu.costs.Record(now, "check", []loadshed.ServiceCost{{Service: "deep", Requests: 1}})
		return d
	}
	// serve returns how many of the requests of a route are admitted.
	pressure := 1.0 // of the service above the one that rejects
	serve := func(d *dispatcher, name, service string, rejected float64) (admitted int) {
		for i := range 1000 {
			now = now.Add(10 * time.Millisecond)
			views := []link.ServiceView{{Service: "deep", Rejected: rejected, RejectedAge: 5 * time.Millisecond}}
			d.whole.observeReply(now, "front", &link.Reply{Outcome: link.OutcomeResponded, Arrived: true, Status: http.StatusOK, Views: views})
			d.tables.mu.shed.Observe(now, "front", now, loadshed.Uniform(pressure), loadshed.Direct)
			r := &request{Request: &ingress.Request{}, route: &route.Route{Name: name}, service: service, rank: uint8(i * 37)}
			decision := loadshed.Decision{Admit: true}
			d.admitWhole(now, r, &decision)
			if decision.Admit {
				admitted++
			}
		}
		return admitted
	}
	Convey("While nothing is rejected all are admitted, and then as many as the ratio carries", t, func() {
		d := newDispatcher()
		So(serve(d, "order", "front", 0), ShouldEqual, 1000)
		// 8 calls need 9.8 retries; 1.52 to 1.9 of them are allowed for each request before.
		So(serve(d, "order", "front", 0.55), ShouldBeBetween, 130, 260)
		So(d.metrics.refusedRetries.Get("deep").String(), ShouldNotEqual, "0")
	})
	Convey("All are admitted while the service above has room for work in vain", t, func() {
		pressure = 0.5
		defer func() { pressure = 1.0 }()
		So(serve(newDispatcher(), "order", "front", 0.55), ShouldEqual, 1000)
	})
	Convey("A request that the service itself may accept at once is sent in any case", t, func() {
		So(serve(newDispatcher(), "check", "deep", 0.55), ShouldEqual, 1000)
	})
	Convey("A node of an earlier build doesn't count retries, so the sender does", t, func() {
		d := newDispatcher()
		r := &request{Request: &ingress.Request{}, route: &route.Route{Name: "check"}, service: "deep", arrivals: 1}
		So(d.mayRetry(now, r, "n1"), ShouldBeFalse)
		d.whole.observeNode("n1", &link.Reply{CountsRetries: true})
		So(d.mayRetry(now, r, "n1"), ShouldBeTrue)
		d.whole.observeNode("n1", &link.Reply{})
		So(d.mayRetry(now, r, "n1"), ShouldBeFalse)
	})
}
