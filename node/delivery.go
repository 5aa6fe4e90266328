package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/callgraph"
	"github.com/gypsumford/gypsumford/confirmation"
	"github.com/gypsumford/gypsumford/limiter"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/egress"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/quarantine"
	"github.com/gypsumford/gypsumford/roster"
)

const (
	// fenceFraction is the fraction of the drain time after which calls for a draining
	// target are refused. Peers send to other targets long before that.
	fenceFraction = 0.5
	// stopFenceDelay is how long a stopping node still accepts calls after it has
	// announced the stop, as some peers haven't received the announcement yet.
	stopFenceDelay = 700 * time.Millisecond
	// refusalMargin is the remaining time at which a waiting call is refused, so that
	// its sender still learns in time that it hasn't run.
	refusalMargin = 20 * time.Millisecond
	// idleCheckInterval is the time between checks for idle connections to the target.
	idleCheckInterval = 1 * time.Second
)

// delivery queues calls for the local target and sends them to it.
type delivery struct {
	now      func() time.Time
	service  string // of the local target
	instance string // beside which it stands
	pool     *egress.Pool
	sender   *egress.Sender
	dialect  egress.Dialect
	tables   *tables
	retries  *retryLedger
	whole    *wholeRequests
	metrics  *metrics
	log      decisionLog
	speed    *targetLoad
	started  time.Time // when the node started
	// onTargetChanged is called when the local target's state has changed because of what
	// it stated in a response.
	onTargetChanged func()
	// onHeld is called when a heartbeat is held until the target is confirmed.
	onHeld func()
	// onCrash is called when the local target has crashed, and onCleared when a suspect has run
	// to a response.
	onCrash   func(quarantine.Crash)
	onCleared func([]quarantine.Clearance)
	// crashCheck is held while a broken connection is checked for a crash of the target, so that
	// a crash is reported once, and before the replies to the calls that it broke.
	crashCheck sync.Mutex

	mu struct {
		sync.Mutex
		local         *roster.LocalTarget
		confirmation  *confirmation.Gate
		limiter       *limiter.Limiter
		waiting       map[*limiter.Item]chan link.Reason
		stoppingSince time.Time // when the node announced its stop, zero if it didn't
		drainTime     time.Duration
		wakeTimer     *time.Timer // grants slots that become free with time; nil if none is due
		calls         callCounts
		runs          map[*run]struct{} // at the target, whose responses are awaited
		unfinished    quarantine.Unfinished[*run]
		completions   quarantine.Completions
		// checkingUnfinished is set while checkUnfinished is due.
		checkingUnfinished bool
		probation          quarantine.Probation
		// invalidLoggedAt is when a statement that can't be read was last logged.
		invalidLoggedAt time.Time
		limitLoggedAt   time.Time // when a change of the rate limit was last logged
	}
}

// newDelivery returns a delivery whose tables, metrics and log are still to be set.
func newDelivery(s *Settings, dialect egress.Dialect, now func() time.Time) *delivery {
	pool := egress.NewPool(s.TargetAddress, now)
	d := &delivery{
		now: now, service: s.Service, instance: s.Name, pool: pool, dialect: dialect,
		sender: egress.NewSender(pool, dialect, s.MemoryBytes), started: now(), speed: newTargetLoad(),
	}
	d.mu.drainTime = s.DrainTime
	d.mu.local = roster.NewLocalTarget(s.HeartbeatInterval)
	d.mu.confirmation = confirmation.NewGate(s.HeartbeatInterval)
	d.mu.limiter = limiter.New(0)
	d.mu.waiting = map[*limiter.Item]chan link.Reason{}
	d.mu.runs = map[*run]struct{}{}
	return d
}

// applyHeartbeat updates the local target from the heartbeat that choose returns, if it returns one.
// The lock is held while choose decides and until the heartbeat is applied. applyHeartbeat reports
// whether anything changed that is to be published.
func (d *delivery) applyHeartbeat(choose func(now time.Time) (t roster.Target, ok bool)) bool {
	d.mu.Lock()
	now := d.now()
	t, ok := choose(now)
	if !ok {
		d.mu.Unlock()
		return false
	}
	before, drainStart := d.mu.local.Target()
	changed := d.mu.local.Heartbeat(now, t)
	after, _ := d.mu.local.Target()
	d.mu.limiter.SetSlots(after.Slots)
	if before.ID == "" && after.ID != "" && after.Born < d.started.UnixMilli() {
		d.mu.limiter.StartSlowly(now) // an earlier process may have heard a statement
	}
	d.applyStatements(now, "heartbeat", before)
	d.mu.Unlock()
	if before.ID != after.ID || before.Born != after.Born {
		d.pool.CloseIdle()
		if drainStart.IsZero() && !before.Leaving {
			d.targetReplaced(before)
		}
	}
	return changed
}

// observePublished records the target's state as the node published it before its own
// restart. It reports whether the target's state changed.
func (d *delivery) observePublished(t roster.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.local.ObservePublished(d.now(), t)
}

