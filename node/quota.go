package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gypsumford/gypsumford/internal/periodic"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/quota"
	"github.com/gypsumford/gypsumford/route"
)

const (
	// quotaWait is how long a request waits for tokens. An answer takes about a millisecond;
	// a busy home may take longer.
	quotaWait = 250 * time.Millisecond
	// maxQuotaHold bounds the wait while no home has parts. It is longer than parts take to move
	// from a home that stops, which is quota.MaxValidity and a tick.
	maxQuotaHold = 700 * time.Millisecond
	// quotaRosterTicks is the number of ticks between two looks at the known instances.
	quotaRosterTicks = 10
	// quotaLogTicks is the least number of ticks between two log lines of a kind.
	quotaLogTicks = 10
	// minQuotaRetry is the least retry-after delay of a request over its quota.
	minQuotaRetry = 50 * time.Millisecond
	// maxLoggedAccounts bounds the accounts that one log line names.
	maxLoggedAccounts = 10
)

// quotas connects the node's table of quotas with its peers and requests. Its lock is never held
// together with that of the tables.
type quotas struct {
	clock    func() time.Duration
	links    *link.Pool
	log      decisionLog
	address  func(instance string) (string, bool)
	roster   func() (names []string, isComplete bool)
	enabled  chan struct{} // closed when the first configuration with quotas is in force
	instance string

	mu struct {
		sync.Mutex
		table   *quota.Table
		enabled bool
		waiting map[string]chan struct{} // by account; closed when its requests are to be decided again
		refused map[string]int           // requests refused since the last log line, by account
		others  int                      // the same, of accounts that didn't fit
		ticks   int
		names   []string
		known   bool
		logged  quotaState
	}
}

// quotaState is the state whose changes are logged.
type quotaState struct {
	instances int
	homes     [quota.Groups]string
	held      [quota.Groups]bool // the node holds the majority of the parts
}

func newQuotas(n *Node) *quotas {
	s := n.settings
	q := &quotas{
		clock: bootTime, links: n.links, log: n.log, enabled: make(chan struct{}), instance: s.Name,
		address: func(instance string) (string, bool) {
			n.tables.mu.Lock()
			defer n.tables.mu.Unlock()
			r := n.tables.mu.roster.Get(instance)
			if r == nil {
				return "", false
			}
			return r.Address, true
		},
		roster: func() ([]string, bool) {
			n.tables.mu.Lock()
			defer n.tables.mu.Unlock()
			return n.tables.mu.roster.Staying(s.Name), n.tables.mu.allKnown
		},
	}
	bounds := quota.Bounds{Window: s.Quota.Window, Overage: s.Quota.Overage, Slack: s.Quota.Slack}
	q.mu.table = quota.NewTable(q.clock(), s.Name, n.mu.record.Incarnation, bounds)
	if s.FirstStart {
		q.mu.table.FirstStart()
	}
	q.mu.waiting, q.mu.refused = map[string]chan struct{}{}, map[string]int{}
	return q
}

// run does what is due by time, from the first configuration with quotas on.
func (q *quotas) run(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-q.enabled:
		periodic.Every(ctx, quota.TickInterval, q.tick)
	}
}

func (q *quotas) tick() {
	var names []string
	var known bool
	q.mu.Lock()
	look := q.mu.ticks%quotaRosterTicks == 0 || !q.mu.known
	q.mu.Unlock()
	if look {
		names, known = q.roster()
	}
	now := q.clock()
	q.mu.Lock()
	if q.mu.ticks++; look {
		q.mu.names, q.mu.known = names, known
	}
	q.mu.table.SetRoster(now, q.mu.names, q.mu.known)
	out := q.mu.table.Tick(now)
	if q.mu.ticks%quotaLogTicks == 0 {
		q.logChanges(now)
	}
	q.mu.Unlock()
	q.send(out)
}

// configure brings the quotas of a configuration into force.
func (q *quotas) configure(c *route.Configuration) {
	accounts := make([]quota.Account, 0, len(c.Accounts))
	for i := range c.Accounts {
		a := &c.Accounts[i]
		accounts = append(accounts, quota.Account{Name: a.Name, Limit: quota.Limit{Rate: a.Rate, Burst: a.Burst}})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake(q.mu.table.Configure(q.clock(), uint64(c.Version), accounts))
	if !q.mu.enabled && q.mu.table.HasQuotas() {
		q.mu.enabled = true
		close(q.enabled)
	}
}

// ReceiveQuota receives a message of a peer about quotas.
func (n *Node) ReceiveQuota(m *quota.Message, reply func(*quota.Message)) {
	n.quotas.receive(m, reply)
}

func (q *quotas) receive(m *quota.Message, reply func(*quota.Message)) {
	q.mu.Lock()
	out, wake := q.mu.table.Receive(q.clock(), m)
	q.wake(wake)
	q.mu.Unlock()
	for i, o := range out {
		if o.To == m.From {
			reply(o.Message)
		} else {
			q.send(out[i : i+1])
		}
	}
}

// wake lets the waiting requests of the accounts be decided again. The lock is held.
func (q *quotas) wake(accounts []string) {
	for _, account := range accounts {
		if waiting := q.mu.waiting[account]; waiting != nil {
			close(waiting)
			delete(q.mu.waiting, account)
		}
	}
}

// send sends messages. It is called without the lock.
func (q *quotas) send(out []quota.Outgoing) {
	for _, o := range out {
		failed := func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.mu.table.Unreachable(q.clock(), o.To)
		}
		if address, ok := q.address(o.To); ok {
			q.links.SendQuota(address, o.Message, failed)
		} else {
			failed()
		}
	}
}

