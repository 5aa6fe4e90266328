package node

import (
	"slices"
	"sync"
	"time"

	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/retrybudget"
)

// wholeRequests decides at the entry which requests can get all the retries that they need.
type wholeRequests struct {
	now func() time.Time
	// counting holds the instances whose nodes keep the retry budget of their target's service.
	counting sync.Map

	mu struct {
		sync.Mutex
		rejections *retrybudget.Rejections
		admission  *retrybudget.Admission
		calls      []retrybudget.Calls // of the request that is decided on
		rejecting  map[string]bool     // services that were rejecting calls at the last log line
	}
}

func newWholeRequests(s *Settings, now func() time.Time) *wholeRequests {
	w := &wholeRequests{now: now}
	w.mu.rejections, w.mu.rejecting = retrybudget.NewRejections(), map[string]bool{}
	w.mu.admission = retrybudget.NewAdmission(s.RetryBudget, w.mu.rejections)
	return w
}

func (w *wholeRequests) configure(c retrybudget.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mu.admission.Configure(c)
}

// admitWhole refuses the request by the decision if the retries that it needs at a deeper
// service don't suffice, and the work that would be wasted takes room from others. While the services
// above have room it is sent in any case: some of such requests succeed by chance, and a refused
// caller comes back. A service that the request is sent to first may accept it, too. The tables'
// lock is held.
func (d *dispatcher) admitWhole(now time.Time, r *request, decision *loadshed.Decision) {
	nodes := max(d.tables.mu.roster.Len(), 1)
	importance := retrybudget.Importance{Priority: r.priority, Rank: r.rank}
	w := d.whole
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mu.calls = w.mu.calls[:0]
	for _, c := range d.tables.mu.costs.ByService(r.route.Name) {
		w.mu.calls = append(w.mu.calls, retrybudget.Calls{Service: c.Service, Requests: c.Requests, Direct: c.Service == r.service})
	}
	carried := w.mu.admission.Arrive(now, nodes, importance, r.excess, w.mu.calls)
	if carried.Share < decision.Share {
		decision.Service, decision.Share = carried.Service, carried.Share
	}
	if !carried.Admits(importance) {
		r.uncarried = true
		if len(w.mu.calls) > 1 && carried.Service != r.service && d.wastesRoom(now, carried.Service) {
			*decision = loadshed.Decision{Service: carried.Service, Pressure: carried.RetriesPerCall, Share: carried.Share}
			d.metrics.refusedRetries.Add(carried.Service, 1)
			return
		}
	}
	w.mu.admission.Admitted(now, w.mu.calls)
}

// wastesRoom reports whether the request that is decided on uses a full service other than the one
// whose retries don't suffice for it.
func (d *dispatcher) wastesRoom(now time.Time, rejecting string) bool {
	return slices.ContainsFunc(d.whole.mu.calls, func(c retrybudget.Calls) bool {
		return c.Service != rejecting && d.tables.mu.shed.IsFull(now, c.Service)
	})
}

// observeReply records whether a target of the service rejected a call, and what the reply
// reports of deeper services. A retry that was denied counts as rejected, so that fewer
// requests are admitted than need it.
func (w *wholeRequests) observeReply(now time.Time, service string, reply *link.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.Arrived || reply.Reason == link.ReasonRetryBudget {
		isRejected := reply.Reason == link.ReasonRefused || reply.Reason == link.ReasonRetryBudget
		w.mu.rejections.RecordArrival(now, service, isRejected)
	}
	for i := range reply.Views {
		if view := &reply.Views[i]; view.Service != service && view.Rejected > 0 {
			w.mu.rejections.Observe(view.Service, now.Add(-view.RejectedAge), view.Rejected)
		}
	}
}

// annotate completes the views of services in a reply with the shares of arrivals that their
// targets reject. The sender sees that of the local target's service itself.
func (w *wholeRequests) annotate(now time.Time, service string, views []link.ServiceView) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range views {
		if views[i].Service == service {
			continue
		}
		if share, observedAt := w.mu.rejections.Share(now, views[i].Service); share > 0 {
			views[i].Rejected, views[i].RejectedAge = share, now.Sub(observedAt)
		}
	}
}

// isRestricting reports whether the service rejects so many calls that retries decide on the
// admission of requests.
func (w *wholeRequests) isRestricting(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mu.rejections.IsRejecting(now, service)
}

// observeNode records whether the node of a reply keeps the retry budget of its service.
func (w *wholeRequests) observeNode(instance string, reply *link.Reply) {
	if w.countsRetries(instance) == reply.CountsRetries {
		return
	}
	if reply.CountsRetries {
		w.counting.Store(instance, struct{}{})
		return
	}
	w.counting.Delete(instance)
}

func (w *wholeRequests) countsRetries(instance string) bool {
	_, counts := w.counting.Load(instance)
	return counts
}

// logChanges logs which services have begun or ceased to reject so many calls that retries
// decide on the admission of requests.
func (w *wholeRequests) logChanges(log decisionLog) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for _, service := range w.mu.rejections.Services() {
		share, _ := w.mu.rejections.Share(now, service)
		isRejecting := w.mu.rejections.IsRejecting(now, service)
		if isRejecting == w.mu.rejecting[service] {
			continue
		}
		w.mu.rejecting[service] = isRejecting
		log.Info("service rejects calls", "service", service, "rejecting", isRejecting, "share", share)
	}
}
