package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// quarantineCrashes is the number of crashes from which a request is in quarantine.
	quarantineCrashes = 3
	// apartCrashes is the number of crashes from which a suspect runs apart from others.
	apartCrashes = 2
	// baseQuarantine is the length of the first quarantine. It doubles with each further crash
	// up to maxQuarantine.
	baseQuarantine = 10 * time.Minute
	maxQuarantine  = 6 * time.Hour
	// suspectMemory is how long evidence against a suspect is kept, and quarantineMemory that
	// against a request that is or was in quarantine.
	suspectMemory    = 1 * time.Hour
	quarantineMemory = 24 * time.Hour
	// maxFingerprints bounds the fingerprints in a table. Those with the fewest crashes, and of
	// these the oldest, are forgotten first.
	maxFingerprints = 4096
	// maxCrashes bounds the crashes that are kept for one fingerprint.
	maxCrashes = 16
	// maxSoftware bounds the kinds of software that are kept for one crash.
	maxSoftware = 8
)

// Status is what is known of a request.
type Status uint8

const (
	// Free means that there is no evidence against the request.
	Free Status = iota
	// Suspect means that the request was in flight at a crash and has not completed since.
	Suspect
	// Quarantined means that the request is refused.
	Quarantined
)

var statusNames = [...]string{"free", "suspect", "quarantined"}

// String returns the status's name.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Status) UnmarshalText(text []byte) error {
	i := slices.Index(statusNames[:], string(text))
	if i < 0 {
		return errors.Newf("status of a request: unknown %.40q", text)
	}
	*s = Status(i)
	return nil
}

// crashID identifies a crash.
type crashID struct {
	instance string
	born     int64
}

// evidence is one crash at which a request was in flight.
type evidence struct {
	at       int64 // Unix milliseconds
	software Software
	reported bool // false if only its clearance is known yet
	released bool // cleared whatever software ran the request
	// ranOn is the software that has run the request to a response since.
	ranOn []Software
}

// isActive reports whether the evidence is known and not refuted.
func (e *evidence) isActive() bool {
	return e.reported && !e.released && !slices.Contains(e.ranOn, e.software)
}

// addClearance records that the request has run on the software since.
func (e *evidence) addClearance(ranOn Software) {
	switch {
	case ranOn.Service == "":
		e.released = true
	case len(e.ranOn) < maxSoftware && !slices.Contains(e.ranOn, ranOn):
		e.ranOn = append(e.ranOn, ranOn)
	}
}

// entry holds the evidence against one fingerprint.
type entry struct{ crashes map[crashID]*evidence }

// Table holds the evidence that all nodes have reported.
type Table struct {
	entries map[Fingerprint]*entry
	// lastCrash is the latest crash beside each instance, in Unix milliseconds.
	lastCrash map[string]int64
	pruned    time.Time // when expired evidence was last removed
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[Fingerprint]*entry{}, lastCrash: map[string]int64{}}
}

// Change is a change of the status of a request.
type Change struct {
	Fingerprint Fingerprint
	From, To    Status
	Crashes     int       // at which it was in flight and that aren't refuted
	Since       time.Time // the first of them
	Until       time.Time // end of the quarantine
}

// Merge adds the report of an instance to the table and returns the requests whose status
// it has changed.
func (t *Table) Merge(now time.Time, instance string, r Report) []Change {
	if r.IsEmpty() {
		return nil
	}
	before := map[Fingerprint]Status{}
	touch := func(f Fingerprint, id crashID) *evidence {
		if _, ok := before[f]; !ok {
			before[f] = t.status(now, f)
		}
		return t.evidence(f, id)
	}
	for i := range r.Crashes {
		c := &r.Crashes[i]
		at := min(c.At, now.UnixMilli()) // the witness's clock may be ahead
		t.lastCrash[instance] = max(t.lastCrash[instance], at)
		for _, f := range c.Suspects[:min(len(c.Suspects), MaxSuspects)] {
			e := touch(f, crashID{instance, c.Born})
			if !e.reported {
				e.at, e.software, e.reported = at, Software{c.Service, c.Version}, true
			}
		}
	}
	for i := range r.Clearances {
		c := &r.Clearances[i]
		for _, f := range c.Cleared[:min(len(c.Cleared), MaxSuspects)] {
			e := touch(f, crashID{c.Instance, c.Born})
			e.addClearance(c.RanOn)
			if !e.reported {
				e.at = min(c.At, now.UnixMilli())
			}
		}
	}
	t.bound(before)
	return t.changes(now, before)
}

