package page

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/timeline"
)

// ending tells how a whole request ended, as far as the events show it.
type ending uint8

const (
	open      ending = iota // still in flight, unknown, or its events are lost
	refused                 // its root call was refused at the node that it entered
	failed                  // its target answered that it failed, as when a child call was refused
	completed               // its root call completed
)

// request is a whole request: a root call with all its child calls.
type request struct {
	entry              fleet.InstanceID // node of its first event
	service, operation string           // of the root call
	class              string
	end                ending
	at                 time.Time // of its end
}

// requestsOf finds the requests in events that are in causal order. The first
// event of a request tells its root call. The root call is complete when a
// target has completed it on any node; refusals count only at the node that the
// request entered, as that one may have tried other nodes meanwhile.
func requestsOf(events []timeline.Event) []request {
	var requests []request
	position := make(map[call.RequestID]int)
	for i := range events {
		e := &events[i]
		if e.Request == "" {
			continue
		}
		at, known := position[e.Request]
		if !known {
			at = len(requests)
			position[e.Request] = at
			requests = append(requests, request{entry: e.Node, service: e.Service, operation: e.Operation, class: e.Class})
		}
		requests[at].take(e)
	}
	return requests
}

// take notes an event of the request.
func (r *request) take(e *timeline.Event) {
	if e.Service != r.service || e.Operation != r.operation {
		return
	}
	if e.Class != "" {
		r.class = e.Class
	}
	switch {
	case e.Kind == timeline.Completed && serverError(e.Detail):
		r.finish(failed, e)
	case e.Kind == timeline.Completed:
		r.finish(completed, e)
	case e.Kind == timeline.Refused && e.Node == r.entry:
		r.finish(refused, e)
	}
}

// finish notes how a try ended; a better end of another try goes before it.
func (r *request) finish(end ending, e *timeline.Event) {
	if end >= r.end {
		r.end, r.at = end, e.Time
	}
}

// serverError reports whether the detail is an HTTP status from 500 to 599.
func serverError(detail string) bool {
	return len(detail) == 3 && detail[0] == '5'
}