// deregister makes the local target absent, at its own request. It reports whether the
// target's state changed.
func (d *delivery) deregister(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.confirmation.Left(d.now(), id)
	return d.mu.local.Deregister(d.now(), id)
}

// expire makes the local target absent if its heartbeats have stopped. It reports
// whether it did.
func (d *delivery) expire() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.local.Expire(d.now())
}

func (d *delivery) setDrainTime(drainTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.drainTime = drainTime
}

// stop makes the node refuse calls after stopFenceDelay.
func (d *delivery) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.stoppingSince = d.now()
}

// target returns the local target.
func (d *delivery) target() roster.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, _ := d.mu.local.Target()
	return t
}

// inFlight returns the number of calls that run or wait.
func (d *delivery) inFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.limiter.Running() + d.mu.limiter.Waiting()
}

// serveCounted runs a call at the local target.
func (d *delivery) serveCounted(ctx context.Context, c *link.Call) *link.Reply {
	deadline := d.now().Add(c.RemainingTime)
	item := &limiter.Item{Priority: c.Priority, Deadline: deadline, Account: c.RootAccount, Weight: d.tables.weightOf(c.RootAccount)}
	if refused := d.acquireSlot(ctx, c, item); refused != nil {
		return d.finish(refused, c)
	}
	fingerprint := fingerprintOf(c)
	endProbation, mayRun := d.beginProbation(fingerprint)
	if !mayRun {
		d.mu.Lock()
		d.mu.limiter.Release(item)
		d.wake()
		d.mu.Unlock()
		return d.finish(notRun(link.ReasonQuarantined), c)
	}
	defer endProbation()
	started := d.now()
	endRun := d.tables.beginRun(c.Route, deadline, callgraph.Importance{Priority: c.Priority, Rank: c.Rank, Awaited: c.Awaited, Account: c.RootAccount, Repeated: c.Repeated})
	reply := d.send(ctx, c, fingerprint, deadline)
	reply.Duration = d.now().Sub(started)
	endRun(reply.Duration)
	d.mu.Lock()
	d.mu.limiter.Done(item, reply.Duration)
	d.wake()
	d.mu.Unlock()
	return d.finish(reply, c)
}

// finish completes the reply to a call with what the node reports to its sender.
func (d *delivery) finish(reply *link.Reply, c *link.Call) *link.Reply {
	d.metrics.targetCalls.Add(reply.Outcome.String()+"/"+reply.Reason.String(), 1)
	if reply.Outcome == link.OutcomeResponded {
		d.metrics.targetLatency.record(reply.Duration)
	}
	var pressures loadshed.Pressures
	reply.Load, reply.Stated, pressures = d.load()
	d.speed.describe(d.now(), c.Route, &reply.Load)
	reply.Views, reply.Origin = d.tables.describe(d.now(), c, d.service, pressures)
	d.whole.annotate(d.now(), d.service, reply.Views)
	reply.CountsRetries = true
	d.log.callEnded(c, reply, d.target)
	return reply
}

// load returns the load of the local target, what it states, and its pressures.
func (d *delivery) load() (link.Load, *link.Statement, loadshed.Pressures) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, now := d.mu.limiter, d.now()
	load := link.Load{
		Running: l.Running(), Waiting: l.Waiting(), Slots: min(l.Limit(), maxSlots), RateUse: float32(l.RateUse(now)),
	}
	return load, d.stated(), l.Pressures(now)
}

// maxSlots is the number of slots in replies for a target that isn't limited, as it
// reports no slots.
const maxSlots = 1 << 16

// acquireSlot waits for a slot. It returns nil if the call has one, or else the refusal.
func (d *delivery) acquireSlot(ctx context.Context, c *link.Call, item *limiter.Item) *link.Reply {
	d.mu.Lock()
	if reason := d.refusalReason(c); reason != link.ReasonNone {
		d.mu.Unlock()
		return notRun(reason)
	}
	decision := d.mu.limiter.Arrive(d.now(), item)
	var granted chan link.Reason
	switch decision {
	case limiter.Run:
		d.mu.calls.sent++
	case limiter.Wait:
		granted = make(chan link.Reason, 1)
		d.mu.waiting[item] = granted
		d.wake()
	default:
		d.mu.calls.refused++
	}
	d.mu.Unlock()
	switch decision {
	case limiter.Refuse:
		return notRun(link.ReasonBusy)
	case limiter.RefuseRate:
		return notRun(link.ReasonRateLimited)
	case limiter.Wait:
		return d.wait(ctx, c, item, granted)
	}
	return nil
}

