package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/quota"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

// quotaPeer is the part of a node that takes part in quotas, with real links.
type quotaPeer struct {
	quotas *quotas
	name   string
	kill   func()
}

func (p *quotaPeer) Serve(context.Context, *link.Call) *link.Reply { return &link.Reply{} }
func (p *quotaPeer) Version() route.Version                        { return 1 }
func (p *quotaPeer) ReceiveVersion(route.Version, func())          {}
func (p *quotaPeer) Record() roster.Record                         { return roster.Record{Instance: p.name} }
func (p *quotaPeer) StoreEpoch() epoch.ID                          { return epoch.Unknown }
func (p *quotaPeer) ReceiveStoreEpoch(epoch.ID)                    {}
func (p *quotaPeer) ReceiveRecord(roster.Record)                   {}
func (p *quotaPeer) StatedBeside(string) (roster.Record, bool)     { return roster.Record{}, false }
func (p *quotaPeer) State(bool) *link.State                        { return &link.State{} }
func (p *quotaPeer) ReceiveState(*link.State)                      {}
func (p *quotaPeer) LogUnexpected(string, error)                   {}
func (p *quotaPeer) ReceiveQuota(m *quota.Message, reply func(*quota.Message)) {
	p.quotas.receive(m, reply)
}

// quotaFleet starts some nodes' quotas on loopback addresses, and waits until they have homes.
func quotaFleet(t *testing.T, count int, limit quota.Limit) []*quotaPeer {
	addresses := map[string]string{}
	var names []string
	var peers []*quotaPeer
	var listeners []net.Listener
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("node-%d", i)
		names, listeners = append(names, name), append(listeners, listener)
		addresses[name] = listener.Addr().String()
	}
	for i, name := range names {
		p := &quotaPeer{name: name}
		pool := link.NewPool(p, time.Now)
		q := &quotas{
			clock: bootTime, links: pool, log: decisionLog{logr.Discard()}, enabled: make(chan struct{}), instance: name,
			address: func(instance string) (string, bool) { address, ok := addresses[instance]; return address, ok },
			roster:  func() ([]string, bool) { return names, true },
		}
		bounds := quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
		q.mu.table = quota.NewTable(q.clock(), name, 1, bounds)
		q.mu.waiting, q.mu.refused = map[string]chan struct{}{}, map[string]int{}
		p.quotas = q
		peers = append(peers, p)
		q.configure(&route.Configuration{Version: 1, Accounts: []route.Account{{Name: "a", Rate: limit.Rate, Burst: limit.Burst}}})
		ctx, stop := context.WithCancel(context.Background())
		go q.run(ctx)
		go func() { _ = pool.Serve(listeners[i]) }()
		p.kill = func() {
			stop()
			_ = listeners[i].Close()
			pool.Close()
		}
		t.Cleanup(p.kill)
	}
	awaitHome(t, peers, func(home string) bool { return home != "" })
	return peers
}

func (p *quotaPeer) home() string {
	p.quotas.mu.Lock()
	defer p.quotas.mu.Unlock()
	return p.quotas.mu.table.Stats(p.quotas.clock()).Homes[quota.GroupOf("a")]
}

// awaitHome waits until all peers have delegated their parts to the same home.
func awaitHome(t *testing.T, peers []*quotaPeer, valid func(home string) bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		same := valid(peers[0].home())
		for _, p := range peers {
			same = same && p.home() == peers[0].home()
		}
		if same {
			return
		}
	}
	t.Fatal("the nodes didn't agree on a home")
}

// TestQuotaHomeEnds guards against nodes that go on to ask a home which has ended.
func TestQuotaHomeEnds(t *testing.T) {
	t.Parallel()
	peers := quotaFleet(t, 3, quota.Limit{Rate: 200, Burst: 100})
	ended := peers[0].home()
	var left []*quotaPeer
	for _, p := range peers {
		if p.name == ended {
			p.kill()
		} else {
			left = append(left, p)
		}
	}
	awaitHome(t, left, func(home string) bool { return home != "" && home != ended })
	for _, p := range left {
		granted := false
		for deadline := time.Now().Add(10 * time.Second); !granted && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			granted = p.quotas.take(t.Context(), "a").Verdict == quota.Granted
		}
		if !granted {
			t.Errorf("%s gets no tokens after the home has ended", p.name)
		}
	}
}

