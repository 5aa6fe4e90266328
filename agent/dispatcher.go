package agent

import (
	"context"
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
	// answerGrace is how long past a call's deadline its sender waits for the
	// refusal that the other side sends at the deadline.
	answerGrace = 50 * time.Millisecond
	// noTargetRetryAfter is told to callers of a service without live targets.
	noTargetRetryAfter = 500 * time.Millisecond
)

// dispatcher sends a call to targets of its service, again where that is
// allowed, until it completes or must be given up.
type dispatcher struct {
	self     fleet.InstanceID
	now      func() time.Time
	config   *inForce
	routes   *routeTable
	levels   *levelTable
	attempts *attemptTable
	link     *link.Link
	local    *delivery
	ring     *ringTable
	metrics  *metrics.Set
	// unreachable is told of instances that took no connection.
	unreachable func(fleet.InstanceID)
}

// trial is one call on its way through the dispatcher.
type trial struct {
	request  *exchange.Request
	op       *inventory.Operation
	prefer   fleet.InstanceID
	pot      attempt.Allowance
	granted  int // attempts that the allowance has held in all
	wasted   int // attempts of tries whose answer was lost or not needed
	excluded []fleet.InstanceID
	tries    int
	lost     bool // a target was given the call and did not answer
}

// do serves the call within its grant, and within its deadline unless the
// context has one of its own. The reply's Unspent counts what is left of the
// grant.
func (d *dispatcher) do(ctx context.Context, r *exchange.Request, op *inventory.Operation, prefer fleet.InstanceID) *exchange.Reply {
	ctx, cancel := withDeadline(ctx, r.Call.Deadline.Add(answerGrace))
	t := &trial{request: r, op: op, prefer: prefer, pot: attempt.NewAllowance(r.Call.Grant), granted: r.Call.Grant}
	reply := d.tryUntilDone(ctx, t)
	reply.Unspent = t.pot.Left()
	if reply.Outcome == call.Completed {
		d.attempts.completed(d.now(), &r.Call, t.granted-t.wasted-reply.Unspent, d.config.get().inventory.Retry.BudgetPercent)
		reply.Body = closeAfter(reply.Body, cancel)
		return reply
	}
	cancel()
	if t.lost && reply.Outcome == call.NotRun {
		return lostAfter(reply)
	}
	return reply
}

// withDeadline sets the deadline of a context that has none.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// lostAfter turns the refusal of a later try into an unknown outcome, as an
// earlier try was handed to a target.
func lostAfter(refusal *exchange.Reply) *exchange.Reply {
	reply := exchange.Lost()
	reply.Level = refusal.Level
	reply.Unspent = refusal.Unspent
	return reply
}

func (d *dispatcher) tryUntilDone(ctx context.Context, t *trial) *exchange.Reply {
	for {
		t.tries++
		reply := d.tryHedged(ctx, t)
		if reply.Outcome == call.Completed || !d.mayRetry(ctx, t, reply) || !t.refill() {
			return reply
		}
		t.excluded = append(t.excluded, reply.Node)
		d.metrics.Retries.Add(retryLabel(reply), 1)
		d.ring.call(timeline.Retried, &t.request.Call, d.className(t), retryLabel(reply))
		if !d.backOff(ctx, t) {
			return reply
		}
	}
}

// mayRetry decides whether the call may be sent again after the reply.
func (d *dispatcher) mayRetry(ctx context.Context, t *trial, reply *exchange.Reply) bool {
	retry := d.config.get().inventory.Retry
	if t.tries >= retry.MaxPerCall || ctx.Err() != nil {
		return false
	}
	if reply.Outcome == call.Unknown && !t.op.Repeatable {
		return false
	}
	switch reply.Reason {
	case call.ReasonDeadline, call.ReasonAttempts, call.ReasonCancelled,
		call.ReasonUnknownOperation:
		return false // another target would refuse it, too
	}
	if reply.ConnectFailed || reply.Draining {
		return true // costs no target anything
	}
	if reply.Reason == call.ReasonOverload && !reply.Level.Admits(t.request.Call.Priority()) {
		return false // another target's level is about the same
	}
	if reply.Reason == call.ReasonNoTarget {
		return false
	}
	return d.attempts.tryRetry(d.now(), t.request.Call.Service, retry.BudgetPercent)
}

