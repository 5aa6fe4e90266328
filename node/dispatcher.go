package node

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/balance"
	"github.com/gypsumford/gypsumford/callgraph"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/node/memory"
	"github.com/gypsumford/gypsumford/quarantine"
	"github.com/gypsumford/gypsumford/quota"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

const (
	// defaultTimeout applies to a request without a deadline on a route without a
	// timeout.
	defaultTimeout = 30 * time.Second
	// startingRetryAfter is the retry-after delay that a node states while it has no
	// configuration.
	startingRetryAfter = 300 * time.Millisecond
	// maxSends is the number of times that one request is sent at most, whether or not it
	// is refused.
	maxSends = 4
	// maxRefusedSends replaces maxSends while targets themselves refuse the request, or
	// their rate limits leave no room for it. They may refuse only a part of their
	// requests, so that another send can succeed; the retry budget still limits the sends
	// that reach a target.
	// At 55 in 100 rejected, 8 sends lose a call in 119 and so one in 15 requests of eight
	// calls; 16 sends lose one in 1,800.
	maxRefusedSends = 16
	// maxDenials is the number of nodes that may deny a retry for its budget.
	maxDenials = 2
	// maxCrashRetries is how often a run is repeated that was lost because its target crashed.
	// Such runs don't count as attempts of the route.
	maxCrashRetries = 1
	// minRemainingTime is the least remaining time with which a request is sent.
	minRemainingTime = 10 * time.Millisecond
)

// dispatcher decides on requests of callers, and sends admitted ones to targets until
// they end.
type dispatcher struct {
	settings *Settings
	now      func() time.Time
	tables   *tables
	delivery *delivery
	domains  *domains
	links    *link.Pool
	quotas   *quotas
	log      decisionLog
	metrics  *metrics
	proofs   *proofs // nil if requests with a key need no proof
	whole    *wholeRequests
	fair     *fairShares
	// onNoTarget is called when no target of a request's service is known.
	onNoTarget func()
	stop       atomic.Pointer[stopSchedule] // nil unless the node is stopping
}

// request is a caller's request and the state of its sends.
type request struct {
	*ingress.Request
	configuration  *route.Configuration
	route          *route.Route
	account        *route.Account // nil without one
	service        string
	rootAccount    string // name of the account whose root request this call belongs to
	priority       int    // of the account and the route, or of the root request that this call belongs to
	rank           uint8  // of the root request, among those of the priority
	deadline       time.Time
	origin         callgraph.Origin
	sentAt         time.Time // when it was last sent
	sends          int       // to nodes
	arrivals       int       // at targets, including those that were refused there
	runs           int       // at targets, including those that may have run
	excluded       []string  // IDs of the targets that it was sent to
	hasFingerprint bool
	quotaToken     quota.Token // valid if hasQuotaToken is set
	hasQuotaToken  bool
	unserved       bool           // no target of the service is known
	slowStart      bool           // admitted before the route's cost was known
	lastReason     link.Reason    // of the last reply
	choice         balance.Choice // of the last target
	repeated       bool           // belongs to a run that repeats an earlier one
	excess         float64        // by which factor its account sends too much, at least 1
	uncarried      bool           // retries of rejected sends don't suffice for it
	denials        int            // retries that the budget had no room for
	crashes        int            // runs that were lost because the target crashed
	placement      quarantine.Placement
	fingerprint    quarantine.Fingerprint // valid if hasFingerprint is set
	lastReply      *link.Reply            // the last failed response; the caller gets it if no retry succeeds
}

// IsIdempotent reports whether a request may run more than once, by its route.
func (d *dispatcher) IsIdempotent(r *ingress.Request) bool {
	configuration := d.tables.inForce.Load()
	if configuration == nil {
		return true // Handle refuses it
	}
	matched := configuration.Match(r.Host, r.Path)
	return matched == nil || matched.Idempotent
}

// Limits returns the configured limits on the requests of callers.
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

