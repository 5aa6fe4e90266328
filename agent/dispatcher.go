package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/agent/link"
	"github.com/gypsumford/gypsumford/agent/metrics"
	"github.com/gypsumford/gypsumford/attempt"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/routing"
	"github.com/gypsumford/gypsumford/timeline"
)

const (
	// replyGrace is how long after a call's deadline its sender waits for the refusal
	// that the other node sends at the deadline.
	replyGrace = 50 * time.Millisecond
	// noTargetRetryAfter is the retry-after delay of calls that find no target.
	noTargetRetryAfter = 500 * time.Millisecond
)

// dispatcher sends a call to a target of its service and retries at other targets
// where that is allowed, until the call completes or no retry is possible.
type dispatcher struct {
	self     fleet.InstanceID
	now      func() time.Time
	config   *currentConfig
	routes   *routeTable
	levels   *levelTable
	attempts *attemptTable
	link     *link.Link
	local    *delivery
	ring     *ringTable
	metrics  *metrics.Set
	// quarantines tells which calls are suspected to crash targets.
	quarantines *quarantines
	// unreachable is called for an instance to which no connection could be made.
	unreachable func(fleet.InstanceID)
}

// tryState is the state of one call in the dispatcher. A try sends the call to one
// target with a part of its grant, which pays for the child calls of the try too.
type tryState struct {
	request   *exchange.Request
	op        *inventory.Operation
	prefer    fleet.InstanceID
	allowance attempt.Allowance
	granted   int // attempts that were granted in total
	wasted    int // attempts of tries whose reply was lost or not needed
	excluded  []fleet.InstanceID
	tries     int  // a call and its hedge count as one
	lost      bool // a target got the call and did not respond
}

// dispatch serves the call within its grant and within the context's deadline, or
// the call's deadline if the context has none. The reply's Unspent is the rest of
// the grant.
func (d *dispatcher) dispatch(ctx context.Context, r *exchange.Request, op *inventory.Operation, prefer fleet.InstanceID) *exchange.Reply {
	ctx, cancel := withDeadline(ctx, r.Call.Deadline.Add(replyGrace))
	t := &tryState{request: r, op: op, prefer: prefer, allowance: attempt.NewAllowance(r.Call.Grant), granted: r.Call.Grant}
	reply := d.tryUntilDone(ctx, t)
	reply.Unspent = t.allowance.Left()
	if reply.Outcome == call.Completed {
		d.attempts.completed(d.now(), &r.Call, t.granted-t.wasted-reply.Unspent, d.config.get().inventory.Retry.BudgetPercent)
		reply.Body = notifyOnEnd(reply.Body, cancel)
		return reply
	}
	cancel()
	if t.lost && reply.Outcome == call.NotRun {
		return asUnknown(reply)
	}
	return reply
}

// withDeadline adds the deadline to a context that has none.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// asUnknown turns the refusal of a later try into an unknown outcome, because a
// target got the call in an earlier try and did not respond.
func asUnknown(refusal *exchange.Reply) *exchange.Reply {
	reply := exchange.Lost()
	reply.Level = refusal.Level
	reply.Unspent = refusal.Unspent
	return reply
}

func (d *dispatcher) tryUntilDone(ctx context.Context, t *tryState) *exchange.Reply {
	for {
		t.tries++
		reply := d.tryHedged(ctx, t)
		if reply.Outcome == call.Completed || !d.mayRetry(ctx, t, reply) || !t.refill() {
			return reply
		}
		t.excluded = append(t.excluded, reply.Node)
		d.metrics.Retries.Add(retryLabel(reply), 1)
		d.ring.recordCall(timeline.Retried, &t.request.Call, d.className(t), retryLabel(reply))
		if !d.backOff(ctx, t) {
			return reply
		}
	}
}

// mayRetry reports whether the call may be retried after the reply.
func (d *dispatcher) mayRetry(ctx context.Context, t *tryState, reply *exchange.Reply) bool {
	retry := d.config.get().inventory.Retry
	if t.tries >= retry.MaxPerCall || ctx.Err() != nil {
		return false
	}
	if reply.Outcome == call.Unknown && !t.op.Repeatable {
		return false
	}
	switch reply.Reason {
	case call.ReasonDeadline, call.ReasonAttempts, call.ReasonCancelled,
		call.ReasonUnknownOperation, call.ReasonQuarantined:
		return false // another target would refuse it too
	}
	if reply.ConnectFailed || reply.Draining {
		return true // no target worked on the call, so the retry budget is not charged
	}
	if reply.Reason == call.ReasonOverload && !reply.Level.Admits(t.request.Call.Priority()) {
		return false // the levels of other targets are similar
	}
	if reply.Reason == call.ReasonNoTarget {
		return false
	}
	return d.attempts.tryRetry(d.now(), t.request.Call.Service, retry.BudgetPercent)
}

