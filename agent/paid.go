package agent

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/agent/link"
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
	// maxHomeTries bounds the homes that one node asks about one key.
	maxHomeTries = 3
	// runGrace is how long past its deadline a paid call may run on, so that
	// its answer is known when the caller repeats its key.
	runGrace = 10 * time.Second
	// platformTimeout ends a call to the platform for a claim.
	platformTimeout = 2 * time.Second
	// maxAnswerBytes caps the answer of a paid call, which is kept whole.
	maxAnswerBytes = 1 << 20
)

// writeLabels name the results of claim writes in the metrics.
var writeLabels = [...]string{
	claim.Written: "write-ok", claim.Conflict: "write-conflict",
	claim.Unsettled: "write-unsettled", claim.Rejected: "write-rejected",
}

// paid brings calls of at-most-once operations to the home of their key and,
// at the home, lets each key run once.
type paid struct {
	self       fleet.InstanceID
	now        func() time.Time
	directory  *directory
	dispatcher *dispatcher
	link       *link.Link
	platform   *platformCalls
	workers    *pool
	ring       *ringTable
	config     *inForce
	metrics    *metrics.Set
	runs       atomic.Int64 // paid calls that run now

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

func newPaid(a *Agent, l *link.Link) *paid {
	p := &paid{
		self: a.self.ID, now: a.now, directory: a.directory, dispatcher: a.dispatcher, link: l,
		platform: a.configurations.platform, workers: a.workers, ring: a.ring,
		config: a.inForce, metrics: a.metrics,
	}
	p.mu.waiters = make(map[claim.WaiterID]*paidWaiter)
	return p
}

// route brings the call to the home of its key.
func (p *paid) route(ctx context.Context, r *exchange.Request, op *inventory.Operation) *exchange.Reply {
	key, err := claim.ParseKey(r.Call.Key)
	if err != nil {
		p.metrics.BadInput.Add("key", 1)
		return exchange.Refuse(call.ReasonKey, 0, r.Call.Grant)
	}
	key = key.For(r.Call.Caller, r.Call.Operation)
	ctx, cancel := context.WithDeadline(ctx, r.Call.Deadline.Add(answerGrace))
	reply := p.routeKey(ctx, r, op, key)
	reply.Body = closeAfter(reply.Body, cancel)
	return reply
}

// routeKey asks the key's home. When a home can't be reached or is lost, the
// next one may be asked: the claim keeps the key from running twice.
func (p *paid) routeKey(ctx context.Context, r *exchange.Request, op *inventory.Operation, key claim.Key) *exchange.Reply {
	var excluded []fleet.InstanceID
	lost := false
	var reply *exchange.Reply
	for range maxHomeTries {
		home, ok := p.homeOf(r.Call.Service, key, excluded)
		if !ok {
			break
		}
		reply = p.ask(ctx, home, r, op, key)
		if reply.Outcome == call.Completed || ctx.Err() != nil {
			return reply
		}
		lost = lost || reply.Outcome == call.Unknown
		if !reply.ConnectFailed && !reply.Draining && reply.Reason != call.ReasonNoTarget {
			break
		}
		excluded = append(excluded, home.ID)
	}
	return p.conclude(r, key, reply, lost)
}

// conclude is the answer to a call that no home completed.
func (p *paid) conclude(r *exchange.Request, key claim.Key, reply *exchange.Reply, lost bool) *exchange.Reply {
	_, issued := key.Issuer()
	if lost || (issued && (reply == nil || reply.ConnectFailed)) {
		return exchange.Lost() // only the issuer knows whether the key ran
	}
	if reply == nil {
		return exchange.Refuse(call.ReasonNoTarget, noTargetRetryAfter, r.Call.Grant)
	}
	return reply
}

// homeOf returns the instance that decides over the key.
func (p *paid) homeOf(service string, key claim.Key, excluded []fleet.InstanceID) (fleet.Instance, bool) {
	if issuer, ok := key.Issuer(); ok {
		home, known := p.directory.instance(issuer)
		return home, known && !slices.Contains(excluded, issuer)
	}
	candidates := make([]fleet.Instance, 0, 16)
	for _, instance := range p.directory.service(service) {
		if !slices.Contains(excluded, instance.ID) {
			candidates = append(candidates, instance)
		}
	}
	return claim.HomeOf(service, key.Shard(), candidates)
}

func (p *paid) ask(ctx context.Context, home fleet.Instance, r *exchange.Request, op *inventory.Operation, key claim.Key) *exchange.Reply {
	if home.ID == p.self {
		return p.serve(ctx, r, op, key)
	}
	reply := p.link.Peer(ctx, home, link.HomePath, r, p.ring.lamport())
	p.ring.observe(reply.Lamport)
	if reply.ConnectFailed {
		p.dispatcher.unreachable(home.ID)
	}
	return reply
}

// serve decides over a key as its home.
func (p *paid) serve(ctx context.Context, r *exchange.Request, op *inventory.Operation, key claim.Key) *exchange.Reply {
	waiter := &paidWaiter{
		request: r, op: op, reply: make(chan *exchange.Reply, 1),
		unspent: r.Call.Grant, level: call.AdmitAll,
	}
	p.mu.Lock()
	if p.mu.home == nil || p.mu.service != r.Call.Service {
		p.mu.Unlock()
		return exchange.Refuse(call.ReasonNoTarget, noTargetRetryAfter, r.Call.Grant)
	}
	p.mu.next++
	id := p.mu.next
	p.mu.waiters[id] = waiter
	actions := p.mu.home.Ask(p.now(), id, key, r.Call.Deadline)
	p.mu.Unlock()
	p.perform(actions)
	select {
	case reply := <-waiter.reply:
		return reply
	case <-ctx.Done():
		p.gone(id)
		return exchange.Lost()
	}
}

// gone tells the home that a waiter went away.
func (p *paid) gone(id claim.WaiterID) {
	p.mu.Lock()
	delete(p.mu.waiters, id)
	actions := p.mu.home.Gone(p.now(), id)
	p.mu.Unlock()
	p.perform(actions)
}

// tick lets the home expire what waits too long.
func (p *paid) tick() {
	p.mu.Lock()
	var actions []claim.Action
	if p.mu.home != nil {
		actions = p.mu.home.Tick(p.now())
	}
	p.mu.Unlock()
	p.perform(actions)
}

// open makes this node a home for keys of the service.
func (p *paid) open(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mu.home == nil {
		p.mu.service = service
		p.mu.home = claim.NewHome(claim.Config{}, p.self, service, p.now())
	}
}

// drain tells the home that the instance is leaving.
func (p *paid) drain() {
	p.mu.Lock()
	var actions []claim.Action
	if p.mu.home != nil {
		actions = p.mu.home.Drain(p.now())
	}
	p.mu.Unlock()
	p.perform(actions)
}

// running returns the paid calls that run now, whoever waits for them.
func (p *paid) running() int64 { return p.runs.Load() }

// issue returns keys that only this process can run.
func (p *paid) issue(service string, count int) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mu.home == nil || p.mu.service != service {
		return nil, errors.Newf("this node's target is not of service %q", service)
	}
	return p.mu.home.Issue(p.now(), count), nil
}

