package agent

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/agent/metrics"
	"github.com/gypsumford/gypsumford/api/platform"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/claim"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/timeline"
)

const (
	// runGrace is how long past its deadline a paid call may run on, so that
	// its answer is known when the caller repeats its key.
	runGrace = 10 * time.Second
	// platformTimeout ends a call to the platform.
	platformTimeout = 2 * time.Second
	// maxAnswerBytes caps the answer of a paid call, which is kept whole.
	maxAnswerBytes = 1 << 20
)

// writeLabels name the results of claim writes in the metrics.
var writeLabels = [...]string{
	claim.Written: "write-ok", claim.Conflict: "write-conflict",
	claim.Unsettled: "write-unsettled", claim.Rejected: "write-rejected",
}

// keyHome lets each idempotency key whose home is this node run once. It carries
// out what claim.Home decides.
type keyHome struct {
	self       fleet.InstanceID
	now        func() time.Time
	dispatcher *dispatcher
	platform   *platformCalls
	workers    *pool
	ring       *ringTable
	config     *inForce
	metrics    *metrics.Set
	runs       atomic.Int64 // paid calls that run now
	pacer      pacer

	mu struct {
		sync.Mutex
		home    *claim.Home // nil until the own target's service is known
		service string
		waiters map[claim.WaiterID]*paidWaiter
		next    claim.WaiterID
	}
}

// paidWaiter is a call that waits for what becomes of its key.
type paidWaiter struct {
	request *exchange.Request
	op      *inventory.Operation
	reply   chan *exchange.Reply // has room for the only reply
	unspent int                  // attempts left by the run, all unless it ran
	level   call.Level           // met by the run
}

func newKeyHome(a *Agent) *keyHome {
	h := &keyHome{
		self: a.self.ID, now: a.now, dispatcher: a.dispatcher,
		platform: a.configurations.platform, workers: a.workers, ring: a.ring,
		config: a.inForce, metrics: a.metrics, pacer: newPacer(),
	}
	h.mu.waiters = make(map[claim.WaiterID]*paidWaiter)
	return h
}

// serve decides over a key as its home.
func (h *keyHome) serve(ctx context.Context, r *exchange.Request, op *inventory.Operation, key claim.Key) *exchange.Reply {
	waiter := &paidWaiter{
		request: r, op: op, reply: make(chan *exchange.Reply, 1),
		unspent: r.Call.Grant, level: call.AdmitAll,
	}
	h.mu.Lock()
	if h.mu.home == nil || h.mu.service != r.Call.Service {
		h.mu.Unlock()
		return exchange.Refuse(call.ReasonDraining, 0, r.Call.Grant) // another home may decide
	}
	h.pacer.poke()
	h.mu.next++
	id := h.mu.next
	h.mu.waiters[id] = waiter
	actions := h.mu.home.Ask(h.now(), id, key, r.Call.Deadline)
	h.mu.Unlock()
	h.perform(actions)
	select {
	case reply := <-waiter.reply:
		return reply
	case <-ctx.Done():
		h.gone(id)
		return exchange.Lost()
	}
}

// gone tells the home that a waiter went away.
func (h *keyHome) gone(id claim.WaiterID) {
	h.mu.Lock()
	delete(h.mu.waiters, id)
	actions := h.mu.home.Gone(h.now(), id)
	h.mu.Unlock()
	h.perform(actions)
}

// tick lets the home expire what waits too long. It reports whether the home has
// anything due.
func (h *keyHome) tick() (busy bool) {
	h.mu.Lock()
	var actions []claim.Action
	if h.mu.home != nil {
		actions = h.mu.home.Tick(h.now())
		_, busy = h.mu.home.NextTick()
	}
	busy = busy || len(h.mu.waiters) > 0
	h.mu.Unlock()
	h.perform(actions)
	return busy
}

// open makes this node a home for keys of the service. paidServices is the
// number of services that share the platform's writes.
func (h *keyHome) open(service string, paidServices int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mu.home == nil {
		h.mu.service = service
		h.mu.home = claim.NewHome(claim.Config{CommitInterval: claim.CommitIntervalFor(paidServices)}, h.self, service, h.now())
	}
}

// drain tells the home that the instance is leaving.
func (h *keyHome) drain() {
	h.mu.Lock()
	var actions []claim.Action
	if h.mu.home != nil {
		actions = h.mu.home.Drain(h.now())
	}
	h.mu.Unlock()
	h.perform(actions)
}

// running returns the paid calls that run now, whoever waits for them.
func (h *keyHome) running() int64 { return h.runs.Load() }

// issue returns keys that only this process can run.
func (h *keyHome) issue(service string, count int) ([]string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mu.home == nil || h.mu.service != service {
		return nil, errors.Newf("this node's target is not of service %q", service)
	}
	return h.mu.home.Issue(h.now(), count), nil
}

// perform carries out what the home decided. No lock may be held.
func (h *keyHome) perform(actions []claim.Action) {
	for _, action := range actions {
		switch action.Kind {
		case claim.Read:
			h.submit(func() { h.read(action.Shard) }, func() []claim.Action {
				return h.mu.home.ReadDone(h.now(), action.Shard, 0, nil, claim.ReadFailed)
			})
		case claim.Write:
			h.submit(func() { h.write(action) }, func() []claim.Action {
				return h.mu.home.WriteDone(h.now(), action.Shard, action.Token, claim.Rejected, 0)
			})
		case claim.Run:
			h.startRun(action)
		default:
			h.answer(action)
		}
	}
}

