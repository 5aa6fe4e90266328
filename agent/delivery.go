package agent

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumford/gypsumford/admission"
	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/agent/link"
	"github.com/gypsumford/gypsumford/agent/metrics"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/timeline"
)

// delivery runs calls on the local target. It holds the queue in front of the target
// and the calls that the target runs.
type delivery struct {
	now     func() time.Time
	config  *currentConfig
	target  *target
	parents *parentTable
	link    *link.Link
	ring    *ringTable
	metrics *metrics.Set
	// childLevels holds the strictest recent level in the replies to child calls, by
	// operation and caller of the parent call.
	childLevels *levelTable
	pacer       pacer
	quarantines *quarantines

	mu struct {
		sync.Mutex
		queue   *admission.Queue
		waiters map[admission.TicketID]chan admission.Verdict
		next    admission.TicketID
		scratch []admission.Verdict
	}
}

func newDelivery(a *Agent, l *link.Link) *delivery {
	d := &delivery{
		now: a.now, config: a.config, target: a.target, parents: a.parents,
		link: l, ring: a.ring, metrics: a.metrics,
		childLevels: &levelTable{levels: admission.NewLevels()}, pacer: newPacer(),
	}
	d.mu.queue = admission.NewQueue(admission.DefaultConfig(0), a.now())
	d.mu.waiters = make(map[admission.TicketID]chan admission.Verdict)
	return d
}

// serve runs the call on the local target once the queue starts it. For a call that
// the queue refuses it returns the refusal at once.
func (d *delivery) serve(ctx context.Context, r *exchange.Request) *exchange.Reply {
	address, ok := d.target.addressOf(r.Call.Service)
	if !ok {
		return d.withQueueState(exchange.Refuse(call.ReasonDraining, 0, r.Call.Grant), r.Call.Caller)
	}
	if verdict := d.childLevels.check(d.now(), &r.Call); !verdict.Admit {
		return d.refuseByChildLevel(r, verdict)
	}
	ticket, verdict := d.awaitStart(ctx, &r.Call)
	if verdict.Kind != admission.Start {
		d.ring.recordCall(timeline.Refused, &r.Call, d.className(&r.Call), verdict.Reason.String())
		d.metrics.Delivered.Add(verdict.Reason.String(), 1)
		return d.withQueueState(exchange.Refuse(verdict.Reason, verdict.RetryAfter, r.Call.Grant), r.Call.Caller)
	}
	return d.run(ctx, r, address, ticket)
}

// refuseByChildLevel refuses a call whose child calls would be refused after the
// local target had begun to run it. So a call costs the target nothing if its entry
// node has a stale level or sends it as a probe.
func (d *delivery) refuseByChildLevel(r *exchange.Request, verdict admission.LevelVerdict) *exchange.Reply {
	reason := call.ReasonOverload
	d.ring.recordCall(timeline.Refused, &r.Call, d.className(&r.Call), reason.String())
	d.metrics.Delivered.Add(reason.String(), 1)
	reply := exchange.Refuse(reason, verdict.RetryAfter, r.Call.Grant)
	reply.Level = verdict.Level
	return d.withQueueState(reply, r.Call.Caller)
}

// awaitStart adds the call to the queue and waits for the verdict on it.
func (d *delivery) awaitStart(ctx context.Context, c *call.Call) (admission.TicketID, admission.Verdict) {
	verdicts := make(chan admission.Verdict, 1)
	ticket := d.enqueue(c, verdicts)
	select {
	case verdict := <-verdicts:
		return ticket, verdict
	default:
	}
	d.ring.recordCall(timeline.Queued, c, d.className(c), "")
	select {
	case verdict := <-verdicts:
		return ticket, verdict
	case <-ctx.Done():
		return ticket, d.abandon(ticket, verdicts)
	}
}

func (d *delivery) enqueue(c *call.Call, verdicts chan admission.Verdict) admission.TicketID {
	now := d.now()
	arrival := admission.Arrival{
		Priority: c.Priority(), Caller: c.Caller, Operation: c.Operation, Deadline: c.Deadline,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pacer.notify()
	d.mu.next++
	ticket := d.mu.next
	d.mu.waiters[ticket] = verdicts
	d.sendVerdicts(d.mu.queue.Arrive(now, ticket, arrival, d.mu.scratch[:0]))
	return ticket
}

// abandon removes a call from the queue when its caller has disconnected. If the
// queue had already started the call, abandon finishes it, because it was not handed
// to the target.
func (d *delivery) abandon(ticket admission.TicketID, verdicts chan admission.Verdict) admission.Verdict {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case verdict := <-verdicts:
		if verdict.Kind != admission.Start {
			return verdict
		}
		d.sendVerdicts(d.mu.queue.Finish(now, ticket, admission.Abandoned, d.mu.scratch[:0]))
	default:
		delete(d.mu.waiters, ticket)
		d.sendVerdicts(d.mu.queue.Cancel(now, ticket, d.mu.scratch[:0]))
	}
	return admission.Verdict{Ticket: ticket, Kind: admission.Refuse, Reason: call.ReasonCancelled}
}

// sendVerdicts sends each verdict to the goroutine that waits for it. d.mu must be
// held. It doesn't block, because each channel has room for its only verdict.
func (d *delivery) sendVerdicts(verdicts []admission.Verdict) {
	for _, verdict := range verdicts {
		waiter := d.mu.waiters[verdict.Ticket]
		delete(d.mu.waiters, verdict.Ticket)
		if waiter != nil {
			waiter <- verdict
		}
	}
	d.mu.scratch = verdicts[:0]
}

