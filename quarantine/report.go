package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxSuspects bounds the fingerprints that are reported for one crash.
	MaxSuspects = 256
	// maxFacts bounds the suspects in the report of one instance, and the cleared ones. Those of
	// the oldest crashes are dropped first.
	maxFacts = 1024
)

// Report is what the node of one instance has seen.
type Report struct {
	Crashes    []Crash     `json:",omitempty"` // of targets beside the instance
	Clearances []Clearance `json:",omitempty"`
}

// Crash is the end of one incarnation of a target, while requests were in flight there.
type Crash struct {
	Born     int64  // start of the incarnation, in Unix milliseconds
	At       int64  // when it ended, in Unix milliseconds by the clock of the witness
	Service  string // of the target
	Version  string `json:",omitempty"` // of the target's software, "" if unknown
	Suspects []Fingerprint
}

// Software is what a target runs: two targets with the same software treat a request alike.
type Software struct {
	Service string
	Version string // "" if unknown
}

// Clearance concerns one crash and requests that have run to a response since, or that an operator
// has released. It refutes the evidence against them if they ran on the software that crashed;
// otherwise it states that the software on which they ran bears them.
type Clearance struct {
	Instance string // beside which the target crashed
	Born     int64  // incarnation that crashed
	At       int64  // when it crashed, in Unix milliseconds
	// RanOn is the software that ran the requests. Without a service it is any: an operator
	// released them, or a node of an earlier build reports it.
	RanOn   Software `json:",omitzero"`
	Cleared []Fingerprint
}

// IsEmpty reports whether the report states nothing.
func (r *Report) IsEmpty() bool { return len(r.Crashes) == 0 && len(r.Clearances) == 0 }

// Join returns the union of two reports of one instance. The reports aren't modified.
func Join(a, b Report) Report {
	if a.IsEmpty() {
		return b
	}
	if b.IsEmpty() {
		return a
	}
	joined := Report{Crashes: slices.Clone(a.Crashes), Clearances: slices.Clone(a.Clearances)}
	for i := range b.Crashes {
		joined.addCrash(b.Crashes[i])
	}
	for i := range b.Clearances {
		joined.addClearance(b.Clearances[i])
	}
	return joined
}

// Add adds a crash and clearances to the report.
func (r *Report) Add(c *Crash, clearances ...Clearance) {
	joined := Report{Crashes: slices.Clone(r.Crashes), Clearances: slices.Clone(r.Clearances)}
	if c != nil {
		joined.addCrash(*c)
	}
	for i := range clearances {
		joined.addClearance(clearances[i])
	}
	*r = joined // copies of the old report are in records that are being sent
}

func (r *Report) addCrash(c Crash) {
	i, found := slices.BinarySearchFunc(r.Crashes, c.Born, func(known Crash, born int64) int { return cmp.Compare(known.Born, born) })
	if found {
		r.Crashes[i].Suspects = union(r.Crashes[i].Suspects, c.Suspects)
		return
	}
	c.Suspects = union(nil, c.Suspects)
	r.Crashes = slices.Insert(r.Crashes, i, c)
	for r.suspects() > maxFacts {
		r.Crashes = slices.Delete(r.Crashes, 0, 1)
	}
}

func compareClearances(a, b Clearance) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Born, b.Born),
		cmp.Compare(a.RanOn.Service, b.RanOn.Service), cmp.Compare(a.RanOn.Version, b.RanOn.Version))
}

func (r *Report) addClearance(c Clearance) {
	i, found := slices.BinarySearchFunc(r.Clearances, c, compareClearances)
	if found {
		r.Clearances[i].Cleared = union(r.Clearances[i].Cleared, c.Cleared)
		return
	}
	c.Cleared = union(nil, c.Cleared)
	r.Clearances = slices.Insert(r.Clearances, i, c)
	for r.cleared() > maxFacts {
		r.Clearances = slices.Delete(r.Clearances, 0, 1)
	}
}

// union returns the fingerprints of both lists, sorted, without repetitions, and at most
// MaxSuspects of them.
func union(a, b []Fingerprint) []Fingerprint {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y Fingerprint) int { return slices.Compare(x[:], y[:]) })
	all = slices.Compact(all)
	return all[:min(len(all), MaxSuspects)]
}

// Size returns the number of facts in the report.
func (r *Report) Size() int { return r.suspects() + r.cleared() }

func (r *Report) suspects() int {
	size := 0
	for i := range r.Crashes {
		size += len(r.Crashes[i].Suspects)
	}
	return size
}

func (r *Report) cleared() int {
	size := 0
	for i := range r.Clearances {
		size += len(r.Clearances[i].Cleared)
	}
	return size
}

// pruned returns the report without what has expired at the time, in Unix milliseconds.
// memory returns how long evidence against a fingerprint is kept.
func (r *Report) pruned(now int64, memory func(Fingerprint) time.Duration) Report {
	retained := func(fingerprints []Fingerprint, at int64) []Fingerprint {
		var kept []Fingerprint
		for _, f := range fingerprints {
			if now-at < memory(f).Milliseconds() {
				kept = append(kept, f)
			}
		}
		return kept
	}
	var kept Report
	for _, c := range r.Crashes {
		if c.Suspects = retained(c.Suspects, c.At); len(c.Suspects) > 0 {
			kept.Crashes = append(kept.Crashes, c)
		}
	}
	for _, c := range r.Clearances {
		if c.Cleared = retained(c.Cleared, c.At); len(c.Cleared) > 0 {
			kept.Clearances = append(kept.Clearances, c)
		}
	}
	return kept
}
