package node

import (
	"time"

	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/quarantine"
	"github.com/gypsumford/gypsumford/roster"
)

const (
	// clearanceDelay is how long clearances are collected until they are published together.
	clearanceDelay = 200 * time.Millisecond
	// quarantinePruneInterval is the time between removals of evidence that has expired.
	quarantinePruneInterval = 5 * time.Second
	// firstPublicationDelay is how long a node that starts waits with its record for its
	// earlier one, which the new one replaces in the store.
	firstPublicationDelay = 2 * time.Second
)

// place returns where a request for the service may run, and the candidates. It takes no lock
// while there is no evidence against any request.
func (t *tables) place(now time.Time, f quarantine.Fingerprint, service string) (quarantine.Placement, []quarantine.Candidate) {
	if !t.hasEvidence.Load() {
		return quarantine.Placement{Only: -1}, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.placeAmong(now, f, service, t.mu.roster.Serving(service))
}

// placeAmong returns where a request for the service may run among its serving targets, and these
// as candidates. The lock is held.
func (t *tables) placeAmong(now time.Time, f quarantine.Fingerprint, service string, serving []*roster.Record) (quarantine.Placement, []quarantine.Candidate) {
	if !t.mu.quarantine.Has(f) {
		return quarantine.Placement{Only: -1}, nil
	}
	candidates := candidatesOf(serving)
	return t.mu.quarantine.Place(now, f, service, t.mu.roster.Known(service), candidates), candidates
}

func candidatesOf(records []*roster.Record) []quarantine.Candidate {
	candidates := make([]quarantine.Candidate, len(records))
	for i, r := range records {
		candidates[i] = quarantine.Candidate{Instance: r.Instance, Version: r.Target.Version}
	}
	return candidates
}

// clearancesFor returns the clearances for a request that has run to a response on the software.
func (t *tables) clearancesFor(f quarantine.Fingerprint, ranOn quarantine.Software) []quarantine.Clearance {
	if !t.hasEvidence.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.quarantine.Clear(f, ranOn)
}

// mostSuspicious returns the requests in flight that are reported for a crash.
func (t *tables) mostSuspicious(inFlight []quarantine.Fingerprint) []quarantine.Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.quarantine.MostSuspicious(inFlight)
}

// restrict limits the candidates for a request to those that may run it. It reports whether
// evidence against the request leaves none. The tables' lock is held.
func (d *dispatcher) restrict(r *request, candidates []*roster.Record) (allowed []*roster.Record, held bool) {
	r.placement = quarantine.Placement{}
	if !d.tables.hasEvidence.Load() {
		return candidates, false
	}
	if !r.hasFingerprint {
		r.fingerprint = quarantine.FingerprintOfParts(
			&quarantine.Request{Account: r.accountName(), Method: r.Method, Host: r.Host, URI: r.URI, Body: r.Body}, r.Rest)
		r.hasFingerprint = true
	}
	r.placement, _ = d.tables.placeAmong(d.now(), r.fingerprint, r.service, candidates)
	switch {
	case r.placement.Status == quarantine.Free:
		return candidates, false
	case len(r.placement.Spared) > 0:
		for _, i := range r.placement.Spared {
			allowed = append(allowed, candidates[i])
		}
		return allowed, false
	case r.placement.Only < 0:
		return nil, true
	}
	return candidates[r.placement.Only : r.placement.Only+1], false
}

// heldWhy returns why a request ends that may run nowhere because of evidence against it.
func (r *request) heldWhy() string {
	if r.placement.Status == quarantine.Quarantined {
		return "quarantined"
	}
	return "suspect"
}

// targetCrashed reports a crash of the local target to all nodes.
func (n *Node) targetCrashed(c quarantine.Crash) {
	if len(c.Suspects) > 0 {
		n.addEvidence(&c)
	}
	n.targetChanged()
}

// requestsCleared reports to all nodes that requests have run to a response, a moment later
// together with others.
func (n *Node) requestsCleared(clearances []quarantine.Clearance) {
	n.addEvidence(nil, clearances...)
	if n.clearing.CompareAndSwap(false, true) {
		time.AfterFunc(clearanceDelay, func() {
			n.clearing.Store(false)
			n.publishEvidence()
		})
	}
}

// publishEvidence publishes the node's record with what it has seen.
func (n *Node) publishEvidence() {
	n.mu.Lock()
	n.mu.record.Sequence++
	record := n.mu.record
	n.mu.Unlock()
	n.announce(record)
}

// addEvidence adds a crash, nil if there is none, and clearances to the node's own report.
func (n *Node) addEvidence(c *quarantine.Crash, clearances ...quarantine.Clearance) {
	n.mu.Lock()
	n.mu.record.Quarantine.Add(c, clearances...)
	report := n.mu.record.Quarantine
	n.mu.Unlock()
	n.mergeEvidence(n.settings.Name, report)
}

// adoptEvidence adds what an earlier process of this instance had seen to the own report. It
// reports whether that is new.
func (n *Node) adoptEvidence(earlier quarantine.Report) bool {
	n.mu.Lock()
	before := n.mu.record.Quarantine
	joined := quarantine.Join(before, earlier)
	n.mu.record.Quarantine = joined
	n.mu.Unlock()
	return joined.Size() > before.Size()
}

// mergeEvidence adds the report of an instance to the table. Requests that have just completed
// at the local target are cleared at once.
func (n *Node) mergeEvidence(instance string, report quarantine.Report) {
	if report.IsEmpty() {
		return
	}
	n.tables.mu.Lock()
	changes := n.tables.mu.quarantine.Merge(n.now(), instance, report)
	n.tables.hasEvidence.Store(!n.tables.mu.quarantine.IsEmpty())
	n.tables.mu.Unlock()
	var refuted []quarantine.Clearance
	local := n.delivery.target()
	ranOn := quarantine.Software{Service: local.Service, Version: local.Version}
	for i := range changes {
		n.log.quarantineChanged(&changes[i], instance)
		n.metrics.quarantine.Add(changes[i].To.String(), 1)
		if c := &changes[i]; c.To != quarantine.Free && n.delivery.refutes(c.Fingerprint, c.Since.UnixMilli()) {
			refuted = append(refuted, n.tables.clearancesFor(c.Fingerprint, ranOn)...)
		}
	}
	if len(refuted) > 0 {
		n.requestsCleared(refuted)
	}
}

// pruneQuarantine forgets evidence that has expired.
func (n *Node) pruneQuarantine() {
	n.tables.mu.Lock()
	ended := n.tables.mu.quarantine.Prune(n.now())
	n.tables.hasEvidence.Store(!n.tables.mu.quarantine.IsEmpty())
	n.tables.mu.Unlock()
	for i := range ended {
		n.log.quarantineChanged(&ended[i], "expiry")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.mu.record.Quarantine.IsEmpty() {
		return
	}
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	n.mu.record.Quarantine = n.tables.mu.quarantine.PruneReport(n.now(), n.mu.record.Quarantine)
}

// suspects returns the number of requests that are suspects, and of those in quarantine.
func (n *Node) suspects() (suspects, quarantined int) {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	return n.tables.mu.quarantine.Len(n.now())
}

// crashedReply is the reply to a call during which the target crashed.
func crashedReply() *link.Reply {
	return &link.Reply{Outcome: link.OutcomeUnknown, Reason: link.ReasonCrashed, Arrived: true}
}
