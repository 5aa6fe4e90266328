package agent

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/attempt"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/inventory"
)

func TestHedgeWaitsForTheBetterAnswer(t *testing.T) {
	answer := func(outcome call.Outcome, status int) *exchange.Reply {
		body := io.NopCloser(strings.NewReader(""))
		return &exchange.Reply{Outcome: outcome, Status: status, Unspent: 1, Body: body}
	}
	run := func(first, second *exchange.Reply) (*exchange.Reply, int) {
		pot := attempt.NewAllowance(6)
		pot.Take(6)
		c := &trial{pot: pot}
		a := &hedgeTry{cancel: func() {}, reply: first}
		b := &hedgeTry{cancel: func() {}, reply: second}
		done := make(chan *hedgeTry, 2)
		done <- b // the second try ends first
		done <- a
		return firstComplete(c, a, b, done), c.pot.Left()
	}
	whole := answer(call.Completed, http.StatusOK)
	failed := answer(call.Completed, http.StatusBadGateway)
	refused := answer(call.NotRun, 0)
	Convey("A target's own failure doesn't end the other try", t, func() {
		reply, left := run(whole, failed)
		So(reply, ShouldEqual, whole)
		So(left, ShouldEqual, 2)
	})
	Convey("It is the answer if the other try does not complete", t, func() {
		reply, left := run(refused, failed)
		So(reply, ShouldEqual, failed)
		So(left, ShouldEqual, 2)
	})
	Convey("A refusal doesn't end the other try either", t, func() {
		reply, _ := run(whole, refused)
		So(reply, ShouldEqual, whole)
	})
}

func TestFirstTryLeavesRoomToLearn(t *testing.T) {
	Convey("A try is passed the known need with its margin, so that a need which is too low grows", t, func() {
		attempts := newAttemptTable()
		attempts.needs.Observe("stock", "count", 1)
		d := &dispatcher{attempts: attempts}
		request := &exchange.Request{Call: call.Call{Service: "stock", Operation: "count"}}
		share := func(grant int) int {
			return d.firstShare(&trial{request: request, op: &inventory.Operation{Repeatable: true}, pot: attempt.NewAllowance(grant)})
		}
		So(share(2), ShouldEqual, 2)
		So(share(4), ShouldEqual, 2)
		So(share(16), ShouldEqual, 8)
	})
}
