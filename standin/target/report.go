package target

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// loadReport is the body of GET /load.
type loadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}

// Sampling of the load, for late reports.
const (
	samplePeriod = 50 * time.Millisecond
	maxSamples   = 400 // 20 s of history
)

// history holds the last maxSamples samples of the load, the latest at the end.
type history struct {
	mu      sync.Mutex
	samples []loadReport
}

func (h *history) add(sample loadReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == maxSamples {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:maxSamples-1]
	}
	h.samples = append(h.samples, sample)
}

// before returns the sample of the given age, or the oldest one if all are younger.
func (h *history) before(age time.Duration) loadReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == 0 {
		return loadReport{}
	}
	index := len(h.samples) - 1 - int(age/samplePeriod)
	return h.samples[max(index, 0)]
}

// currentLoad returns the actual load.
func (t *Target) currentLoad() loadReport {
	running, queued := t.slots.counts()
	return loadReport{Running: running, Queued: queued, Slots: t.settings.Slots}
}

// serveLoad serves GET /load, with the load report of the current mode.
func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	t.journal.writeEnd(run{operation: ReportRun, started: now, ended: now})
	t.behaviour.mu.Lock()
	mode, late, stuckAt := t.behaviour.reportMode, t.behaviour.reportDelay, t.behaviour.stuckReport
	t.behaviour.mu.Unlock()
	report := t.currentLoad()
	switch mode {
	case ReportLate:
		report = t.history.before(late)
	case ReportStuck:
		report = stuckAt
	case ReportLie:
		report = loadReport{Slots: t.settings.Slots}
	}
	report.Slots = t.settings.Slots
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// serveHealth serves GET /health. A probe takes ProbeCost, during which it holds a
// slot if one is free.
func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	if t.state.Load() != stateReady {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	started := time.Now()
	if t.slots.tryAcquire() {
		defer t.slots.release()
	}
	pause(r.Context(), t.settings.ProbeCost)
	t.journal.writeEnd(run{operation: ProbeRun, started: started, ended: time.Now()})
}
