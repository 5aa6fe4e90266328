package agent

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/agent/metrics"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/timeline"
)

// startingRetryAfter is the retry-after delay of calls to a node that is not ready,
// or whose membership table is not fresh.
const startingRetryAfter = 100 * time.Millisecond

// entry serves the calls of callers and the child calls of the local target.
type entry struct {
	now        func() time.Time
	config     *currentConfig
	ready      func() bool
	stopping   func() bool
	fresh      func() bool
	parents    *parentTable
	levels     *levelTable
	attempts   *attemptTable
	dispatcher *dispatcher
	ring       *ringTable
	metrics    *metrics.Set
}

// incoming is a call as it was received, before it is assigned to its root request.
type incoming struct {
	service, operation string
	fields             callhttp.Fields
	request            *exchange.Request // serve sets its Call
}

// serve serves one call and returns its reply.
func (e *entry) serve(ctx context.Context, in *incoming) *exchange.Reply {
	config := e.config.get()
	if in.fields.RequestID == "" {
		in.fields.RequestID = call.RequestID(uuid.NewString())
	}
	in.request.Call.Request = in.fields.RequestID
	if config == nil || !e.ready() {
		return e.recordReply(in, exchange.Refuse(call.ReasonStarting, startingRetryAfter, 0))
	}
	op := config.operation(in.service, in.operation)
	if op == nil {
		return e.recordReply(in, exchange.Refuse(call.ReasonUnknownOperation, 0, 0))
	}
	if in.fields.Parent != "" {
		return e.recordReply(in, e.serveChild(ctx, in, op))
	}
	return e.recordReply(in, e.serveRoot(ctx, in, op, config))
}

// serveRoot serves a root call, which begins a new request.
func (e *entry) serveRoot(ctx context.Context, in *incoming, op *inventory.Operation, config *configuration) *exchange.Reply {
	if e.stopping() {
		return exchange.Refuse(call.ReasonDraining, 0, 0)
	}
	if !e.fresh() {
		return exchange.Refuse(call.ReasonStarting, startingRetryAfter, 0)
	}
	timeout := in.fields.Timeout
	if timeout == 0 {
		timeout = op.Deadline
	}
	in.request.Call = call.Call{
		Request: in.fields.RequestID, Service: in.service, Operation: in.operation,
		Caller:   in.fields.Caller,
		Deadline: e.now().Add(timeout),
		Class:    op.Class, Rank: call.RankOf(in.fields.RequestID),
		Grant: config.inventory.AttemptBound(op),
	}
	return e.forward(ctx, in.request, op)
}

// serveChild serves a child call within the request of its parent call.
func (e *entry) serveChild(ctx context.Context, in *incoming, op *inventory.Operation) *exchange.Reply {
	parent := e.parents.find(in.fields.Parent)
	if parent == nil {
		return exchange.Refuse(call.ReasonAttempts, 0, 0)
	}
	now := e.now()
	child := parent.call
	child.Service, child.Operation = in.service, in.operation
	child.Depth++
	if timeout := in.fields.Timeout; timeout > 0 && now.Add(timeout).Before(child.Deadline) {
		child.Deadline = now.Add(timeout)
	}
	take := func() int {
		return parent.takeAttempts(func(left int) int { return e.attempts.share(in.service, in.operation, left) })
	}
	child.Grant = take()
	in.request.Call = child
	in.request.MoreAttempts = take
	if child.Grant == 0 || child.Depth > callhttp.MaxDepth {
		parent.returnAttempts(child.Grant, call.AdmitAll)
		return exchange.Refuse(call.ReasonAttempts, 0, 0)
	}
	reply := e.forward(ctx, in.request, op)
	parent.returnAttempts(reply.Unspent, reply.Level)
	return reply
}

// forward refuses root calls that a deeper service would refuse, and dispatches the
// other calls.
func (e *entry) forward(ctx context.Context, r *exchange.Request, op *inventory.Operation) *exchange.Reply {
	c := &r.Call
	e.ring.recordCall(timeline.Received, c, e.className(c), "")
	// A child call is refused only at the node of the called target, because its root
	// request has already cost work.
	verdict := e.levels.check(e.now(), c)
	if !verdict.Admit && c.Depth == 0 {
		reply := exchange.Refuse(call.ReasonOverload, verdict.RetryAfter, c.Grant)
		reply.Level = verdict.Level
		return reply
	}
	return e.dispatcher.dispatch(ctx, r, op, "")
}

// recordReply counts the reply and records a refusal on the timeline.
func (e *entry) recordReply(in *incoming, reply *exchange.Reply) *exchange.Reply {
	c := &in.request.Call
	class := e.className(c)
	if c.Service == "" {
		class = unranked
	}
	e.metrics.Entered.Add(class, 1)
	e.metrics.CountOutcome(class, reply.Outcome, reply.Reason)
	if reply.Outcome == call.NotRun {
		e.ring.record(timeline.Event{
			Kind: timeline.Refused, Request: in.fields.RequestID, Service: in.service,
			Operation: in.operation, Class: class, Detail: reply.Reason.String(),
		})
	}
	return reply
}

func (e *entry) className(c *call.Call) string { return e.config.get().className(c.Class) }
