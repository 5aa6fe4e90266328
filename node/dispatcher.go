package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/balance"
	"github.com/gypsumford/gypsumford/callgraph"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/retrybudget"
	"github.com/gypsumford/gypsumford/route"
)

const (
	// defaultTimeout bounds a request that states no deadline on a route that
	// states no timeout.
	defaultTimeout = 30 * time.Second
	// startingRetryAfter is told by a node that has no configuration yet.
	startingRetryAfter = 300 * time.Millisecond
	// maxSends bounds how often one request is sent, turned away or not.
	maxSends = 4
	// maxRefusedSends is that bound while targets themselves turn it away: they may do
	// so with a part of their requests only, and the retry budget has the last word.
	maxRefusedSends = 8
	// minTimeLeft is the least time with which a request is sent.
	minTimeLeft = 10 * time.Millisecond
)

// dispatcher sends a caller's request to targets until it has an end.
type dispatcher struct {
	settings *Settings
	now      func() time.Time
	tables   *tables
	delivery *delivery
	links    *link.Pool
	log      decisionLog
	metrics  *metrics
	// noTarget hears that no target of a service is known.
	noTarget func()
}

// request is one caller's request on its way.
type request struct {
	*ingress.Request
	configuration *route.Configuration
	route         *route.Route
	service       string
	priority      int   // of the route, or of the request that this call belongs to
	rank          uint8 // among requests of the priority, that of the whole request
	deadline      time.Time
	origin        callgraph.Origin
	sent          time.Time // to the last target
	sends         int       // to nodes
	arrivals      int       // at targets, those turned away included
	runs          int       // at targets, as far as is known
	excluded      []string  // targets that were tried
	unserved      bool      // no target of the service is known
	starting      bool      // let in before the route's cost was known
	last          link.Reason
	choice        balance.Choice // of the last target
	lastReply     *link.Reply    // an answer that is kept while another target is tried
}

// IsIdempotent reports whether a request's route says that it may run more than once.
func (d *dispatcher) IsIdempotent(r *ingress.Request) bool {
	configuration := d.tables.inForce.Load()
	if configuration == nil {
		return true // it is refused
	}
	matched := configuration.Match(r.Host, r.Path)
	return matched == nil || matched.Idempotent
}

// Limits returns the operators' bounds on what callers may send.
func (d *dispatcher) Limits() ingress.Limits {
	configuration := d.tables.inForce.Load()
	if configuration == nil {
		return ingress.Limits{}
	}
	l := &configuration.Limits
	return ingress.Limits{
		HeaderBytes: l.MaxHeaderBytes, BodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
	}
}

