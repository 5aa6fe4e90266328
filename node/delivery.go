package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/callgraph"
	"github.com/gypsumford/gypsumford/limiter"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/egress"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/roster"
)

const (
	// fenceShare of the drain time passes until calls for a target that leaves
	// are turned away: peers send elsewhere long before.
	fenceShare = 0.5
	// leaveDelay is how long a node that stops still takes calls of peers that
	// haven't heard of it.
	leaveDelay = 700 * time.Millisecond
	// startMargin before its deadline a waiting call is turned away, so that its
	// sender still hears that it hasn't run.
	startMargin = 20 * time.Millisecond
	// expireInterval paces the closing of idle connections to the target.
	expireInterval = 1 * time.Second
)

// delivery hands calls to the target beside the node.
type delivery struct {
	now     func() time.Time
	service string // of the target
	pool    *egress.Pool
	sender  *egress.Sender
	dialect egress.Dialect
	tables  *tables
	metrics *metrics
	log     decisionLog

	mu struct {
		sync.Mutex
		own     *roster.LocalTarget
		limiter *limiter.Limiter
		waiting map[*limiter.Item]chan struct{}
		leaving time.Time // when the node began to stop
		drain   time.Duration
	}
}

func newDelivery(s *Settings, dialect egress.Dialect, now func() time.Time) *delivery {
	pool := egress.NewPool(s.TargetAddress, now)
	d := &delivery{
		now: now, service: s.Service, pool: pool, dialect: dialect,
		sender: egress.NewSender(pool, dialect, s.MemoryBytes),
	}
	d.mu.drain = s.DrainTime
	d.mu.own = roster.NewLocalTarget(s.HeartbeatInterval)
	d.mu.limiter = limiter.New(0)
	d.mu.waiting = map[*limiter.Item]chan struct{}{}
	return d
}

// beat takes in a heartbeat and reports whether peers must hear of it.
func (d *delivery) beat(t roster.Target) bool {
	d.mu.Lock()
	before, _ := d.mu.own.Target()
	changed := d.mu.own.Heartbeat(d.now(), t)
	after, _ := d.mu.own.Target()
	d.mu.limiter.SetSlots(after.Slots)
	d.wake()
	d.mu.Unlock()
	if before.ID != after.ID || before.Born != after.Born {
		d.pool.CloseIdle()
	}
	return changed
}

// recall takes in what the node stated of its target before a restart and reports
// whether peers must hear of a change.
func (d *delivery) recall(t roster.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.own.ObservePublished(d.now(), t)
}

func (d *delivery) leave(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.own.Deregister(d.now(), id)
}

func (d *delivery) expire() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.own.Expire(d.now())
}

func (d *delivery) setDrainTime(drain time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.drain = drain
}

// stop makes the node turn calls away soon.
func (d *delivery) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.leaving = d.now()
}

func (d *delivery) target() roster.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, _ := d.mu.own.Target()
	return t
}

// active returns the number of calls that run or wait.
func (d *delivery) active() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.limiter.Running() + d.mu.limiter.Waiting()
}

// serve runs a call on the target. The time left counts from now.
func (d *delivery) serve(ctx context.Context, c *link.Call) *link.Reply {
	deadline := d.now().Add(c.TimeLeft)
	item := &limiter.Item{Priority: c.Priority, Deadline: deadline}
	if refusal := d.enter(ctx, c, item); refusal != nil {
		return d.finish(refusal, c)
	}
	started := d.now()
	ended := d.tables.runBegan(c.Route, deadline, callgraph.Importance{Priority: c.Priority, Rank: c.Rank, Awaited: c.Awaited})
	reply := d.send(ctx, c, deadline)
	reply.Duration = d.now().Sub(started)
	ended(reply.Duration)
	d.mu.Lock()
	d.mu.limiter.Done(item, reply.Duration)
	d.wake()
	d.mu.Unlock()
	return d.finish(reply, c)
}

func (d *delivery) finish(reply *link.Reply, c *link.Call) *link.Reply {
	d.metrics.runs.Add(reply.Outcome.String()+"/"+reply.Reason.String(), 1)
	if reply.Outcome == link.Answered {
		d.metrics.targets.record(reply.Duration)
	}
	var pressures loadshed.Pressures
	reply.Load, pressures = d.fill()
	reply.Views, reply.Origin = d.tables.describe(d.now(), c, d.service, pressures)
	d.log.callEnded(c, reply, d.target)
	return reply
}

// fill returns how full the target is.
func (d *delivery) fill() (link.Load, loadshed.Pressures) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.mu.limiter
	return link.Load{Running: l.Running(), Waiting: l.Waiting(), Slots: min(l.Limit(), maxSlots)}, l.Pressures()
}