// TestQuotaOverLinks guards against asks and grants that don't reach the other node: requests of
// one account at all nodes must get the quota of one account in sum, and no more.
func TestQuotaOverLinks(t *testing.T) {
	t.Parallel()
	limit := quota.Limit{Rate: 200, Burst: 100}
	peers := quotaFleet(t, 4, limit)
	const lasts = 2 * time.Second
	var granted, unavailable atomic.Int64
	var group sync.WaitGroup
	started := time.Now()
	for _, p := range peers {
		for range 8 {
			group.Go(func() {
				for time.Since(started) < lasts {
					switch p.quotas.take(context.Background(), "a").Verdict {
					case quota.Granted:
						granted.Add(1)
					case quota.Unavailable:
						unavailable.Add(1)
					}
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	took := time.Since(started).Seconds()
	most := int64((limit.Rate*(took+0.5)+limit.Burst)*1.1 + 20)
	if granted.Load() > most || granted.Load() < int64(limit.Burst) {
		t.Errorf("granted %d in %.1f s, want from the burst up to %d", granted.Load(), took, most)
	}
	t.Logf("granted %d, unavailable %d in %.1f s", granted.Load(), unavailable.Load(), took)
}

// TestRequestsOverTheirQuota guards against refusals that aren't 429 with a time to come back, and
// against tokens that stay taken although their request hasn't run.
func TestRequestsOverTheirQuota(t *testing.T) {
	t.Parallel()
	peers := quotaFleet(t, 1, quota.Limit{Rate: 0.001, Burst: 3})
	settings := &Settings{Name: "node-0"}
	d := &dispatcher{
		settings: settings, now: time.Now, tables: newTables(settings, 0), log: decisionLog{logr.Discard()}, metrics: newMetrics(),
		quotas: peers[0].quotas,
	}
	account := &route.Account{Name: "a", Rate: 0.001, Burst: 3}
	take := func() (*request, *ingress.Response) {
		r := &request{Request: &ingress.Request{ArrivedAt: time.Now()}, account: account, route: &route.Route{}, configuration: &route.Configuration{}}
		return r, d.takeQuota(context.Background(), r)
	}
	var admitted []*request
	var refused *ingress.Response
	// The bucket begins empty and takes long to fill at the low rate, so it is filled at a higher one.
	d.quotas.mu.Lock()
	d.quotas.mu.table.Configure(d.quotas.clock(), 2, []quota.Account{{Name: "a", Limit: quota.Limit{Rate: 1000, Burst: 3}}})
	d.quotas.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	if r, response := take(); response == nil {
		admitted = append(admitted, r)
	}
	d.quotas.mu.Lock()
	d.quotas.mu.table.Configure(d.quotas.clock(), 3, []quota.Account{{Name: "a", Limit: quota.Limit{Rate: 0.001, Burst: 3}}})
	d.quotas.mu.Unlock()
	for range 20 {
		r, response := take()
		if response != nil {
			refused = response
			break
		}
		admitted = append(admitted, r)
	}
	if refused == nil || refused.Status != http.StatusTooManyRequests || refused.RetryAfter < minQuotaRetry {
		t.Fatalf("after %d requests got %+v, want 429 with a time to come back", len(admitted), refused)
	}
	if len(admitted) < 2 {
		t.Fatalf("%d requests admitted, want at least the burst less one", len(admitted))
	}
	ran, unsent := admitted[len(admitted)-2], admitted[len(admitted)-1]
	ran.runs = 1
	d.end(ran, &ingress.Response{Status: http.StatusOK}, "answered")
	if _, response := take(); response == nil {
		t.Error("the token of a request that ran was given back")
	}
	d.end(unsent, refusal(time.Second), "refused")
	if _, response := take(); response != nil {
		t.Errorf("got %+v, want the token of the request that hasn't run", response)
	}
}

// TestRequestsWaitForAHome guards against refusals of requests while parts move to another home,
// and against a wait that leaves the caller no time.
func TestRequestsWaitForAHome(t *testing.T) {
	t.Parallel()
	peers := quotaFleet(t, 1, quota.Limit{Rate: 100, Burst: 100})
	q := peers[0].quotas
	empty := quota.NewTable(q.clock(), "node-0", 2, quota.Bounds{}) // it has no part for its first seconds
	empty.Configure(q.clock(), 1, []quota.Account{{Name: "a", Limit: quota.Limit{Rate: 100, Burst: 100}}})
	q.mu.Lock()
	full := q.mu.table
	q.mu.table = empty
	q.mu.Unlock()
	time.AfterFunc(200*time.Millisecond, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.mu.table = full
	})
	if d := q.take(t.Context(), "a"); d.Verdict != quota.Granted {
		t.Errorf("%v, want a token of the home that was found meanwhile", d.Verdict)
	}
	q.mu.Lock()
	q.mu.table = empty
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	if d := q.take(ctx, "a"); d.Verdict != quota.Unavailable || d.RetryAfter <= 0 {
		t.Errorf("%+v, want a refusal with a time to come back", d)
	}
}

// TestUnlimitedAccountsTakeNothing guards against a wait, or a refusal, of requests that no quota
// binds.
func TestUnlimitedAccountsTakeNothing(t *testing.T) {
	d := &dispatcher{}
	for _, account := range []*route.Account{nil, {Name: "a"}} {
		if response := d.takeQuota(context.Background(), &request{account: account}); response != nil {
			t.Errorf("got %+v", response)
		}
	}
}

// TestRequestsHeldUpTakeANewToken guards against requests that are refused by their targets for
// long and then start beside those of a later window.
func TestRequestsHeldUpTakeANewToken(t *testing.T) {
	t.Parallel()
	peers := quotaFleet(t, 1, quota.Limit{Rate: 100, Burst: 100})
	settings := &Settings{Name: "node-0"}
	d := &dispatcher{
		settings: settings, now: time.Now, tables: newTables(settings, 0), log: decisionLog{logr.Discard()}, metrics: newMetrics(),
		quotas: peers[0].quotas,
	}
	time.Sleep(100 * time.Millisecond)
	r := &request{Request: &ingress.Request{ArrivedAt: time.Now()}, account: &route.Account{Name: "a", Rate: 100}, route: &route.Route{}, configuration: &route.Configuration{}}
	if response := d.takeQuota(t.Context(), r); response != nil {
		t.Fatalf("got %+v", response)
	}
	first := r.quotaToken
	r.sends = 1
	if d.renewQuota(t.Context(), r); r.quotaToken != first {
		t.Error("a token was replaced that isn't stale")
	}
	time.Sleep(quota.MaxValidity + 300*time.Millisecond)
	if response := d.renewQuota(t.Context(), r); response != nil || r.quotaToken == first {
		t.Errorf("got %+v, want another token", response)
	}
	r.runs, first = 1, r.quotaToken
	time.Sleep(quota.MaxValidity + 300*time.Millisecond)
	if d.renewQuota(t.Context(), r); r.quotaToken != first {
		t.Error("a retry of a request that has run took a second token")
	}
}

// TestRequestsWaitForTokensOfAChangedLimit guards against requests that wait in vain, and are then
// refused, as the answer to their ask is no longer awaited after a change of the limit.
func TestRequestsWaitForTokensOfAChangedLimit(t *testing.T) {
	t.Parallel()
	peers := quotaFleet(t, 2, quota.Limit{Rate: 200, Burst: 100})
	for _, p := range peers {
		q := p.quotas
		waiting := make(chan struct{})
		q.mu.Lock()
		decision, _ := q.mu.table.Take(q.clock(), "a", false) // the ask gets lost
		if decision.Verdict == quota.Wait {
			q.mu.waiting["a"] = waiting
		}
		q.mu.Unlock()
		if decision.Verdict != quota.Wait {
			continue // the home itself
		}
		q.configure(&route.Configuration{Version: 2, Accounts: []route.Account{{Name: "a", Rate: 300, Burst: 100}}})
		select {
		case <-waiting:
			return
		default:
			t.Fatal("the request is not decided again")
		}
	}
	t.Fatal("no request waited")
}

// TestStoppingHomeAsksAnother guards against a node that stops, still accepts requests of callers,
// and refuses those of the accounts whose home it was.
func TestStoppingHomeAsksAnother(t *testing.T) {
	t.Parallel()
	peers := quotaFleet(t, 3, quota.Limit{Rate: 200, Burst: 100})
	home := peers[0].home()
	for _, p := range peers {
		if p.name != home {
			continue
		}
		p.quotas.stop()
		verdict := quota.Unavailable
		for deadline := time.Now().Add(10 * time.Second); verdict != quota.Granted && time.Now().Before(deadline); {
			verdict = p.quotas.take(t.Context(), "a").Verdict
		}
		if verdict != quota.Granted {
			t.Errorf("%s, which stops, gets no tokens: %v", p.name, verdict)
		}
	}
}