// backOff waits before a retry: nothing before the first, then doubling times
// spread by the request's rank. It returns false when the context ends first.
func (d *dispatcher) backOff(ctx context.Context, t *trial) bool {
	if t.tries == 1 {
		return true
	}
	retry := d.config.get().inventory.Retry
	wait := min(retry.BackoffMin<<min(t.tries-2, 16), retry.BackoffMax)
	spread := float64(t.request.Call.Rank) / call.RankCount
	wait = time.Duration(float64(wait) * (0.5 + 0.5*spread))
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

// tryHedged makes one try, with a second one beside it if the first is slow and
// the operation may be hedged.
func (d *dispatcher) tryHedged(ctx context.Context, t *trial) *exchange.Reply {
	after, ok := d.hedgeAfter(t)
	if !ok {
		return d.tryOnce(ctx, t, t.pot.Take(d.firstShare(t)))
	}
	return d.hedge(ctx, t, after)
}

// hedgeAfter returns when a second try may be sent beside the first. The grant
// must suffice for both, as each gets half of it.
func (d *dispatcher) hedgeAfter(t *trial) (time.Duration, bool) {
	if !t.op.Repeatable || t.tries > 1 {
		return 0, false
	}
	need, known := d.attempts.need(t.request.Call.Service, t.request.Call.Operation)
	if !known || t.pot.Left() < 2*need {
		return 0, false
	}
	return d.routes.hedgeAfter(d.now(), t.request.Call.Service, t.request.Call.Operation)
}

// firstShare is what the next try is passed: half of what is left if the call may
// be sent again and half is what its operation would be passed anyhow, as a lost
// answer takes all that its try was passed; all of it otherwise. Less than the
// known need with its margin would keep the need from being learned.
func (d *dispatcher) firstShare(t *trial) int {
	left := t.pot.Left()
	half := (left + 1) / 2
	if t.op.Repeatable && d.attempts.suffices(&t.request.Call, half) {
		return half
	}
	return left
}

// refill takes attempts for a retry from the parent call if none is left, and
// reports whether there is any.
func (t *trial) refill() bool {
	if t.pot.Left() > 0 {
		return true
	}
	if t.request.MoreAttempts == nil {
		return false
	}
	more := t.request.MoreAttempts()
	t.granted += more
	t.pot = attempt.NewAllowance(more)
	return more > 0
}

// tryOnce sends the call to one chosen instance with the given attempts.
func (d *dispatcher) tryOnce(ctx context.Context, t *trial, grant int) *exchange.Reply {
	if grant == 0 {
		return exchange.Refuse(call.ReasonAttempts, 0, 0)
	}
	chosen, ok := d.choose(t, t.excluded)
	if !ok {
		t.pot.Return(grant)
		return exchange.Refuse(call.ReasonNoTarget, noTargetRetryAfter, grant)
	}
	reply := d.send(ctx, t.request, chosen, grant)
	t.pot.Return(reply.Unspent)
	t.noteLost(reply, grant)
	return reply
}

// noteLost takes note of a try that a target was given and did not answer.
func (t *trial) noteLost(reply *exchange.Reply, grant int) {
	if reply.Outcome != call.Unknown {
		return
	}
	t.lost = true
	t.wasted += grant - reply.Unspent
}

// choose picks an instance and notes that a call goes there; send must follow.
func (d *dispatcher) choose(t *trial, excluded []fleet.InstanceID) (fleet.Instance, bool) {
	ask := routing.ChooseOptions{Exclude: excluded, Operation: t.request.Call.Operation, Prefer: t.prefer}
	return d.routes.begin(d.now(), t.request.Call.Service, ask)
}

// send sends the call to the chosen instance and learns from its answer.
func (d *dispatcher) send(ctx context.Context, r *exchange.Request, chosen fleet.Instance, grant int) *exchange.Reply {
	sent := *r
	sent.Call.Grant = grant
	d.ring.call(timeline.Sent, &sent.Call, d.config.get().className(sent.Call.Class), string(chosen.ID))
	start := d.now()
	reply := d.exchange(ctx, chosen, &sent)
	end := d.now()
	reply.Node = chosen.ID
	d.levels.observe(end, &sent.Call, reply.Level)
	d.routes.end(end, chosen.ID, sample(ctx, &sent.Call, reply, end.Sub(start)))
	if reply.ConnectFailed {
		d.unreachable(chosen.ID)
	}
	return reply
}

func (d *dispatcher) exchange(ctx context.Context, to fleet.Instance, r *exchange.Request) *exchange.Reply {
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

func (d *dispatcher) className(t *trial) string {
	return d.config.get().className(t.request.Call.Class)
}