// Handle serves one request of a caller. It returns nil if the caller has disconnected.
func (d *dispatcher) Handle(ctx context.Context, in *ingress.Request) *ingress.Response {
	r := &request{Request: in, configuration: d.tables.inForce.Load()}
	if r.configuration == nil {
		return d.end(r, refusal(startingRetryAfter), "no-configuration")
	}
	r.route = r.configuration.Match(in.Host, in.Path)
	if r.route == nil || len(r.route.Destinations) == 0 {
		return d.end(r, &ingress.Response{Status: http.StatusNotFound, FromNode: true}, "no-route")
	}
	var isTaken bool
	if r.deadline, isTaken = d.stop.Load().bound(d.now(), deadlineOf(in, r.route)); !isTaken {
		return d.end(r, refusal(minRetryAfter), "stopping")
	}
	if response := d.identify(r); response != nil {
		return response
	}
	r.priority = r.configuration.PriorityOf(r.route, r.account)
	r.rank = uint8(xxhash.Sum64String(in.RequestID))
	if response := d.admit(r); response != nil {
		return response
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if response := d.takeQuota(ctx, r); response != nil {
		return response
	}
	return d.run(ctx, r)
}

// deadlineOf returns the deadline of a request: the earlier one of its own and that of
// the matched route's timeout.
func deadlineOf(in *ingress.Request, matched *route.Route) time.Time {
	remaining := defaultTimeout
	if matched.Timeout > 0 {
		remaining = matched.Timeout
	}
	if in.HasDeadline {
		remaining = min(remaining, in.RemainingTime)
	}
	return in.ArrivedAt.Add(remaining)
}

// admit chooses the destination service and decides whether the request is admitted.
// It returns the refusal, or nil if the request is admitted.
func (d *dispatcher) admit(r *request) *ingress.Response {
	now := d.now()
	t := d.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	r.service = t.mu.splitter.Next(r.route)
	t.mu.retryBudget.RecordRequest(now, r.service)
	r.origin = t.mu.routeOrigins[r.route.Name]
	if isCall, importance, inherits := t.classify(r); isCall {
		if inherits {
			r.priority, r.rank, r.Awaited = importance.Priority, importance.Rank, importance.Awaited
			r.repeated, r.rootAccount = importance.Repeated, importance.Account
		}
		return nil // the parent runs already, and a refusal would waste its work
	}
	r.excess = d.fair.arrive(now, r, t.mu.roster.Len())
	decision := loadshed.Decision{Admit: true, Share: 1}
	costStatus := t.mu.costs.Arrive(now, r.route.Name)
	switch costStatus {
	case loadshed.CostKnown:
		decision = t.mu.shed.Admit(now, r.priority, t.mu.costs.ByService(r.route.Name))
		d.fair.decide(now, r, &decision)
		if decision.Admit {
			d.admitWhole(now, r, &decision)
		}
	case loadshed.SlowStartFull:
		decision.Admit = false
	case loadshed.SlowStart:
		r.slowStart = true
	}
	if decision.Admit {
		return nil
	}
	retryAfter := d.retryAfter(r, now)
	d.log.requestRefused(r, &decision, costStatus, retryAfter)
	d.metrics.refused.Add(strconv.Itoa(r.priority), 1)
	return refusal(retryAfter)
}

func refusal(retryAfter time.Duration) *ingress.Response {
	return &ingress.Response{Status: http.StatusServiceUnavailable, FromNode: true, RetryAfter: retryAfter}
}

// run sends the request to targets until it ends, and returns the response.
func (d *dispatcher) run(ctx context.Context, r *request) *ingress.Response {
	for {
		if response := d.renewQuota(ctx, r); response != nil {
			return response
		}
		choice, ok := d.choose(r)
		if !ok {
			if r.unserved {
				d.onNoTarget()
			}
			if r.lastReason == link.ReasonQuarantined {
				return d.giveUp(ctx, r, r.heldWhy())
			}
			return d.giveUp(ctx, r, "no-target")
		}
		reply := d.sendTo(ctx, r, choice)
		if response := d.handleReply(ctx, r, choice, reply); response != nil {
			return response
		}
		if ctx.Err() != nil {
			return d.giveUp(ctx, r, "ended")
		}
	}
}

// choose chooses the target of the next send, and spends retry budget if this send is a
// retry. It returns false if the request must not be sent again or no target is left.
func (d *dispatcher) choose(r *request) (balance.Choice, bool) {
	now := d.now()
	if r.sends >= r.sendLimit() || r.deadline.Sub(now) < minRemainingTime {
		return balance.Choice{}, false
	}
	t := d.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.mu.roster.Serving(r.service)
	r.unserved = len(candidates) == 0
	serving := len(candidates)
	candidates, held := d.restrict(r, candidates)
	if held {
		r.lastReason = link.ReasonQuarantined
		return balance.Choice{}, false
	}
	wanted := balance.Request{
		Route: r.route.Name, Service: r.service, Awaited: r.Awaited, Restricted: len(candidates) < serving,
	}
	choice, ok := t.mu.balance.Choose(now, wanted, candidates, r.excluded)
	if !ok && (r.lastReason == link.ReasonRefused || r.lastReason == link.ReasonRetryBudget) && r.runs == 0 {
		r.excluded = nil
		choice, ok = t.mu.balance.Choose(now, wanted, candidates, nil)
	}
	if !ok {
		return choice, false
	}
	if r.arrivals > 0 && !d.mayRetry(now, r, choice.Record.Instance) {
		return choice, false
	}
	t.mu.balance.Sent(now, choice.Record.Target.ID)
	d.domains.sent(r.service, &choice)
	r.choice = choice
	return choice, true
}

// sendLimit returns how often the request may be sent.
func (r *request) sendLimit() int {
	switch {
	case r.denials >= maxDenials:
		return 0
	case r.runs == 0 && (r.lastReason == link.ReasonRefused || r.lastReason == link.ReasonRateLimited || r.lastReason == link.ReasonRetryBudget):
		return maxRefusedSends
	}
	return maxSends
}

// sendTo sends the request to the chosen target, over a link unless it is the local one.
func (d *dispatcher) sendTo(ctx context.Context, r *request, choice balance.Choice) *link.Reply {
	record := choice.Record
	call := &link.Call{
		RequestID: r.RequestID, TargetID: record.Target.ID, Service: r.service, Route: r.route.Name,
		Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body, Rest: r.Rest,
		RemainingTime: r.deadline.Sub(d.now()), CallerService: d.settings.Service, Priority: r.priority, Rank: r.rank, Awaited: r.Awaited,
		Account: r.accountName(), RootAccount: r.rootAccountName(), Retry: r.arrivals > 0, Repeated: r.repeated || r.runs > 0,
	}
	r.sends++
	r.sentAt = d.now()
	if r.arrivals > 0 {
		d.metrics.retries.Add(1)
	}
	r.excluded = append(r.excluded, record.Target.ID)
	if record.Instance == d.settings.Name {
		return d.delivery.serve(ctx, call)
	}
	reply, err := d.links.Do(ctx, record.Address, call)
	switch {
	case err == nil:
		d.whole.observeNode(record.Instance, reply)
		if reply.Invalid != nil {
			d.log.brokenResponse(call, reply.Invalid)
		}
		return reply
	case errors.Is(err, link.ErrNotSent):
		return notRun(link.ReasonUnreachable)
	case ctx.Err() != nil:
		return &link.Reply{Outcome: link.OutcomeUnknown, Reason: link.ReasonCancelled, Arrived: true}
	}
	return &link.Reply{Outcome: link.OutcomeUnknown, Reason: link.ReasonBroken, Arrived: true}
}

// handleReply records a reply. It returns the response to the caller, or nil if the
// request is to be retried.
func (d *dispatcher) handleReply(ctx context.Context, r *request, choice balance.Choice, reply *link.Reply) *ingress.Response {
	d.recordOutcome(r, choice, reply)
	r.lastReason = reply.Reason
	if reply.Arrived {
		r.arrivals++
	}
	if reply.Reason == link.ReasonRetryBudget {
		r.denials++
	}
	if reply.Outcome != link.OutcomeNotRun {
		r.runs++
	}
	if reply.Reason == link.ReasonCrashed {
		r.crashes++
	}
	mayRetry := r.runs-min(r.crashes, maxCrashRetries) < r.route.MaxAttempts && r.crashes <= maxCrashRetries && ctx.Err() == nil
	switch reply.Outcome {
	case link.OutcomeResponded:
		if reply.Status < http.StatusInternalServerError || !r.route.Idempotent || !mayRetry ||
			!d.tables.isTargetFault(r.route.Name, r.service, choice.Record.Target.ID) {
			return d.respond(r, reply)
		}
		r.lastReply = reply
	case link.OutcomeUnknown:
		if !r.route.Idempotent || !mayRetry {
			return d.giveUp(ctx, r, "unknown")
		}
	case link.OutcomeNotRun:
		if !mayRetry {
			return d.giveUp(ctx, r, "refused")
		}
	}
	return nil
}

// recordOutcome updates the tables with a reply.
func (d *dispatcher) recordOutcome(r *request, choice balance.Choice, reply *link.Reply) {
	now := d.now()
	d.whole.observeReply(now, r.service, reply)
	id := choice.Record.Target.ID
	load := balanceLoad(&reply.Load)
	t := d.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := reply.Stated; s != nil {
		t.mu.roster.ObserveStatements(choice.Record.Instance, roster.Target{ID: id, Born: s.Born, RateLimit: s.RateLimit, Leaving: s.Leaving})
	}
	d.domains.relieve(now, r.service, &choice, reply)
	t.recordReply(now, r.route.Name, r.service, reply)
	bodyBytes := memory.Size(r.Body, r.Rest) + memory.Size(reply.Body, reply.Rest)
	d.domains.ended(r.service, &choice, bodyBytes)
	switch {
	case reply.Outcome == link.OutcomeResponded:
		failed := reply.Status >= http.StatusInternalServerError
		t.mu.balance.Responded(now, id, r.route.Name, reply.Duration, bodyBytes, load, failed)
	case reply.Reason == link.ReasonCancelled:
		t.mu.balance.Cancelled(now, id, r.route.Name, now.Sub(r.sentAt))
	case reply.Reason == link.ReasonUnreachable || reply.Reason == link.ReasonTargetChanged:
		t.mu.balance.Lost(now, id, false)
	case reply.Reason == link.ReasonQuarantined || reply.Reason == link.ReasonNoMemory || reply.Reason == link.ReasonRetryBudget:
		t.mu.balance.Cancelled(now, id, r.route.Name, 0) // says nothing about the target
	case reply.Reason == link.ReasonBroken || reply.Reason == link.ReasonCrashed:
		t.mu.balance.Lost(now, id, true)
	default:
		t.mu.balance.Refused(now, id, reply.Arrived, load)
	}
}

func responseOf(reply *link.Reply) *ingress.Response {
	return &ingress.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body, Rest: reply.Rest, Lease: reply.Lease}
}

