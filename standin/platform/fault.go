// Package platform emulates the platform's store over HTTP, with faults that are
// set at run time by POST /fault and counts of its calls at GET /stats.
package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// FaultKind names what goes wrong with calls.
type FaultKind string

// Kinds of faults. FaultUp is no fault itself: it ends all that are active.
const (
	FaultUp            FaultKind = "up"           // ends all faults
	FaultDown          FaultKind = "down"         // calls get status 503
	FaultHang          FaultKind = "hang"         // calls get no response
	FaultSlow          FaultKind = "slow"         // calls are delayed by DelayMs
	FaultLoseResponses FaultKind = "lose-answers" // writes take effect, but the connection is closed without a response
	FaultLateEffect    FaultKind = "late-effect"  // as FaultLoseResponses, and the write is applied only after DelayMs
	FaultCopy          FaultKind = "copy"         // happens once: the store's state is copied
	FaultRestore       FaultKind = "restore"      // happens once: the store comes back from the last copy, or empty, in a new epoch
)

// Fault is the body of POST /fault.
type Fault struct {
	Kind        FaultKind `json:"kind"`
	Probability float64   `json:"probability"` // probability that a call is hit, in (0, 1]; 0 means 1
	DurationMs  int64     `json:"duration_ms"` // time until the fault ends, in ms; 0 for until FaultUp
	DelayMs     int64     `json:"delay_ms"`    // delay of FaultSlow and FaultLateEffect, in ms
}

// maxActiveFaults limits the faults that are active at the same time.
const maxActiveFaults = 32

// Check returns an error that lists the invalid fields, or nil.
func (f Fault) Check() error {
	var found error
	switch f.Kind {
	case FaultUp, FaultDown, FaultHang, FaultSlow, FaultLoseResponses, FaultLateEffect, FaultCopy, FaultRestore:
	default:
		found = errors.CombineErrors(found, errors.Newf("kind: unknown fault %q", f.Kind))
	}
	if f.Probability < 0 || f.Probability > 1 {
		found = errors.CombineErrors(found, errors.Newf("probability: %v is outside of 0 to 1", f.Probability))
	}
	if f.DurationMs < 0 || f.DelayMs < 0 {
		found = errors.CombineErrors(found, errors.New("duration_ms, delay_ms: must not be negative"))
	}
	return found
}

// activeFault is a fault with the time at which it ends.
type activeFault struct {
	Fault
	end time.Time // zero if only FaultUp ends it
}

// Faults holds the active faults and decides which of them hit a call. It is safe
// for concurrent use.
type Faults struct {
	mu     sync.Mutex
	random *rand.Rand
	active []activeFault
}

// NewFaults returns a Faults in which none is active. The seed determines which calls are hit.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, 0))}
}

// Set activates a fault, or ends all active ones if its kind is FaultUp.
func (f *Faults) Set(fault Fault, now time.Time) error {
	if err := fault.Check(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault.Kind == FaultUp {
		f.active = nil
		return nil
	}
	if len(f.active) >= maxActiveFaults {
		return errors.Newf("%d faults are active already", maxActiveFaults)
	}
	added := activeFault{Fault: fault}
	if fault.Probability == 0 {
		added.Probability = 1
	}
	if fault.DurationMs > 0 {
		added.end = now.Add(time.Duration(fault.DurationMs) * time.Millisecond)
	}
	f.active = append(f.active, added)
	return nil
}

// Draw returns the faults that hit one call, drawn by their probabilities. It drops
// the faults that have ended.
func (f *Faults) Draw(now time.Time) []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hits []Fault
	kept := f.active[:0]
	for _, a := range f.active {
		if !a.end.IsZero() && !now.Before(a.end) {
			continue
		}
		kept = append(kept, a)
		if f.random.Float64() < a.Probability {
			hits = append(hits, a.Fault)
		}
	}
	f.active = kept
	return hits
}
