package node

import (
	"net/http"

	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
)

// promisesNotRun reports whether a response with the status tells callers that their request has
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// respond ends a request with the response of a target. The target doesn't state that the request
// has not run, or the outcome would be link.OutcomeNotRun. If the request must not run twice, the
// caller doesn't get a status that promises so: it would send the request again.
func (d *dispatcher) respond(r *request, reply *link.Reply) *ingress.Response {
	if r.route.Idempotent || !promisesNotRun(reply.Status) {
		return d.end(r, responseOf(reply), "answered")
	}
	d.log.refusalUnproven(r, reply.Status)
	reply.Lease.Release()
	return d.end(r, &ingress.Response{Status: http.StatusBadGateway, FromNode: true}, "refusal-unproven")
}