// perform carries out what the home decided. No lock may be held.
func (p *paid) perform(actions []claim.Action) {
	for _, action := range actions {
		switch action.Kind {
		case claim.Read:
			p.submit(func() { p.read(action.Shard) }, func() []claim.Action {
				return p.mu.home.ReadDone(p.now(), action.Shard, 0, nil, claim.ReadFailed)
			})
		case claim.Write:
			p.submit(func() { p.write(action) }, func() []claim.Action {
				return p.mu.home.WriteDone(p.now(), action.Shard, action.Token, claim.Rejected, 0)
			})
		case claim.Run:
			p.startRun(action)
		default:
			p.answer(action)
		}
	}
}

// submit queues work on the platform. If the queue is full the home is told at
// once, by rejected, that nothing was sent.
func (p *paid) submit(job func(), rejected func() []claim.Action) {
	if p.workers.submit(job) {
		return
	}
	p.mu.Lock()
	actions := rejected()
	p.mu.Unlock()
	p.perform(actions)
}

func (p *paid) read(shard int) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	object, err := p.platform.get(ctx, claim.ObjectKey(p.serviceName(), shard))
	result := claim.ReadOK
	switch {
	case errors.Is(err, platform.ErrNotFound):
		object.Version = 0
	case err != nil:
		result = claim.ReadFailed
	}
	p.mu.Lock()
	actions := p.mu.home.ReadDone(p.now(), shard, object.Version, object.Value, result)
	p.mu.Unlock()
	p.perform(actions)
}

