package node

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/retrybudget"
)

// retryLedger keeps the retry budget of the local target's service: this node's part of the
// slack, and the ratio of the requests that arrive at the target.
type retryLedger struct {
	service string
	tables  *tables
	now     func() time.Time

	mu struct {
		sync.Mutex
		budget *retrybudget.Budget
		// sharers is the largest number of instances of the service that was known: those that
		// leave keep their part until they end.
		sharers int
	}
}

func newRetryLedger(s *Settings, t *tables, now func() time.Time) *retryLedger {
	l := &retryLedger{service: s.Service, tables: t, now: now}
	l.mu.budget = retrybudget.New(s.RetryBudget)
	l.mu.budget.WithholdSlack(now())
	return l
}

func (l *retryLedger) configure(c retrybudget.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mu.budget.Configure(c)
}

// begin counts a call that is going to be sent to the local target. It returns false if the
// call is a retry that the budget has no room for. at is when the call was counted.
func (l *retryLedger) begin(c *link.Call) (at time.Time, allowed bool) {
	known := 0
	if c.Retry {
		known = l.tables.sharersOf(l.service)
	}
	importance := retrybudget.Importance{Priority: c.Priority, Rank: c.Rank}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	switch {
	case c.Retry:
		l.mu.sharers = max(l.mu.sharers, known)
		sharers := l.mu.sharers
		if known == maxSharers {
			sharers, l.mu.sharers = known, 0
		}
		return now, l.mu.budget.AllowRetry(now, sharers, importance, []retrybudget.Charge{l.charge()})
	case c.Repeated:
		l.mu.budget.Spend(now, importance, l.charge())
	default:
		l.mu.budget.RecordRequest(now, l.service)
	}
	return now, true
}

// cancel removes a call that was counted at the time at and didn't reach the target.
func (l *retryLedger) cancel(c *link.Call, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Retry || c.Repeated {
		l.mu.budget.Refund(l.now(), at, l.charge())
		return
	}
	l.mu.budget.CancelRequest(l.now(), at, l.service)
}

func (l *retryLedger) charge() retrybudget.Charge {
	return retrybudget.Charge{Service: l.service, Requests: 1}
}

// sharersOf returns the number of nodes that share the slack of the service's retry budget.
func (t *tables) sharersOf(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.mu.allKnown {
		return maxSharers
	}
	return max(t.mu.roster.Known(service), 1)
}

// serve runs a call at the local target, unless it is a retry that the budget has no room for.
// The call's remaining time counts from now.
func (d *delivery) serve(ctx context.Context, c *link.Call) *link.Reply {
	at, allowed := d.retries.begin(c)
	if !allowed {
		d.metrics.deniedRetries.Add(1)
		return d.finish(notRun(link.ReasonRetryBudget), c)
	}
	reply := d.serveCounted(ctx, c)
	if !reply.Arrived {
		d.retries.cancel(c, at)
	}
	return reply
}

// mayRetry reports whether a request that has arrived at a target may be sent to one beside the
// instance. The node there decides by the budget of the service. The calls that a repeated run
// makes again are charged here, as those nodes can't refuse them. The tables' lock is held.
func (d *dispatcher) mayRetry(now time.Time, r *request, instance string) bool {
	if r.uncarried && r.lastReason == link.ReasonRefused {
		return false
	}
	var charges []retrybudget.Charge
	if instance != d.settings.Name && !d.whole.countsRetries(instance) {
		charges = append(charges, retrybudget.Charge{Service: r.service, Requests: 1, Estimated: true})
	}
	if r.runs > 0 {
		for _, c := range d.tables.mu.costs.ByService(r.route.Name) {
			if c.Service == r.service {
				continue
			}
			if d.whole.isRestricting(now, c.Service) {
				return false // its retries are needed for requests that haven't run
			}
			charges = append(charges, retrybudget.Charge{Service: c.Service, Requests: c.Requests, Estimated: true})
		}
	}
	return len(charges) == 0 || d.tables.allowRetry(now, retrybudget.Importance{Priority: r.priority, Rank: r.rank}, charges)
}