// changes returns the fingerprints whose status isn't the one before, sorted.
func (t *Table) changes(now time.Time, before map[Fingerprint]Status) []Change {
	var changes []Change
	for f, from := range before {
		if to := t.status(now, f); to != from {
			changes = append(changes, t.change(now, f, from))
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return changes
}

func (t *Table) change(now time.Time, f Fingerprint, from Status) Change {
	c := Change{Fingerprint: f, From: from, To: t.status(now, f)}
	if e := t.entries[f]; e != nil {
		var first int64
		c.Crashes, first, _ = e.active()
		c.Since, c.Until = time.UnixMilli(first), e.until()
	}
	return c
}

// evidence returns the evidence of the crash against a fingerprint, and creates it if needed.
func (t *Table) evidence(f Fingerprint, id crashID) *evidence {
	known := t.entries[f]
	if known == nil {
		known = &entry{crashes: map[crashID]*evidence{}}
		t.entries[f] = known
	}
	e := known.crashes[id]
	if e == nil {
		e = &evidence{}
		known.crashes[id] = e
	}
	return e
}

// bound forgets crashes and fingerprints beyond the limits. Only touched entries may exceed
// that of crashes.
func (t *Table) bound(touched map[Fingerprint]Status) {
	for f := range touched {
		if e := t.entries[f]; e != nil {
			e.bound()
		}
	}
	if len(t.entries) <= maxFingerprints {
		return
	}
	type candidate struct {
		fingerprint Fingerprint
		crashes     int
		last        int64
	}
	all := make([]candidate, 0, len(t.entries))
	for f, e := range t.entries {
		crashes, _, last := e.active()
		all = append(all, candidate{f, crashes, last})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(a.last, b.last), slices.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	const spare = maxFingerprints / 16 // so that not each further one needs a pass over all
	for _, c := range all[:len(all)-maxFingerprints+spare] {
		delete(t.entries, c.fingerprint)
	}
}

// bound forgets the oldest crashes beyond the limit.
func (e *entry) bound() {
	for len(e.crashes) > maxCrashes {
		var oldest crashID
		found := false
		for id, c := range e.crashes {
			o := e.crashes[oldest]
			if !found || c.at < o.at || c.at == o.at && (id.instance < oldest.instance || id.instance == oldest.instance && id.born < oldest.born) {
				oldest, found = id, true
			}
		}
		delete(e.crashes, oldest)
	}
}

// active returns the number of crashes that aren't refuted, and the times of the first and the
// last of them in Unix milliseconds.
func (e *entry) active() (crashes int, first, last int64) {
	for _, c := range e.crashes {
		if !c.isActive() {
			continue
		}
		if crashes == 0 || c.at < first {
			first = c.at
		}
		crashes++
		last = max(last, c.at)
	}
	return crashes, first, last
}

// until returns when the quarantine ends, zero for one that hasn't begun.
func (e *entry) until() time.Time {
	crashes, _, last := e.active()
	if crashes < quarantineCrashes {
		return time.Time{}
	}
	length := min(baseQuarantine<<(crashes-quarantineCrashes), maxQuarantine)
	return time.UnixMilli(last).Add(length)
}

// status returns the status of a fingerprint, without regard to versions of targets.
func (t *Table) status(now time.Time, f Fingerprint) Status {
	e := t.entries[f]
	if e == nil {
		return Free
	}
	crashes, _, _ := e.active()
	switch {
	case crashes == 0:
		return Free
	case now.Before(e.until()):
		return Quarantined
	}
	return Suspect
}

// hasCrashed reports whether the request was in flight when a target with that software crashed.
func (e *entry) hasCrashed(software Software) bool {
	for _, c := range e.crashes {
		if c.isActive() && c.software == software {
			return true
		}
	}
	return false
}

// isSpared reports whether the request has run to a response on the software and hasn't crashed it.
func (e *entry) isSpared(software Software) bool {
	if software.Version == "" || e.hasCrashed(software) {
		return false
	}
	for _, c := range e.crashes {
		if slices.Contains(c.ranOn, software) {
			return true
		}
	}
	return false
}

// IsEmpty reports whether there is no evidence against any request.
func (t *Table) IsEmpty() bool { return len(t.entries) == 0 }

// Has reports whether there is evidence against the request, refuted or not.
func (t *Table) Has(f Fingerprint) bool { return t.entries[f] != nil }

// Len returns the number of requests that are suspects, and of those in quarantine.
func (t *Table) Len(now time.Time) (suspects, quarantined int) {
	for f := range t.entries {
		switch t.status(now, f) {
		case Suspect:
			suspects++
		case Quarantined:
			quarantined++
		}
	}
	return suspects, quarantined
}

// Clear returns the clearances for a request that has run to a response on the software, or that
// an operator has released, without a service then: one for each crash that is evidence against it.
// The caller adds them to the report of its own instance with Report.Add and merges that.
func (t *Table) Clear(f Fingerprint, ranOn Software) []Clearance {
	e := t.entries[f]
	if e == nil {
		return nil
	}
	var clearances []Clearance
	for id, c := range e.crashes {
		if c.isActive() && !slices.Contains(c.ranOn, ranOn) {
			clearances = append(clearances, Clearance{
				Instance: id.instance, Born: id.born, At: c.at, RanOn: ranOn, Cleared: []Fingerprint{f},
			})
		}
	}
	slices.SortFunc(clearances, compareClearances)
	return clearances
}

// MostSuspicious returns the requests to report for a crash: at most MaxSuspects, those with the
// most crashes first, in the given order otherwise.
func (t *Table) MostSuspicious(inFlight []Fingerprint) []Fingerprint {
	ranked := slices.Clone(inFlight)
	crashes := func(f Fingerprint) int {
		if e := t.entries[f]; e != nil {
			n, _, _ := e.active()
			return n
		}
		return 0
	}
	slices.SortStableFunc(ranked, func(a, b Fingerprint) int { return cmp.Compare(crashes(b), crashes(a)) })
	return ranked[:min(len(ranked), MaxSuspects)]
}

// Prune forgets evidence that has expired. It returns the requests whose quarantine has ended
// with time since the last call; they are suspects again.
func (t *Table) Prune(now time.Time) []Change {
	var ended []Change
	for f, e := range t.entries {
		if until := e.until(); until.After(t.pruned) && !until.After(now) {
			ended = append(ended, t.change(now, f, Quarantined))
		}
		memory := e.memory()
		for id, c := range e.crashes {
			if now.UnixMilli()-c.at >= memory.Milliseconds() {
				delete(e.crashes, id)
			}
		}
		if len(e.crashes) == 0 {
			delete(t.entries, f)
		}
	}
	for instance, at := range t.lastCrash {
		if now.UnixMilli()-at >= suspectMemory.Milliseconds() {
			delete(t.lastCrash, instance)
		}
	}
	t.pruned = now
	slices.SortFunc(ended, func(a, b Change) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return ended
}

// memory returns how long evidence against the fingerprint is kept.
func (e *entry) memory() time.Duration {
	if crashes, _, _ := e.active(); crashes >= quarantineCrashes {
		return quarantineMemory
	}
	return suspectMemory
}

// PruneReport returns the report without what has expired.
func (t *Table) PruneReport(now time.Time, r Report) Report {
	return r.pruned(now.UnixMilli(), func(f Fingerprint) time.Duration {
		if e := t.entries[f]; e != nil {
			return e.memory()
		}
		return suspectMemory
	})
}

// Listed is the state of one request, for operators.
type Listed struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Status      Status      `json:"status"`
	Crashes     int         `json:"crashes"` // that aren't refuted
	Since       time.Time   `json:"since"`   // the first of them
	Last        time.Time   `json:"last"`
	Until       time.Time   `json:"until,omitzero"` // end of the quarantine
	Evidence    []Evidence  `json:"evidence"`
}

// Evidence is one crash at which a request was in flight, for operators.
type Evidence struct {
	Instance string    `json:"instance"` // beside the target that crashed
	Service  string    `json:"service"`
	Version  string    `json:"version,omitempty"` // of the target's software
	At       time.Time `json:"at"`
	Refuted  bool      `json:"refuted,omitempty"` // by a run that completed, or by an operator
}

// List returns the suspects and the requests in quarantine, those with the most crashes first.
func (t *Table) List(now time.Time) []Listed {
	var list []Listed
	for f, e := range t.entries {
		status := t.status(now, f)
		if status == Free {
			continue
		}
		l := Listed{Fingerprint: f, Status: status, Until: e.until()}
		var first, last int64
		l.Crashes, first, last = e.active()
		l.Since, l.Last = time.UnixMilli(first), time.UnixMilli(last)
		for id, c := range e.crashes {
			if c.reported {
				l.Evidence = append(l.Evidence, Evidence{Instance: id.instance, Service: c.software.Service, Version: c.software.Version, At: time.UnixMilli(c.at), Refuted: !c.isActive()})
			}
		}
		slices.SortFunc(l.Evidence, func(a, b Evidence) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Instance, b.Instance)) })
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b Listed) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list
}