// giveUp ends a request that is not retried. The caller gets the last response that
// a target gave, or else one that this node makes, and none if it has disconnected.
func (d *dispatcher) giveUp(ctx context.Context, r *request, why string) *ingress.Response {
	late := !d.now().Before(r.deadline)
	if r.runs == 0 && !late && r.lastReason.IsOverload() && !(r.lastReason == link.ReasonRefused && d.whole.isRestricting(d.now(), r.service)) {
		d.tables.recordRefusal(d.now(), r.service, r.priority)
	}
	switch {
	case ctx.Err() != nil && !late && !errors.Is(context.Cause(ctx), ingress.ErrStopped):
		return d.end(r, nil, "caller-left")
	case r.lastReply != nil:
		return d.end(r, responseOf(r.lastReply), why)
	case r.runs == 0 && r.placement.Status == quarantine.Quarantined:
		return d.end(r, refusal(max(r.placement.Until.Sub(d.now()), time.Second)), why)
	case r.runs == 0:
		return d.end(r, refusal(d.retryAfter(r, d.now())), why)
	case late:
		return d.end(r, &ingress.Response{Status: http.StatusGatewayTimeout, FromNode: true}, why)
	}
	return d.end(r, &ingress.Response{Status: http.StatusBadGateway, FromNode: true}, why)
}

// end records and logs the end of a request, and returns the response.
func (d *dispatcher) end(r *request, response *ingress.Response, why string) *ingress.Response {
	took := d.now().Sub(r.ArrivedAt)
	d.returnQuota(r)
	if r.slowStart {
		d.tables.slowStartEnded(r.route.Name, response != nil && response.Status < http.StatusInternalServerError)
	}
	d.log.requestEnded(r, response, why, took)
	d.metrics.ends.Add(why, 1)
	if response != nil {
		d.metrics.responses.Add(strconv.Itoa(response.Status), 1)
	}
	d.metrics.requestLatency.record(took)
	return response
}
