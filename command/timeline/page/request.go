package page

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/timeline"
)

// outcome is the outcome of a root request as far as the events show it. The
// constants are in order of precedence for recordOutcome.
type outcome uint8

const (
	undetermined outcome = iota // in flight, unknown, or the events of its end are missing
	refused                     // its root call was refused at the entry node
	failed                      // its target responded with a server error, as when a child call was refused
	completed                   // its root call completed
)

// request is a root request: a root call with all its child calls.
type request struct {
	entry              fleet.InstanceID // entry node, which is the node of the first event
	service, operation string           // of the root call
	class              string
	outcome            outcome
	endedAt            time.Time // zero while the outcome is undetermined
}

// requestsOf returns the root requests of events that are in causal order. The
// first event of a request is that of its root call. The root call is completed if
// a target on any node has completed it. Refusals count only at the entry node,
// because that node may try another node after a refusal by one.
func requestsOf(events []timeline.Event) []request {
	var requests []request
	indexOf := make(map[call.RequestID]int)
	for i := range events {
		e := &events[i]
		if e.Request == "" {
			continue
		}
		index, known := indexOf[e.Request]
		if !known {
			index = len(requests)
			indexOf[e.Request] = index
			requests = append(requests, request{entry: e.Node, service: e.Service, operation: e.Operation, class: e.Class})
		}
		requests[index].record(e)
	}
	return requests
}

// record records an event of the request. Events of other operations are ignored,
// since they concern child calls.
func (r *request) record(e *timeline.Event) {
	if e.Service != r.service || e.Operation != r.operation {
		return
	}
	if e.Class != "" {
		r.class = e.Class
	}
	switch {
	case e.Kind == timeline.Completed && serverError(e.Detail):
		r.recordOutcome(failed, e)
	case e.Kind == timeline.Completed:
		r.recordOutcome(completed, e)
	case e.Kind == timeline.Refused && e.Node == r.entry:
		r.recordOutcome(refused, e)
	}
}

// recordOutcome records the outcome of one attempt, unless that of an earlier
// attempt has precedence.
func (r *request) recordOutcome(outcome outcome, e *timeline.Event) {
	if outcome >= r.outcome {
		r.outcome, r.endedAt = outcome, e.Time
	}
}

// serverError reports whether the detail is an HTTP status from 500 to 599.
func serverError(detail string) bool {
	return len(detail) == 3 && detail[0] == '5'
}