// take takes a token for a request of the account. It waits for the account's home if need be,
// and while parts move to another home for up to a third of the request's remaining time.
func (q *quotas) take(ctx context.Context, account string) quota.Decision {
	decision, waiting := q.try(account, false)
	if decision.Verdict == quota.Granted || decision.Verdict == quota.Exceeded {
		return decision
	}
	hold := maxQuotaHold
	if deadline, ok := ctx.Deadline(); ok {
		hold = min(hold, time.Until(deadline)/3)
	}
	held := time.NewTimer(hold)
	defer held.Stop()
	for {
		wait := quotaWait
		if decision.Verdict == quota.Unavailable {
			wait = quota.TickInterval // the home may have changed by then
		}
		answer := time.NewTimer(wait)
		select {
		case <-waiting:
		case <-answer.C:
			if decision.Verdict == quota.Wait {
				return q.takeLate(account)
			}
		case <-held.C:
			return q.takeLate(account)
		case <-ctx.Done():
			return q.takeLate(account)
		}
		answer.Stop()
		decision, waiting = q.try(account, true)
		if decision.Verdict == quota.Granted || decision.Verdict == quota.Exceeded {
			return decision
		}
	}
}

// try decides on a request. If it has to wait, the channel is closed when to try again.
func (q *quotas) try(account string, isRepeated bool) (quota.Decision, <-chan struct{}) {
	q.mu.Lock()
	decision, out := q.mu.table.Take(q.clock(), account, isRepeated)
	var waiting chan struct{}
	if decision.Verdict == quota.Wait {
		if waiting = q.mu.waiting[account]; waiting == nil {
			waiting = make(chan struct{})
			q.mu.waiting[account] = waiting
		}
	}
	if decision.Verdict == quota.Exceeded {
		q.countRefusal(account, decision)
	}
	q.mu.Unlock()
	q.send(out)
	return decision, waiting
}

func (q *quotas) takeLate(account string) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	decision := q.mu.table.TakeLate(q.clock(), account)
	q.countRefusal(account, decision)
	return decision
}

// giveBack returns the token of a request that has not run.
func (q *quotas) giveBack(token quota.Token) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.mu.table.Return(q.clock(), token)
}

// stop tells the nodes whose parts this one holds that it uses them no more.
func (q *quotas) stop() {
	q.mu.Lock()
	out := q.mu.table.Stop(q.clock())
	q.mu.Unlock()
	q.send(out)
}

// takeQuota decides whether the quota of the request's account has room. It returns the refusal,
// or nil if the request may go on.
func (d *dispatcher) takeQuota(ctx context.Context, r *request) *ingress.Response {
	if r.account == nil || r.account.Rate <= 0 {
		return nil
	}
	decision := d.quotas.take(ctx, r.account.Name)
	switch {
	case decision.Verdict == quota.Granted:
		r.quotaToken, r.hasQuotaToken = decision.Token, true
		return nil
	case ctx.Err() != nil:
		return d.giveUp(ctx, r, "ended")
	case decision.Verdict == quota.Exceeded && !decision.IsPartial:
		// The bucket states when its next token is due. Many callers are refused for each token, so
		// they come back spread over a longer time.
		response := refusal(max(decision.RetryAfter, minQuotaRetry, d.retryAfter(r, d.now())))
		response.Status = http.StatusTooManyRequests
		return d.end(r, response, "over-quota")
	}
	return d.end(r, refusal(max(decision.RetryAfter, minQuotaRetry)), "quota-unavailable")
}

// renewQuota decides again on a request that has not run and whose token is stale when it is to be
// sent again. Otherwise requests that were held up would start beside those of a later window.
func (d *dispatcher) renewQuota(ctx context.Context, r *request) *ingress.Response {
	if !r.hasQuotaToken || r.sends == 0 || r.runs > 0 || !r.quotaToken.IsStale(d.quotas.clock()) {
		return nil
	}
	r.hasQuotaToken = false
	return d.takeQuota(ctx, r)
}

// returnQuota gives back what the request took from its account's quota if it has not run.
func (d *dispatcher) returnQuota(r *request) {
	if r.hasQuotaToken && r.runs == 0 {
		r.hasQuotaToken = false
		d.quotas.giveBack(r.quotaToken)
	}
}
