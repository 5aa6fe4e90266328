package target

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// ReportMode is how truthful the load report is.
type ReportMode string

// Modes of the load report.
const (
	ReportTrue  ReportMode = "true"  // the counts of now
	ReportLate  ReportMode = "late"  // the counts of LateMs ago
	ReportStuck ReportMode = "stuck" // the counts of when the mode was set
	ReportLie   ReportMode = "lie"   // an idle target's counts
)

// Control is the body of POST /control: the behaviour that changes at run
// time. Fields that are left out stay as they are.
type Control struct {
	Slow        *float64    `json:"slow,omitempty"`         // service times, times this
	Freeze      *bool       `json:"freeze,omitempty"`       // calls take slots and don't end
	ShedPercent *float64    `json:"shed_percent,omitempty"` // calls refused as not run
	DropPercent *float64    `json:"drop_percent,omitempty"` // calls that run and whose answer is lost
	Report      *ReportMode `json:"report,omitempty"`
	LateMs      *int64      `json:"late_ms,omitempty"` // of ReportLate
	OneIn       *int        `json:"one_in,omitempty"`  // one run in so many is a straggler, 0 for none
	Straggler   *float64    `json:"straggler,omitempty"`
	Operation   string      `json:"operation,omitempty"` // that OneIn and Straggler are for; "" for all
}

// behaviour is the run-time state that Control changes.
type behaviour struct {
	mu         sync.Mutex
	slow       float64
	freeze     bool
	shed, drop float64 // shares of calls
	report     ReportMode
	late       time.Duration
	stuckAt    loadReport
	stragglers map[string]stragglers // by operation
}

// stragglers is how often runs take how many times as long.
type stragglers struct {
	oneIn  int
	factor float64
}

func newBehaviour(settings *Settings) *behaviour {
	b := &behaviour{slow: 1, report: ReportTrue, stragglers: map[string]stragglers{}}
	for _, op := range settings.Operations {
		b.stragglers[op.Name] = stragglers{oneIn: op.OneIn, factor: op.Straggler}
	}
	return b
}

func (t *Target) control(w http.ResponseWriter, r *http.Request) {
	var change Control
	decoder := json.NewDecoder(io.LimitReader(r.Body, 4096))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.behaviour.apply(change, t.currentLoad())
}

func (b *behaviour) apply(c Control, load loadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	setIf(&b.slow, c.Slow)
	setIf(&b.freeze, c.Freeze)
	setIf(&b.report, c.Report)
	if c.ShedPercent != nil {
		b.shed = *c.ShedPercent / 100
	}
	if c.DropPercent != nil {
		b.drop = *c.DropPercent / 100
	}
	if c.LateMs != nil {
		b.late = time.Duration(*c.LateMs) * time.Millisecond
	}
	if c.Report != nil && *c.Report == ReportStuck {
		b.stuckAt = load
	}
	for name, s := range b.stragglers {
		if c.Operation == "" || c.Operation == name {
			setIf(&s.oneIn, c.OneIn)
			setIf(&s.factor, c.Straggler)
			b.stragglers[name] = s
		}
	}
}

func setIf[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// speed returns the factor on service times, and whether calls are frozen.
func (b *behaviour) speed() (factor float64, frozen bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slow, b.freeze
}

// losses returns the shares of calls to shed and of answers to drop.
func (b *behaviour) losses() (shed, drop float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shed, b.drop
}

func (b *behaviour) stragglersOf(operation string) stragglers {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stragglers[operation]
}
