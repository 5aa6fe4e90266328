package node

import (
	"testing"
	"time"

	"github.com/gypsumford/gypsumford/callgraph"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/route"
)

// TestKeyedRequestIsNoCall guards against client accounts that evade admission on routes which
// targets call: only requests without a key can be calls of the local target.
func TestKeyedRequestIsNoCall(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	inner := &route.Route{Name: "inner", Public: true, Destinations: []route.Destination{{Service: "back", Weight: 1}}}
	d := &dispatcher{
		settings: &budgetSettings, now: clock, tables: newTables(&budgetSettings, 0), metrics: newMetrics(),
		whole: newWholeRequests(&budgetSettings, clock), fair: newFairShares(),
	}
	d.tables.mu.routeOrigins["inner"] = callgraph.OriginTargets
	isAdmitted := func(key string, account *route.Account) (decided bool) {
		r := &request{Request: &ingress.Request{Fields: ingress.Fields{Key: key}, ArrivedAt: now}, route: inner, account: account}
		if response := d.admit(r); response != nil {
			t.Fatalf("status %d", response.Status)
		}
		return r.excess > 0
	}
	if isAdmitted("", nil) {
		t.Error("admission decides on a call")
	}
	if !isAdmitted("key", &route.Account{Name: "shop", Rate: 10}) {
		t.Error("admission doesn't decide on the request of an account")
	}
	if !isAdmitted("unproven", nil) {
		t.Error("admission doesn't decide on a request with a key that isn't proven")
	}
}
