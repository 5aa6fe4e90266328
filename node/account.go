package node

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gypsumford/gypsumford/callgraph"
	"github.com/gypsumford/gypsumford/node/ingress"
)

// Retry-after delays of a refusal for lack of a proof lie between these. A node that can reach
// peers or the store has a new proof by then.
const (
	minUnprovenRetryAfter = 300 * time.Millisecond
	maxUnprovenRetryAfter = 900 * time.Millisecond
)

// identify sets the account of a request by its key. It returns the refusal of a request that
// needs a key and has none, or one of no account, and of one whose key may have been withdrawn
// or added without this node's knowledge; and nil otherwise. On public routes, a key that no
// account holds, or may hold no longer, is ignored.
func (d *dispatcher) identify(r *request) *ingress.Response {
	needsKey := r.configuration.NeedsKey(r.route)
	if r.Key == "" {
		if needsKey {
			return d.end(r, unauthorized(), "no-account")
		}
		return nil
	}
	account := r.configuration.AccountByKey(r.Key)
	if account == nil && !needsKey {
		return nil
	}
	proven := d.proofs == nil || d.proofs.isFresh(r.configuration.Version)
	switch {
	case account != nil && proven:
		r.account = account
	case !needsKey:
	case account == nil && (proven || d.proofs.isRecent()):
		return d.end(r, unauthorized(), "no-account")
	default:
		delay := minUnprovenRetryAfter + rand.N(maxUnprovenRetryAfter-minUnprovenRetryAfter)
		return d.end(r, refusal(min(delay, longestWait(r.deadline.Sub(d.now())))), "no-proof")
	}
	return nil
}

// classify decides whether a request is a call of the local target, and of which importance. One
// with a key is not: targets have no keys. The tables' lock is held.
func (t *tables) classify(r *request) (isCall bool, importance callgraph.Importance, inherits bool) {
	if r.Key != "" {
		return false, callgraph.Importance{}, false
	}
	return t.mu.graph.ClassifyRequest(r.origin, r.route.Name, r.ArrivedAt.Add(r.RemainingTime))
}

func unauthorized() *ingress.Response {
	return &ingress.Response{Status: http.StatusUnauthorized, FromNode: true}
}

// accountName returns the name of the request's account, "" without one.
func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}
