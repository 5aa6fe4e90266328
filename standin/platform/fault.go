package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// FaultKind names what goes wrong with calls.
type FaultKind string

// Kinds of faults. FaultUp ends all others.
const (
	FaultUp          FaultKind = "up"           // all is well again
	FaultDown        FaultKind = "down"         // calls answer 503
	FaultHang        FaultKind = "hang"         // calls get no answer
	FaultSlow        FaultKind = "slow"         // calls wait for Delay first
	FaultLoseAnswers FaultKind = "lose-answers" // writes take effect, the connection closes unanswered
	FaultLateEffect  FaultKind = "late-effect"  // the answer is lost, the write is tried after Delay
)

// Fault is the body of POST /fault.
type Fault struct {
	Kind        FaultKind `json:"kind"`
	Probability float64   `json:"probability"` // share of calls in (0, 1]; 0 means 1
	DurationMs  int64     `json:"duration_ms"` // 0: until FaultUp
	DelayMs     int64     `json:"delay_ms"`    // of FaultSlow and FaultLateEffect
}

// maxFaults bounds the faults that are in force at once.
const maxFaults = 32

// Check reports what is wrong with the fault.
func (f Fault) Check() error {
	var found error
	switch f.Kind {
	case FaultUp, FaultDown, FaultHang, FaultSlow, FaultLoseAnswers, FaultLateEffect:
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

// activeFault is a fault that is in force until a time, or for good.
type activeFault struct {
	Fault
	until time.Time // zero: until FaultUp
}

// Faults decides what goes wrong with each call. It is safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	random *rand.Rand
	active []activeFault
}

// NewFaults returns faults that are drawn from the seed; none is in force.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, 0))}
}

// Set puts a fault in force, or ends all with FaultUp.
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
	if len(f.active) >= maxFaults {
		return errors.Newf("%d faults are in force already", maxFaults)
	}
	next := activeFault{Fault: fault}
	if fault.Probability == 0 {
		next.Probability = 1
	}
	if fault.DurationMs > 0 {
		next.until = now.Add(time.Duration(fault.DurationMs) * time.Millisecond)
	}
	f.active = append(f.active, next)
	return nil
}

// Draw returns the faults that hit one call.
func (f *Faults) Draw(now time.Time) []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hits []Fault
	kept := f.active[:0]
	for _, a := range f.active {
		if !a.until.IsZero() && !now.Before(a.until) {
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