// Handle serves one request of a caller.
func (d *dispatcher) Handle(ctx context.Context, in *ingress.Request) *ingress.Response {
	r := &request{Request: in, configuration: d.tables.inForce.Load()}
	if r.configuration == nil {
		return d.end(r, refusal(startingRetryAfter), "no-configuration")
	}
	r.route = r.configuration.Match(in.Host, in.Path)
	if r.route == nil || len(r.route.Destinations) == 0 {
		return d.end(r, &ingress.Response{Status: http.StatusNotFound, FromNode: true}, "no-route")
	}
	r.deadline, r.priority = deadlineOf(in, r.route), r.route.Priority
	r.rank = uint8(xxhash.Sum64String(in.RequestID))
	if answer := d.admit(r); answer != nil {
		return answer
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	return d.run(ctx, r)
}

func deadlineOf(in *ingress.Request, on *route.Route) time.Time {
	left := defaultTimeout
	if on.Timeout > 0 {
		left = on.Timeout
	}
	if in.HasDeadline {
		left = min(left, in.RemainingTime)
	}
	return in.Arrived.Add(left)
}

// admit picks the service and refuses the request if it must not be let in.
func (d *dispatcher) admit(r *request) *ingress.Response {
	now := d.now()
	t := d.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	r.service = t.mu.splitter.Next(r.route)
	t.mu.retries.RecordRequest(now, r.service)
	r.origin = t.mu.sentBy[r.route.Name]
	if isCall, importance, inherits := t.mu.graph.ClassifyRequest(r.origin, r.route.Name, r.Arrived.Add(r.RemainingTime)); isCall {
		if inherits {
			r.priority, r.rank, r.Awaited = importance.Priority, importance.Rank, importance.Awaited
		}
		return nil // its parent runs already; a refusal would waste that work
	}
	verdict := loadshed.Decision{Admit: true}
	knowledge := t.mu.costs.Arrive(now, r.route.Name)
	switch knowledge {
	case loadshed.CostKnown:
		verdict = t.mu.shed.Admit(now, r.priority, t.mu.costs.Charges(r.route.Name))
	case loadshed.SlowStartFull:
		verdict.Admit = false
	case loadshed.SlowStart:
		r.starting = true
	}
	if verdict.Admit {
		return nil
	}
	comeBack := d.comeBack(r, now)
	d.log.shed(r, &verdict, knowledge, comeBack)
	d.metrics.refused.Add(strconv.Itoa(r.priority), 1)
	return refusal(comeBack)
}

// comeBack is when the caller of a refused request does best to ask again: so
// late that the load may have changed, but early enough for its objective, and
// not together with the others.
func (d *dispatcher) comeBack(r *request, now time.Time) time.Duration {
	const earliest, latest = 0.25, 0.6 // share of the objective
	objective := r.route.Objective
	if objective <= 0 {
		objective = time.Second
	}
	share := earliest + rand.Float64()*(latest-earliest)
	left := r.deadline.Sub(now)
	if r.HasDeadline {
		left = r.Arrived.Add(r.RemainingTime).Sub(now)
	}
	return retryAfter(time.Duration(share*float64(objective)), left)
}

func refusal(retryAfter time.Duration) *ingress.Response {
	return &ingress.Response{Status: http.StatusServiceUnavailable, FromNode: true, RetryAfter: retryAfter}
}

// run sends the request until it has an end.
func (d *dispatcher) run(ctx context.Context, r *request) *ingress.Response {
	for {
		choice, ok := d.choose(r)
		if !ok {
			if r.unserved {
				d.noTarget()
			}
			return d.giveUp(ctx, r, "no-target")
		}
		reply := d.sendTo(ctx, r, choice)
		if answer := d.judge(ctx, r, choice, reply); answer != nil {
			return answer
		}
		if ctx.Err() != nil {
			return d.giveUp(ctx, r, "ended")
		}
	}
}

func (d *dispatcher) choose(r *request) (balance.Choice, bool) {
	now := d.now()
	if r.sends >= r.maxSends() || r.deadline.Sub(now) < minTimeLeft {
		return balance.Choice{}, false
	}
	t := d.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.mu.roster.Serving(r.service)
	r.unserved = len(candidates) == 0
	wanted := balance.Request{Route: r.route.Name, Awaited: r.Awaited}
	choice, ok := t.mu.balance.Choose(now, wanted, candidates, r.excluded)
	if !ok && r.maxSends() == maxRefusedSends {
		r.excluded = nil
		choice, ok = t.mu.balance.Choose(now, wanted, candidates, nil)
	}
	if !ok {
		return choice, false
	}
	if r.arrivals > 0 && !t.mu.retries.AllowRetry(now, max(t.mu.roster.Len(), 1), retrybudget.Importance{Priority: r.priority, Rank: r.rank}, d.repeatCharges(r)) {
		return choice, false
	}
	t.mu.balance.Sent(now, choice.Record.Target.ID)
	r.choice = choice
	return choice, true
}

// maxSends is how often the request may be sent.
func (r *request) maxSends() int {
	if r.last == link.ReasonRefused && r.runs == 0 {
		return maxRefusedSends
	}
	return maxSends
}

// repeatCharges is what one more send of the request costs. A request that was
// turned away has made no calls; one that ran makes them again. The lock is held.
func (d *dispatcher) repeatCharges(r *request) []retrybudget.Charge {
	charges := []retrybudget.Charge{{Service: r.service, Count: 1}}
	if r.runs == 0 {
		return charges
	}
	for _, c := range d.tables.mu.costs.Charges(r.route.Name) {
		if c.Service != r.service {
			charges = append(charges, retrybudget.Charge{Service: c.Service, Count: c.Requests})
		}
	}
	return charges
}

func (d *dispatcher) sendTo(ctx context.Context, r *request, choice balance.Choice) *link.Reply {
	record := choice.Record
	call := &link.Call{
		RequestID: r.RequestID, Target: record.Target.ID, Service: r.service, Route: r.route.Name,
		Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body,
		RemainingTime: r.deadline.Sub(d.now()), Caller: d.settings.Service, Priority: r.priority, Rank: r.rank, Awaited: r.Awaited,
	}
	r.sends++
	r.sent = d.now()
	if r.arrivals > 0 {
		d.metrics.repeats.Add(1)
	}
	r.excluded = append(r.excluded, record.Target.ID)
	if record.Instance == d.settings.Name {
		return d.delivery.serve(ctx, call)
	}
	reply, err := d.links.Do(ctx, record.Address, call)
	switch {
	case err == nil:
		return reply
	case errors.Is(err, link.ErrNotSent):
		return notRun(link.ReasonUnreachable)
	case ctx.Err() != nil:
		return &link.Reply{Outcome: link.OutcomeUnknown, Reason: link.ReasonCancelled, Arrived: true}
	}
	return &link.Reply{Outcome: link.OutcomeUnknown, Reason: link.ReasonBroken, Arrived: true}
}

// judge takes in a reply. It returns the answer to the caller, or nil if the
// request is to be sent once more.
func (d *dispatcher) judge(ctx context.Context, r *request, choice balance.Choice, reply *link.Reply) *ingress.Response {
	d.note(r, choice, reply)
	r.last = reply.Reason
	if reply.Arrived {
		r.arrivals++
	}
	if reply.Outcome != link.OutcomeNotRun {
		r.runs++
	}
	mayRepeat := r.runs < r.route.MaxAttempts && ctx.Err() == nil
	switch reply.Outcome {
	case link.OutcomeResponded:
		if reply.Status < http.StatusInternalServerError || !r.route.Idempotent || !mayRepeat ||
			!d.tables.isOwnFault(r.route.Name, r.service, choice.Record.Target.ID) {
			return d.end(r, answerOf(reply), "answered")
		}
		r.lastReply = reply
	case link.OutcomeUnknown:
		if !r.route.Idempotent || !mayRepeat {
			return d.giveUp(ctx, r, "unknown")
		}
	case link.OutcomeNotRun:
		if !mayRepeat {
			return d.giveUp(ctx, r, "refused")
		}
	}
	return nil
}

// note lets the tables learn from a reply.
func (d *dispatcher) note(r *request, choice balance.Choice, reply *link.Reply) {
	now := d.now()
	id := choice.Record.Target.ID
	load := balance.Load{Running: reply.Load.Running, Waiting: reply.Load.Waiting, Slots: reply.Load.Slots}
	t := d.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learn(now, r.route.Name, r.service, reply)
	switch {
	case reply.Outcome == link.OutcomeResponded:
		failed := reply.Status >= http.StatusInternalServerError
		t.mu.balance.Responded(now, id, r.route.Name, reply.Duration, len(r.Body)+len(reply.Body), load, failed)
	case reply.Reason == link.ReasonCancelled:
		t.mu.balance.Cancelled(now, id, r.route.Name, now.Sub(r.sent))
	case reply.Reason == link.ReasonUnreachable || reply.Reason == link.ReasonTargetChanged:
		t.mu.balance.Lost(now, id, false)
	case reply.Reason == link.ReasonBroken:
		t.mu.balance.Lost(now, id, true)
	default:
		t.mu.balance.Refused(now, id, reply.Arrived, load)
	}
}

func answerOf(reply *link.Reply) *ingress.Response {
	return &ingress.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body}
}