func (p *paid) write(action claim.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	version, err := p.platform.put(ctx, claim.ObjectKey(p.serviceName(), action.Shard), action.Value, action.ExpectVersion)
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
	p.metrics.Claims.Add(writeLabels[result], 1)
	p.mu.Lock()
	actions := p.mu.home.WriteDone(p.now(), action.Shard, action.Token, result, version)
	p.mu.Unlock()
	p.perform(actions)
}

func (p *paid) serviceName() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mu.service
}

// startRun runs the key's call once. The run does not end when its caller goes
// away: its answer is kept for the caller's repeat.
func (p *paid) startRun(action claim.Action) {
	p.mu.Lock()
	waiter := p.mu.waiters[action.Waiter]
	var actions []claim.Action
	if waiter == nil {
		result := claim.RunResult{Outcome: call.NotRun, Reason: call.ReasonCancelled}
		actions = p.mu.home.Ran(p.now(), action.Key, result)
	}
	p.mu.Unlock()
	if waiter == nil {
		p.perform(actions)
		return
	}
	p.runs.Add(1)
	go p.run(action, waiter)
}

func (p *paid) run(action claim.Action, waiter *paidWaiter) {
	defer p.runs.Add(-1)
	c := &waiter.request.Call
	p.ring.call(timeline.Claimed, c, p.config.get().className(c.Class), "")
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline.Add(runGrace))
	defer cancel()
	reply := p.dispatcher.do(ctx, waiter.request, waiter.op, p.self)
	result := p.resultOf(reply)
	p.metrics.Claims.Add("ran-"+result.Outcome.String(), 1)
	p.mu.Lock()
	waiter.unspent, waiter.level = reply.Unspent, reply.Level
	actions := p.mu.home.Ran(p.now(), action.Key, result)
	p.mu.Unlock()
	p.answer(ranAction(action, result)) // the others that wait for the key are in actions
	p.perform(actions)
}

// ranAction is the answer to the waiter whose call ran.
func ranAction(run claim.Action, result claim.RunResult) claim.Action {
	answer := claim.Action{Waiter: run.Waiter, Key: run.Key}
	switch result.Outcome {
	case call.Completed:
		answer.Kind, answer.Answer = claim.Reply, result.Answer
	case call.NotRun:
		answer.Kind, answer.Reason, answer.RetryAfter = claim.RefuseNotRun, result.Reason, result.RetryAfter
	default:
		answer.Kind = claim.AnswerUnknown
	}
	return answer
}

// resultOf reads the whole answer. One that breaks off or is too large leaves
// the outcome unknown.
func (p *paid) resultOf(reply *exchange.Reply) claim.RunResult {
	result := claim.RunResult{Outcome: reply.Outcome, Reason: reply.Reason, RetryAfter: reply.RetryAfter}
	if reply.Outcome != call.Completed {
		return result
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		p.metrics.BadInput.Add("answer", 1)
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
func (p *paid) answer(action claim.Action) {
	p.mu.Lock()
	waiter := p.mu.waiters[action.Waiter]
	delete(p.mu.waiters, action.Waiter)
	p.mu.Unlock()
	if waiter == nil {
		return
	}
	reply := p.replyOf(action, waiter)
	reply.Unspent, reply.Level = waiter.unspent, waiter.level
	waiter.reply <- reply
}

func (p *paid) replyOf(action claim.Action, waiter *paidWaiter) *exchange.Reply {
	switch action.Kind {
	case claim.Reply:
		header := http.Header{}
		for _, pair := range action.Answer.Header {
			header.Add(pair[0], pair[1])
		}
		reply := exchange.Stored(action.Answer.Status, header, action.Answer.Body)
		reply.Node = p.self
		return reply
	case claim.RefuseNotRun:
		return exchange.Refuse(action.Reason, action.RetryAfter, waiter.request.Call.Grant)
	default:
		return exchange.Lost()
	}
}
