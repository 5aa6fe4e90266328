package quarantine

import (
	"hash/fnv"
	"slices"
	"time"
)

// soleTargetDelay is how long after a crash a suspect isn't run at the only target of its
// service that is up. The others are usually back by then; if they are gone for good, an innocent
// request must not be held any longer.
const soleTargetDelay = 10 * time.Second

// versionTrialDelay is how long after its last crash a request in quarantine may run at a target
// of another service or version. It doubles with each further crash, so that a request that is
// rerouted, or whose targets are replaced, again and again, crashes few of them.
const versionTrialDelay = 15 * time.Second

// Candidate is a target that could run a request.
type Candidate struct {
	Instance string
	Version  string // of the target's software, "" if unknown
}

// Placement tells where a request may run.
type Placement struct {
	Status  Status
	Crashes int // at which it was in flight and that aren't refuted
	// Spared are the indexes of the candidates whose software has run the request to a response,
	// and isn't known to crash by it. They may run it as any other request.
	Spared []int
	// Only is the index of the only candidate that may run the request if it is not Free and no
	// candidate is spared; -1 if none may.
	Only int
	// Until is when a quarantine ends, zero if there is none.
	Until time.Time
}

// Allows reports whether the instance may run the request.
func (p Placement) Allows(candidates []Candidate, instance string) bool {
	return p.Status == Free || p.Only >= 0 && candidates[p.Only].Instance == instance || p.Spares(candidates, instance)
}

// Spares reports whether the instance may run the request without probation.
func (p Placement) Spares(candidates []Candidate, instance string) bool {
	return p.Status == Free || slices.ContainsFunc(p.Spared, func(i int) bool { return candidates[i].Instance == instance })
}

// IsApart reports whether the request must not run beside other suspects.
func (p Placement) IsApart() bool { return p.Crashes >= apartCrashes }

// Place returns where a request for the service may run. known is the number of instances of
// the service, those included whose targets are down. The candidates are those whose targets
// accept requests.
func (t *Table) Place(now time.Time, f Fingerprint, service string, known int, candidates []Candidate) Placement {
	e := t.entries[f]
	if e == nil {
		return Placement{Only: -1}
	}
	p := Placement{Status: t.status(now, f), Only: -1}
	if p.Status == Free {
		return p
	}
	crashes, _, last := e.active()
	p.Crashes, p.Until = crashes, e.until()
	for i := range candidates {
		if e.isSpared(Software{service, candidates[i].Version}) {
			p.Spared = append(p.Spared, i)
		}
	}
	if len(p.Spared) > 0 {
		return p
	}
	isSole := len(candidates) < 2 && known > len(candidates)
	if isSole && now.Before(time.UnixMilli(last).Add(soleTargetDelay)) {
		return p
	}
	trialAt := time.UnixMilli(last).Add(versionTrialDelay << max(crashes-quarantineCrashes, 0))
	p.Only = t.probationTarget(service, candidates, func(c *Candidate) bool {
		return p.Status != Quarantined || c.Version != "" && !now.Before(trialAt) && !e.hasCrashed(Software{service, c.Version})
	})
	return p
}

// probationTarget returns the candidate that runs suspects: the one that crashed last, as
// it has the least to lose, or else one that all nodes choose alike.
func (t *Table) probationTarget(service string, candidates []Candidate, allowed func(*Candidate) bool) int {
	best := -1
	var bestCrash int64
	var bestRank uint64
	for i := range candidates {
		c := &candidates[i]
		if !allowed(c) {
			continue
		}
		crash, rank := t.lastCrash[c.Instance], rankOf(service, c.Instance)
		if best < 0 || crash > bestCrash || crash == bestCrash && rank < bestRank {
			best, bestCrash, bestRank = i, crash, rank
		}
	}
	return best
}

func rankOf(service, instance string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service)) // a hash returns no error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(instance))
	return h.Sum64()
}
