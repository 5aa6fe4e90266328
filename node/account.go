package node

import (
	"net/http"

	"github.com/gypsumford/gypsumford/node/ingress"
)

// identify sets the account of a request by its key. It returns the refusal of a request that
// needs a key and has none, or one of no account, and nil otherwise. Elsewhere a key that no
// account holds is ignored.
func (d *dispatcher) identify(r *request) *ingress.Response {
	if r.Key != "" {
		r.account = r.configuration.AccountByKey(r.Key)
	}
	if r.account == nil && r.configuration.NeedsKey(r.route) {
		return d.end(r, &ingress.Response{Status: http.StatusUnauthorized, FromNode: true}, "no-account")
	}
	return nil
}

// accountName returns the name of the request's account, "" without one.
func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}
