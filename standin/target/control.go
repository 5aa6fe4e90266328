package target

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// ReportMode is how the load report differs from the actual load.
type ReportMode string

// Modes of the load report.
const (
	ReportTrue  ReportMode = "true"  // the current counts
	ReportLate  ReportMode = "late"  // the counts of LateMs ago
	ReportStuck ReportMode = "stuck" // the counts at the time when the mode was set
	ReportLie   ReportMode = "lie"   // the counts of an idle target
)

// Control is the body of POST /control, which changes the target's behaviour at
// run time. A missing field changes nothing.
type Control struct {
	Slow        *float64    `json:"slow,omitempty"`         // factor on service times
	Freeze      *bool       `json:"freeze,omitempty"`       // calls hold their slots and don't end until it is set to false
	ShedPercent *float64    `json:"shed_percent,omitempty"` // percentage of calls that are refused as not run
	DropPercent *float64    `json:"drop_percent,omitempty"` // percentage of calls that run but get no response
	Report      *ReportMode `json:"report,omitempty"`
	LateMs      *int64      `json:"late_ms,omitempty"`   // age of the counts in ReportLate, in ms
	OneIn       *int        `json:"one_in,omitempty"`    // one run in OneIn is a straggler, 0 for none
	Straggler   *float64    `json:"straggler,omitempty"` // factor on a straggler's service time
	Operation   string      `json:"operation,omitempty"` // operation that OneIn and Straggler apply to; "" for all
}

// behaviour is the state that Control changes at run time.
type behaviour struct {
	mu                         sync.Mutex
	slowFactor                 float64
	frozen                     bool
	shedFraction, dropFraction float64 // fractions of calls
	reportMode                 ReportMode
	reportDelay                time.Duration
	stuckReport                loadReport
	stragglerRates             map[string]stragglerRate // by operation
}

// stragglerRate is how often a run is a straggler, and how much longer it takes.
type stragglerRate struct {
	oneIn  int     // one run in oneIn is a straggler, 0 for none
	factor float64 // on a straggler's service time
}

func newBehaviour(settings *Settings) *behaviour {
	b := &behaviour{slowFactor: 1, reportMode: ReportTrue, stragglerRates: map[string]stragglerRate{}}
	for _, op := range settings.Operations {
		b.stragglerRates[op.Name] = stragglerRate{oneIn: op.OneIn, factor: op.Straggler}
	}
	return b
}

// serveControl serves POST /control.
func (t *Target) serveControl(w http.ResponseWriter, r *http.Request) {
	var change Control
	decoder := json.NewDecoder(io.LimitReader(r.Body, 4096))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.behaviour.apply(change, t.currentLoad())
}

// apply changes the behaviour. The load is the current one, for ReportStuck.
func (b *behaviour) apply(c Control, load loadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	setIfPresent(&b.slowFactor, c.Slow)
	setIfPresent(&b.frozen, c.Freeze)
	setIfPresent(&b.reportMode, c.Report)
	if c.ShedPercent != nil {
		b.shedFraction = *c.ShedPercent / 100
	}
	if c.DropPercent != nil {
		b.dropFraction = *c.DropPercent / 100
	}
	if c.LateMs != nil {
		b.reportDelay = time.Duration(*c.LateMs) * time.Millisecond
	}
	if c.Report != nil && *c.Report == ReportStuck {
		b.stuckReport = load
	}
	for name, s := range b.stragglerRates {
		if c.Operation == "" || c.Operation == name {
			setIfPresent(&s.oneIn, c.OneIn)
			setIfPresent(&s.factor, c.Straggler)
			b.stragglerRates[name] = s
		}
	}
}

// setIfPresent sets the field if there is a value.
func setIfPresent[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// slowdown returns the factor on service times, and whether calls are frozen.
func (b *behaviour) slowdown() (factor float64, frozen bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slowFactor, b.frozen
}

// lossFractions returns the fractions of calls to shed and of responses to drop.
func (b *behaviour) lossFractions() (shed, drop float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shedFraction, b.dropFraction
}

func (b *behaviour) stragglerRate(operation string) stragglerRate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stragglerRates[operation]
}