// maxSlots stands for a target without a stated number of slots.
const maxSlots = 1 << 16

// enter waits for a slot. It returns a refusal if the call must not run.
func (d *delivery) enter(ctx context.Context, c *link.Call, item *limiter.Item) *link.Reply {
	d.mu.Lock()
	if reason := d.turnedAway(c); reason != link.ReasonNone {
		d.mu.Unlock()
		return notRun(reason)
	}
	verdict := d.mu.limiter.Arrive(d.now(), item)
	var turn chan struct{}
	if verdict == limiter.Wait {
		turn = make(chan struct{})
		d.mu.waiting[item] = turn
	}
	d.mu.Unlock()
	switch verdict {
	case limiter.Refuse:
		return notRun(link.ReasonBusy)
	case limiter.Wait:
		return d.wait(ctx, c, item, turn)
	}
	return nil
}

func (d *delivery) wait(ctx context.Context, c *link.Call, item *limiter.Item, turn chan struct{}) *link.Reply {
	timer := time.NewTimer(item.Deadline.Sub(d.now()) - startMargin)
	defer timer.Stop()
	reason := link.ReasonNone
	select {
	case <-turn:
	case <-timer.C:
		reason = link.ReasonTooLate
	case <-ctx.Done():
		reason = link.ReasonCancelled
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.mu.waiting, item)
	hasTurn := !d.mu.limiter.Remove(item)
	if reason == link.ReasonNone {
		reason = d.turnedAway(c)
	}
	if reason == link.ReasonNone {
		return nil
	}
	if hasTurn {
		d.mu.limiter.Release(item)
		d.wake()
	}
	return notRun(reason)
}

// turnedAway tells why the target can't take the call, if it can't. The lock is
// held.
func (d *delivery) turnedAway(c *link.Call) link.Reason {
	target, drained := d.mu.own.Target()
	now := d.now()
	fence := time.Duration(fenceShare * float64(d.mu.drain))
	switch {
	case target.ID != c.Target || target.Service != c.Service:
		return link.ReasonTargetChanged
	case !drained.IsZero() && now.Sub(drained) > fence:
		return link.ReasonDraining
	case drained.IsZero() && target.State != roster.Ready:
		return link.ReasonTargetChanged
	case !d.mu.leaving.IsZero() && now.Sub(d.mu.leaving) > leaveDelay:
		return link.ReasonDraining
	}
	return link.ReasonNone
}

// wake lets waiting calls run. The lock is held.
func (d *delivery) wake() {
	for item := d.mu.limiter.Next(); item != nil; item = d.mu.limiter.Next() {
		close(d.mu.waiting[item])
	}
}

func (d *delivery) send(ctx context.Context, c *link.Call, deadline time.Time) *link.Reply {
	left := deadline.Sub(d.now())
	if left <= 0 {
		return notRun(link.ReasonTooLate)
	}
	if ctx.Err() != nil {
		return notRun(link.ReasonCancelled)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	response, err := d.sender.Send(ctx, &egress.Request{
		ID: c.RequestID, Target: c.Target, Method: c.Method, URI: c.URI, Host: c.Host,
		Header: c.Header, Body: c.Body, Remaining: left, CallerService: c.Caller,
	})
	switch {
	case err == nil && response.Status < http.StatusMultipleChoices && !response.Fields.Signed:
		// A success that the target didn't sign is none: the bytes were spoilt.
		d.log.brokenAnswer(c, errUnsigned)
		return &link.Reply{Outcome: link.Unknown, Reason: link.ReasonBroken, Arrived: true}
	case err == nil:
		return &link.Reply{
			Outcome: link.Answered, Arrived: true, Status: response.Status,
			Header: ingress.EndToEnd(response.Header, d.dialect.IsForNode), Body: response.Body,
		}
	case errors.Is(err, egress.ErrUnreachable):
		return notRun(link.ReasonUnreachable)
	case errors.Is(err, egress.ErrNotRun):
		reply := notRun(link.ReasonRefused)
		reply.Arrived = true
		return reply
	case ctx.Err() != nil:
		return &link.Reply{Outcome: link.Unknown, Reason: link.ReasonCancelled, Arrived: true}
	}
	d.log.brokenAnswer(c, err)
	return &link.Reply{Outcome: link.Unknown, Reason: link.ReasonBroken, Arrived: true}
}

var errUnsigned = errors.New("a success without the target's signature")

func notRun(reason link.Reason) *link.Reply {
	return &link.Reply{Outcome: link.NotRun, Reason: reason}
}
