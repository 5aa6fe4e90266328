package node

import (
	"sync"
	"time"

	"github.com/gypsumford/gypsumford/fairshare"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/route"
)

// fairShares divides the room of a priority among client accounts at the entry.
type fairShares struct {
	mu struct {
		sync.Mutex
		table *fairshare.Table
	}
}

func newFairShares() *fairShares {
	f := &fairShares{}
	f.mu.table = fairshare.NewTable()
	return f
}

// arrive records a request, and returns by which factor its account sends too much: 1 for
// requests without an account. instances is the number of entries.
func (f *fairShares) arrive(now time.Time, r *request, instances int) (excess float64) {
	if r.account == nil {
		return 1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mu.table.Arrive(now, fairshare.Account{Name: r.account.Name, Rate: r.account.Rate}, instances)
}

// decide replaces the decision on a request whose priority is restricted by that for its
// account.
func (f *fairShares) decide(now time.Time, r *request, decision *loadshed.Decision) {
	if r.account == nil || decision.Service == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	decision.Share /= r.excess
	limit := fairshare.Limit{Service: decision.Service, Priority: loadshed.ClampPriority(r.priority)}
	decision.Admit = f.mu.table.Admit(now, limit, fairshare.Account{Name: r.account.Name}, decision.Share)
}

// retainAccounts forgets the accounts that the configuration doesn't list.
func (f *fairShares) retainAccounts(c *route.Configuration) {
	listed := make(map[string]bool, len(c.Accounts))
	for i := range c.Accounts {
		listed[c.Accounts[i].Name] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mu.table.RetainAccounts(listed)
}

// rootAccountName returns the name of the client account of the request or of its root request,
// "" without one.
func (r *request) rootAccountName() string {
	if r.account == nil {
		return r.rootAccount
	}
	return r.account.Name
}

// weightOf returns the weight of a client account in queues: its configured rate, 0 if there is
// none.
func (t *tables) weightOf(account string) float64 {
	configuration := t.inForce.Load()
	if account == "" || configuration == nil {
		return 0
	}
	if a := configuration.AccountByName(account); a != nil {
		return a.Rate
	}
	return 0
}
