package node

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/gypsumford/gypsumford/balance"
	"github.com/gypsumford/gypsumford/node/egress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
	"github.com/gypsumford/gypsumford/servicetime"
)

// invalidLoadLogInterval is the least time between log lines on loads that the local target
// states and that can't be used. The metric counts all of them.
const invalidLoadLogInterval = 10 * time.Second

// targetLoad is what the node knows of the speed of the local target.
type targetLoad struct {
	log     decisionLog
	metrics *metrics
	mu      struct {
		sync.Mutex
		estimator       *servicetime.Estimator
		id              string // of the target that the estimates are of
		born            int64
		invalidLoggedAt time.Time
	}
}

func newTargetLoad() *targetLoad {
	t := &targetLoad{}
	t.mu.estimator = servicetime.New()
	return t
}

// balanceLoad returns the load that a reply reports as package balance takes it.
func balanceLoad(l *link.Load) balance.Load {
	return balance.Load{
		Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, RateUse: float64(l.RateUse),
		ServiceTime: time.Duration(l.ServiceTime) * link.ServiceTimeUnit,
	}
}

// observe records the response of the target to a request of the route, which took the time.
// response is nil if there was none.
func (t *targetLoad) observe(now time.Time, target *roster.Target, routeName string, took time.Duration, response *egress.Response) {
	if response == nil || response.Status == http.StatusMisdirectedRequest {
		return // another target responded
	}
	stated := &response.Fields.Load
	if stated.Invalid != nil {
		t.invalid(now, target, stated.Invalid)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mu.id != target.ID || t.mu.born != target.Born {
		t.mu.id, t.mu.born = target.ID, target.Born
		t.mu.estimator.Reset()
	}
	if stated.Slowdown > 0 {
		t.mu.estimator.State(now, stated.Slowdown)
	}
	if response.Status < http.StatusInternalServerError && !response.Fields.NotRun {
		t.mu.estimator.Record(now, routeName, took)
	}
}

// invalid counts a load that can't be used, and logs some of them.
func (t *targetLoad) invalid(now time.Time, target *roster.Target, err error) {
	t.metrics.invalidLoads.Add(1)
	t.mu.Lock()
	due := now.Sub(t.mu.invalidLoggedAt) >= invalidLoadLogInterval
	if due {
		t.mu.invalidLoggedAt = now
	}
	t.mu.Unlock()
	if due {
		t.log.inputIgnored("load of the target", err.Error(), "target", target.ID)
	}
}

// describe adds what a reply to a call of the route reports of the target's speed.
func (t *targetLoad) describe(now time.Time, routeName string, load *link.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	expected := t.mu.estimator.Expect(now, routeName)
	load.ServiceTime = uint32(min((expected+link.ServiceTimeUnit/2)/link.ServiceTimeUnit, math.MaxUint32))
	if slowdown := t.mu.estimator.Slowdown(now); slowdown != 1 {
		load.Slowdown = uint16(100*slowdown + 0.5)
	}
}

// slowdown returns the slowdown that the target states at present, in percent.
func (t *targetLoad) slowdown(now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(100*t.mu.estimator.Slowdown(now) + 0.5)
}

// retainRoutes prunes the routes that the configuration doesn't list.
func (t *targetLoad) retainRoutes(c *route.Configuration) {
	listed := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		listed[c.Routes[i].Name] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.estimator.RetainRoutes(listed)
}