// run hands the call to the target and returns its reply. The call holds its slot
// until the response body has been read to its end or closed.
func (d *delivery) run(ctx context.Context, r *exchange.Request, address string, ticket admission.TicketID) *exchange.Reply {
	targetRun, endRun, refusal := d.quarantines.begin(r)
	if refusal != nil {
		d.finish(ticket, admission.Abandoned)
		d.ring.recordCall(timeline.Refused, &r.Call, d.className(&r.Call), refusal.Reason.String())
		d.metrics.Delivered.Add(refusal.Reason.String(), 1)
		return d.withQueueState(refusal, r.Call.Caller)
	}
	parent := d.parents.add(r.Call)
	defer d.parents.remove(parent)
	d.metrics.Attempts.Add(1)
	d.ring.recordCall(timeline.Started, &r.Call, d.className(&r.Call), "")
	targetRun.checkCrash = func() {
		_, _, state := d.target.get()
		d.quarantines.lost(targetRun, r.Call.Service, address, state == fleet.Draining)
	}
	broken := func() {
		if ctx.Err() == nil {
			targetRun.checkCrash()
		} else {
			d.quarantines.callerLeft(targetRun)
		}
	}
	reply := d.link.Target(ctx, address, r, d.targetFields(&r.Call, parent.token))
	if reply.NoResponse {
		broken()
	}
	if reply.ConnectFailed {
		d.target.lost()
		reply = exchange.Refuse(call.ReasonDraining, 0, r.Call.Grant) // the call may go to another target
	}
	unspent, level := parent.close()
	if reply.Outcome != call.NotRun {
		reply.Unspent = unspent
	}
	reply.Level = reply.Level.Stricter(level)
	d.childLevels.observe(d.now(), &r.Call, reply.Level)
	d.metrics.Delivered.Add(reply.Outcome.String(), 1)
	if reply.Outcome == call.Completed {
		d.ring.recordCall(timeline.Completed, &r.Call, d.className(&r.Call), strconv.Itoa(reply.Status))
		finish := func() {
			endRun()
			d.finish(ticket, admission.Completed)
		}
		d.quarantines.watchBody(reply, targetRun, broken)
		reply.Body = notifyOnEnd(reply.Body, finish)
	} else {
		endRun()
		d.finish(ticket, resultOf(ctx, reply))
	}
	return d.withQueueState(reply, r.Call.Caller)
}

func resultOf(ctx context.Context, reply *exchange.Reply) admission.Result {
	switch {
	case reply.Reason == call.ReasonShed:
		return admission.Shed
	case ctx.Err() != nil:
		return admission.Abandoned
	default:
		return admission.Failed
	}
}

// targetFields returns the header fields that the node adds to a call for the target.
func (d *delivery) targetFields(c *call.Call, token string) http.Header {
	fields := http.Header{}
	fields.Set(callhttp.HeaderService, c.Service)
	fields.Set(callhttp.HeaderOperation, c.Operation)
	fields.Set(callhttp.HeaderRequestID, string(c.Request))
	fields.Set(callhttp.HeaderParent, token)
	if c.Caller != "" {
		fields.Set(callhttp.HeaderCaller, c.Caller)
	}
	callhttp.WriteTimeout(fields, d.now(), c.Deadline)
	return fields
}

// withQueueState adds the queue's load and its level for the caller to the reply.
func (d *delivery) withQueueState(reply *exchange.Reply, caller string) *exchange.Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	stats := d.mu.queue.Stats()
	reply.Level = reply.Level.Stricter(d.mu.queue.Level(caller))
	reply.Load = callhttp.Load{Running: stats.Running, Limit: stats.Limit, Queued: stats.Queued}
	reply.HasLoad = true
	return reply
}

func (d *delivery) finish(ticket admission.TicketID, result admission.Result) {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sendVerdicts(d.mu.queue.Finish(now, ticket, result, d.mu.scratch[:0]))
}

// tick makes the queue expire calls and adjust its limit and levels. It reports
// whether the queue holds or runs calls, or is overloaded.
func (d *delivery) tick() (busy bool) {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sendVerdicts(d.mu.queue.Tick(now, d.mu.scratch[:0]))
	stats := d.mu.queue.Stats()
	return stats.Running > 0 || stats.Queued > 0 || stats.Overloaded
}

// admissionState is the concurrency limit of the queue and the class that it refuses
// in part.
type admissionState struct {
	limit   int // calls
	refuses bool
	class   call.Class // valid if refuses is true
}

// admissionState returns the state of admission for unnamed callers.
func (d *delivery) admissionState() admissionState {
	d.mu.Lock()
	defer d.mu.Unlock()
	level := d.mu.queue.Level("")
	return admissionState{
		limit: d.mu.queue.Stats().Limit, refuses: level != call.AdmitAll, class: call.Priority(level).Class(),
	}
}

func (d *delivery) setQueueConfig(config admission.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.queue.SetConfig(config)
}

func (d *delivery) setDraining(draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sendVerdicts(d.mu.queue.SetDraining(draining, d.mu.scratch[:0]))
}

func (d *delivery) stats() admission.Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.queue.Stats()
}

// level returns the queue's level for a caller.
func (d *delivery) level(caller string) call.Level {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.queue.Level(caller)
}

func (d *delivery) className(c *call.Call) string {
	return d.config.get().className(c.Class)
}

// notifyOnEnd returns a body that calls onEnd once, when it has been read to its end
// or closed.
func notifyOnEnd(body io.ReadCloser, onEnd func()) io.ReadCloser {
	return &notifyingBody{ReadCloser: body, onEnd: onEnd}
}

type notifyingBody struct {
	io.ReadCloser
	onEnd func()
	once  sync.Once
}

func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.once.Do(b.onEnd)
	}
	return n, err
}

func (b *notifyingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onEnd)
	return err
}