// wait waits until a queued call is granted a slot, and returns nil, or until it must
// be refused, and returns the refusal. granted receives ReasonNone with the slot, or why
// the call was removed from the queue.
func (d *delivery) wait(ctx context.Context, c *link.Call, item *limiter.Item, granted chan link.Reason) *link.Reply {
	timer := time.NewTimer(item.Deadline.Sub(d.now()) - refusalMargin)
	defer timer.Stop()
	reason := link.ReasonNone
	select {
	case reason = <-granted:
	case <-timer.C:
		reason = link.ReasonTooLate
	case <-ctx.Done():
		reason = link.ReasonCancelled
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.mu.waiting, item)
	wasEvicted := reason == link.ReasonRateLimited
	select {
	case decided := <-granted: // at the same moment as the timer or the cancellation
		wasEvicted = decided == link.ReasonRateLimited
	default:
	}
	hasSlot := !d.mu.limiter.Remove(item) && !wasEvicted
	if reason == link.ReasonNone {
		reason = d.refusalReason(c)
	}
	if reason == link.ReasonNone {
		d.mu.calls.sent++
		return nil
	}
	d.mu.calls.refused++
	if hasSlot {
		d.mu.limiter.Release(item)
		d.wake()
	}
	return notRun(reason)
}

// refusalReason returns why the local target can't accept the call, or ReasonNone. The
// lock is held.
func (d *delivery) refusalReason(c *link.Call) link.Reason {
	target, drainingSince := d.mu.local.Target()
	now := d.now()
	fence := time.Duration(fenceFraction * float64(d.mu.drainTime))
	switch {
	case target.ID != c.TargetID || target.Service != c.Service:
		return link.ReasonTargetChanged
	case !drainingSince.IsZero() && now.Sub(drainingSince) > fence:
		return link.ReasonDraining
	case drainingSince.IsZero() && target.State != roster.Ready:
		return link.ReasonTargetChanged
	case !d.mu.stoppingSince.IsZero() && now.Sub(d.mu.stoppingSince) > stopFenceDelay:
		return link.ReasonDraining
	}
	return link.ReasonNone
}

// wake grants slots to the waiting calls that may run now, and removes those that the rate
// limit leaves no room for. The lock is held.
func (d *delivery) wake() {
	now, l := d.now(), d.mu.limiter
	for item := l.Next(now); item != nil; item = l.Next(now) {
		d.mu.waiting[item] <- link.ReasonNone
	}
	for item := l.Evict(); item != nil; item = l.Evict() {
		d.mu.waiting[item] <- link.ReasonRateLimited
	}
	if d.mu.wakeTimer != nil {
		return // it is set again when it fires
	}
	if after, ok := l.NextIn(now); ok {
		d.mu.wakeTimer = time.AfterFunc(after, d.wakeLater)
	}
}

// wakeLater is called when slots may have become free with time.
func (d *delivery) wakeLater() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.wakeTimer = nil
	d.wake()
}

// send sends a call that has a slot to the local target.
func (d *delivery) send(ctx context.Context, c *link.Call, f quarantine.Fingerprint, deadline time.Time) *link.Reply {
	remaining := deadline.Sub(d.now())
	if remaining <= 0 {
		return notRun(link.ReasonTooLate)
	}
	if ctx.Err() != nil {
		return notRun(link.ReasonCancelled)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	sentTo, sentAt := d.target(), d.now()
	inFlight := &run{requestID: c.RequestID, route: c.Route, fingerprint: f, target: sentTo, deadline: deadline}
	response, err := d.sender.Send(ctx, &egress.Request{
		ID: c.RequestID, TargetID: c.TargetID, Method: c.Method, URI: c.URI, Host: c.Host,
		Header: c.Header, Body: c.Body, Rest: c.Rest, RemainingTime: remaining, CallerService: c.CallerService,
		Account: c.Account,
		OnWrite: func() { d.beginWrite(inFlight) },
	})
	defer func() { d.endWrite(inFlight, response != nil) }()
	d.observeResponse(c, sentTo, sentAt, response)
	now := d.now()
	d.speed.observe(now, &sentTo, c.Route, now.Sub(sentAt), response)
	switch {
	case err == nil && response.IsUnsignedSuccess():
		d.log.brokenResponse(c, errUnsigned)
		response.Lease.Release()
		return &link.Reply{Outcome: link.OutcomeUnknown, Reason: link.ReasonBroken, Arrived: true}
	case err == nil:
		d.completed(f, &sentTo)
		return &link.Reply{
			Outcome: link.OutcomeResponded, Arrived: true, Status: response.Status,
			Header: ingress.EndToEndFields(response.Header, d.dialect.IsForNode),
			Body:   response.Body, Rest: response.Rest, Lease: response.Lease,
		}
	case errors.Is(err, egress.ErrUnreachable):
		if ctx.Err() == nil {
			d.targetUnreachable()
		}
		return notRun(link.ReasonUnreachable)
	case errors.Is(err, egress.ErrNotRun):
		reply := notRun(link.ReasonRefused)
		reply.Arrived = true
		return reply
	case ctx.Err() != nil:
		return &link.Reply{Outcome: link.OutcomeUnknown, Reason: link.ReasonCancelled, Arrived: true}
	}
	d.log.brokenResponse(c, err)
	if d.hasCrashed(inFlight) {
		return crashedReply()
	}
	return &link.Reply{Outcome: link.OutcomeUnknown, Reason: link.ReasonBroken, Arrived: true}
}

var errUnsigned = errors.New("response states success but lacks the target's signature")

func notRun(reason link.Reason) *link.Reply {
	return &link.Reply{Outcome: link.OutcomeNotRun, Reason: reason}
}