// submit queues work on the platform. If the queue is full the home is told at
// once, by rejected, that nothing was sent.
func (h *keyHome) submit(job func(), rejected func() []claim.Action) {
	if h.workers.submit(job) {
		return
	}
	h.mu.Lock()
	actions := rejected()
	h.mu.Unlock()
	h.perform(actions)
}

func (h *keyHome) read(shard int) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	object, err := h.platform.get(ctx, claim.ObjectKey(h.serviceName(), shard))
	result := claim.ReadOK
	switch {
	case errors.Is(err, platform.ErrNotFound):
		object.Version = 0
	case err != nil:
		result = claim.ReadFailed
	}
	h.mu.Lock()
	actions := h.mu.home.ReadDone(h.now(), shard, object.Version, object.Value, result)
	h.mu.Unlock()
	h.perform(actions)
}

func (h *keyHome) write(action claim.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	version, err := h.platform.put(ctx, claim.ObjectKey(h.serviceName(), action.Shard), action.Value, action.ExpectVersion)
	result := claim.Written
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrConflict):
		result = claim.Conflict
	case errors.Is(err, platform.ErrRejected):
		result = claim.Rejected
	default:
		result = claim.Unsettled
	}
	h.metrics.Claims.Add(writeLabels[result], 1)
	h.mu.Lock()
	actions := h.mu.home.WriteDone(h.now(), action.Shard, action.Token, result, version)
	h.mu.Unlock()
	h.perform(actions)
}

func (h *keyHome) serviceName() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mu.service
}

// startRun runs the key's call once. The run does not end when its caller goes
// away: its answer is kept for the caller's repeat.
func (h *keyHome) startRun(action claim.Action) {
	h.mu.Lock()
	waiter := h.mu.waiters[action.Waiter]
	var actions []claim.Action
	if waiter == nil {
		result := claim.RunResult{Outcome: call.NotRun, Reason: call.ReasonCancelled}
		actions = h.mu.home.Ran(h.now(), action.Key, result)
	}
	h.mu.Unlock()
	if waiter == nil {
		h.perform(actions)
		return
	}
	h.runs.Add(1)
	go h.run(action, waiter)
}

func (h *keyHome) run(action claim.Action, waiter *paidWaiter) {
	defer h.runs.Add(-1)
	c := &waiter.request.Call
	h.ring.call(timeline.Claimed, c, h.config.get().className(c.Class), "")
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline.Add(runGrace))
	defer cancel()
	reply := h.dispatcher.do(ctx, waiter.request, waiter.op, h.self)
	result := h.resultOf(reply)
	h.metrics.Claims.Add("ran-"+result.Outcome.String(), 1)
	h.mu.Lock()
	waiter.unspent, waiter.level = reply.Unspent, reply.Level
	actions := h.mu.home.Ran(h.now(), action.Key, result)
	h.mu.Unlock()
	h.answer(ranAction(action, result)) // the others that wait for the key are in actions
	h.perform(actions)
}

// ranAction is the answer to the waiter whose call ran.
func ranAction(run claim.Action, result claim.RunResult) claim.Action {
	answer := claim.Action{Waiter: run.Waiter, Key: run.Key}
	switch result.Outcome {
	case call.Completed:
		answer.Kind, answer.Answer = claim.Reply, result.Answer
	case call.NotRun:
		answer.Kind, answer.Reason, answer.RetryAfter = claim.RefuseNotRun, result.Reason, result.RetryAfter
		if result.Reason == call.ReasonDraining {
			// The targets are leaving, not this home: it holds the claim, so no other
			// home can run the key.
			answer.Reason, answer.RetryAfter = call.ReasonNoTarget, noTargetRetryAfter
		}
	default:
		answer.Kind = claim.AnswerUnknown
	}
	return answer
}

// resultOf reads the whole answer. One that breaks off or is too large leaves
// the outcome unknown.
func (h *keyHome) resultOf(reply *exchange.Reply) claim.RunResult {
	result := claim.RunResult{Outcome: reply.Outcome, Reason: reply.Reason, RetryAfter: reply.RetryAfter}
	if reply.Outcome != call.Completed {
		return result
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		h.metrics.BadInput.Add("answer", 1)
		return claim.RunResult{Outcome: call.Unknown}
	}
	header := http.Header{}
	callhttp.CopyHeader(header, reply.Header)
	result.Answer = &claim.Answer{Status: reply.Status, Header: headerPairs(header), Body: body}
	return result
}

func headerPairs(header http.Header) [][2]string {
	var pairs [][2]string
	for name, values := range header {
		for _, value := range values {
			pairs = append(pairs, [2]string{name, value})
		}
	}
	return pairs
}

// answer replies to the action's waiter.
func (h *keyHome) answer(action claim.Action) {
	h.mu.Lock()
	waiter := h.mu.waiters[action.Waiter]
	delete(h.mu.waiters, action.Waiter)
	h.mu.Unlock()
	if waiter == nil {
		return
	}
	reply := h.replyOf(action, waiter)
	reply.Unspent, reply.Level = waiter.unspent, waiter.level
	waiter.reply <- reply
}

func (h *keyHome) replyOf(action claim.Action, waiter *paidWaiter) *exchange.Reply {
	switch action.Kind {
	case claim.Reply:
		header := http.Header{}
		for _, pair := range action.Answer.Header {
			header.Add(pair[0], pair[1])
		}
		reply := exchange.Stored(action.Answer.Status, header, action.Answer.Body)
		reply.Node = h.self
		return reply
	case claim.RefuseNotRun:
		return exchange.Refuse(action.Reason, action.RetryAfter, waiter.request.Call.Grant)
	default:
		return exchange.Lost()
	}
}