// giveUp returns the node's own answer, or an earlier one of a target.
func (d *dispatcher) giveUp(ctx context.Context, r *request, why string) *ingress.Response {
	late := !d.now().Before(r.deadline)
	if r.runs == 0 && !late && r.last.IsOverload() {
		d.tables.refusedEverywhere(d.now(), r.service, r.priority)
	}
	switch {
	case ctx.Err() != nil && !late:
		return d.end(r, nil, "caller-left")
	case r.lastReply != nil:
		return d.end(r, answerOf(r.lastReply), why)
	case r.runs == 0:
		return d.end(r, refusal(d.comeBack(r, d.now())), why)
	case late:
		return d.end(r, &ingress.Response{Status: http.StatusGatewayTimeout, FromNode: true}, why)
	}
	return d.end(r, &ingress.Response{Status: http.StatusBadGateway, FromNode: true}, why)
}

func (d *dispatcher) end(r *request, answer *ingress.Response, why string) *ingress.Response {
	took := d.now().Sub(r.Arrived)
	if r.starting {
		d.tables.costEnded(r.route.Name, answer != nil && answer.Status < http.StatusInternalServerError)
	}
	d.log.ended(r, answer, why, took)
	d.metrics.ends.Add(why, 1)
	if answer != nil {
		d.metrics.answers.Add(strconv.Itoa(answer.Status), 1)
	}
	d.metrics.requests.record(took)
	return answer
}

// retryAfter bounds the time to come back: the caller must be able to use it.
func retryAfter(wait, left time.Duration) time.Duration {
	const (
		shortest = 50 * time.Millisecond
		// share of the time left that callers are ready to wait
		share = 0.3
	)
	return max(min(wait, time.Duration(share*float64(left))), shortest)
}
