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

func TestHedgeWaitsForTheBetterResponse(t *testing.T) {
	newReply := func(outcome call.Outcome, status int) *exchange.Reply {
		body := io.NopCloser(strings.NewReader(""))
		return &exchange.Reply{Outcome: outcome, Status: status, Unspent: 1, Body: body}
	}
	run := func(first, second *exchange.Reply) (*exchange.Reply, int) {
		allowance := attempt.NewAllowance(6)
		allowance.Take(6)
		state := &tryState{allowance: allowance}
		a := &hedgeTry{cancel: func() {}, reply: first}
		b := &hedgeTry{cancel: func() {}, reply: second}
		done := make(chan *hedgeTry, 2)
		done <- b // the second try ends first
		done <- a
		return firstComplete(state, a, b, done), state.allowance.Left()
	}
	complete := newReply(call.Completed, http.StatusOK)
	failed := newReply(call.Completed, http.StatusBadGateway)
	refused := newReply(call.NotRun, 0)
	Convey("A response with a server error doesn't end the other try", t, func() {
		reply, left := run(complete, failed)
		So(reply, ShouldEqual, complete)
		So(left, ShouldEqual, 2)
	})
	Convey("A response with a server error is returned if the other try does not complete", t, func() {
		reply, left := run(refused, failed)
		So(reply, ShouldEqual, failed)
		So(left, ShouldEqual, 2)
	})
	Convey("A refusal doesn't end the other try either", t, func() {
		reply, _ := run(complete, refused)
		So(reply, ShouldEqual, complete)
	})
}

func TestTryGrantIncludesTheMarginOfTheNeed(t *testing.T) {
	Convey("A try gets the known need with its margin, so that a need that was estimated too low can grow", t, func() {
		attempts := newAttemptTable()
		attempts.needs.Observe("stock", "count", 1)
		d := &dispatcher{attempts: attempts}
		request := &exchange.Request{Call: call.Call{Service: "stock", Operation: "count"}}
		share := func(grant int) int {
			return d.tryGrant(&tryState{request: request, op: &inventory.Operation{Repeatable: true}, allowance: attempt.NewAllowance(grant)})
		}
		So(share(2), ShouldEqual, 2)
		So(share(4), ShouldEqual, 2)
		So(share(16), ShouldEqual, 8)
	})
}