// backOff waits before a retry: not before the first one, then with exponential
// backoff, with the request's rank as jitter. It returns false if the context ends
// first.
func (d *dispatcher) backOff(ctx context.Context, t *tryState) bool {
	if t.tries == 1 {
		return true
	}
	retry := d.config.get().inventory.Retry
	wait := min(retry.BackoffMin<<min(t.tries-2, 16), retry.BackoffMax)
	jitter := float64(t.request.Call.Rank) / call.RankCount
	wait = time.Duration(float64(wait) * (0.5 + 0.5*jitter))
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryHedged makes one try, and a second one in parallel if the first is slow and the
// operation may be hedged.
func (d *dispatcher) tryHedged(ctx context.Context, t *tryState) *exchange.Reply {
	after, ok := d.hedgeAfter(t)
	if !ok {
		return d.tryOnce(ctx, t, t.allowance.Take(d.tryGrant(t)))
	}
	return d.hedge(ctx, t, after)
}

// hedgeAfter returns the time after which a second try may be sent in parallel. The
// grant must suffice for both tries, because each gets half of it.
func (d *dispatcher) hedgeAfter(t *tryState) (time.Duration, bool) {
	if !t.op.Repeatable || t.tries > 1 {
		return 0, false
	}
	need, known := d.attempts.need(t.request.Call.Service, t.request.Call.Operation)
	if !known || t.allowance.Left() < 2*need {
		return 0, false
	}
	return d.routes.hedgeAfter(d.now(), t.request.Call.Service, t.request.Call.Operation)
}

// tryGrant returns the attempts for the next try. A lost reply costs all attempts of
// its try, so a repeatable call gets half of the remaining ones if that covers the
// known need of its operation and the margin. Other calls get all of them. With less
// than need and margin, a need that was estimated too low could not grow.
func (d *dispatcher) tryGrant(t *tryState) int {
	left := t.allowance.Left()
	half := (left + 1) / 2
	if t.op.Repeatable && d.attempts.suffices(&t.request.Call, half) {
		return half
	}
	return left
}

// refill takes attempts for a retry from the parent call if none are left. It reports
// whether there are any.
func (t *tryState) refill() bool {
	if t.allowance.Left() > 0 {
		return true
	}
	if t.request.MoreAttempts == nil {
		return false
	}
	more := t.request.MoreAttempts()
	t.granted += more
	t.allowance = attempt.NewAllowance(more)
	return more > 0
}

// tryOnce chooses an instance and sends the call to it with the given attempts.
func (d *dispatcher) tryOnce(ctx context.Context, t *tryState, grant int) *exchange.Reply {
	if grant == 0 {
		return exchange.Refuse(call.ReasonAttempts, 0, 0)
	}
	restricted, refusal := d.quarantines.exclude(t.request, grant)
	if refusal != nil {
		t.allowance.Return(grant)
		return refusal
	}
	chosen, ok := d.choose(t, slices.Concat(t.excluded, restricted))
	if !ok {
		t.allowance.Return(grant)
		return exchange.Refuse(call.ReasonNoTarget, noTargetRetryAfter, grant)
	}
	reply := d.send(ctx, t.request, chosen, grant)
	t.allowance.Return(reply.Unspent)
	t.recordLost(reply, grant)
	return reply
}

// recordLost records a try that a target got and did not respond to.
func (t *tryState) recordLost(reply *exchange.Reply, grant int) {
	if reply.Outcome != call.Unknown {
		return
	}
	t.lost = true
	t.wasted += grant - reply.Unspent
}

// choose chooses an instance and records that a call is sent to it. send must follow.
func (d *dispatcher) choose(t *tryState, excluded []fleet.InstanceID) (fleet.Instance, bool) {
	options := routing.ChooseOptions{Exclude: excluded, Operation: t.request.Call.Operation, Prefer: t.prefer}
	return d.routes.begin(d.now(), t.request.Call.Service, options)
}

// send sends the call to the chosen instance and records the level and the load in
// its reply.
func (d *dispatcher) send(ctx context.Context, r *exchange.Request, chosen fleet.Instance, grant int) *exchange.Reply {
	sent := *r
	sent.Call.Grant = grant
	d.ring.recordCall(timeline.Sent, &sent.Call, d.config.get().className(sent.Call.Class), string(chosen.ID))
	start := d.now()
	reply := d.deliver(ctx, chosen, &sent)
	end := d.now()
	reply.Node = chosen.ID
	d.levels.observe(end, &sent.Call, reply.Level)
	d.routes.end(end, chosen.ID, sample(ctx, &sent.Call, reply, end.Sub(start)))
	if reply.ConnectFailed {
		d.unreachable(chosen.ID)
	}
	return reply
}

// deliver passes the call to the local delivery, or sends it to the node of another
// instance.
func (d *dispatcher) deliver(ctx context.Context, to fleet.Instance, r *exchange.Request) *exchange.Reply {
	if to.ID == d.self {
		return d.local.serve(ctx, r)
	}
	reply := d.link.Peer(ctx, to, link.DeliverPath, r, d.ring.lamport())
	d.ring.observe(reply.Lamport)
	return reply
}

func sample(ctx context.Context, c *call.Call, reply *exchange.Reply, latency time.Duration) routing.Sample {
	s := routing.Sample{
		Operation: c.Operation, Cancelled: errors.Is(ctx.Err(), context.Canceled),
		Latency: latency, Outcome: reply.Outcome, Reason: reply.Reason,
		ConnectFailed: reply.ConnectFailed,
	}
	s.Feedback.Draining = reply.Draining
	if reply.HasLoad {
		s.Feedback.Running = reply.Load.Running
		s.Feedback.Limit = reply.Load.Limit
		s.Feedback.Queued = reply.Load.Queued
	}
	return s
}

func retryLabel(reply *exchange.Reply) string {
	if reply.Outcome == call.Unknown {
		return reply.Outcome.String()
	}
	return reply.Reason.String()
}

func (d *dispatcher) className(t *tryState) string {
	return d.config.get().className(t.request.Call.Class)
}
