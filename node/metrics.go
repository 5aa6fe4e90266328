package node

import (
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies from 100 microseconds to two minutes are kept with two digits.
	lowestLatency  = 100 * time.Microsecond
	highestLatency = 2 * time.Minute
	latencyDigits  = 2
)

// metrics counts what the node does. The variables belong to the node, so that
// several can run in one process.
type metrics struct {
	answers  expvar.Map // to callers and the own target, by status
	ends     expvar.Map // of requests, by reason
	refused  expvar.Map // at the entry, by priority
	repeats  expvar.Int // requests sent once more
	runs     expvar.Map // calls for the own target, by outcome and reason
	store    expvar.Map // failures of the store, by dependency
	requests histogram  // time to the answer of a request
	targets  histogram  // time that the own target takes
	gauges   map[string]func() int64
}

// histogram guards a histogram of latencies.
type histogram struct {
	mu struct {
		sync.Mutex
		values *hdrhistogram.Histogram
	}
}

func newMetrics() *metrics {
	m := &metrics{gauges: map[string]func() int64{}}
	for _, variable := range []*expvar.Map{&m.answers, &m.ends, &m.refused, &m.runs, &m.store} {
		variable.Init()
	}
	m.requests.init()
	m.targets.init()
	return m
}

func (h *histogram) init() {
	h.mu.values = hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), latencyDigits)
}

func (h *histogram) record(d time.Duration) {
	value := min(max(d, lowestLatency), highestLatency).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.mu.values.RecordValue(value) // within the bounds
}

func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.mu.values
	return fmt.Sprintf(`{"count":%d,"p50":%d,"p90":%d,"p99":%d,"max":%d}`,
		v.TotalCount(), v.ValueAtQuantile(50), v.ValueAtQuantile(90), v.ValueAtQuantile(99), v.Max())
}

// ServeHTTP writes all variables as one JSON object; latencies are in
// microseconds.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var text strings.Builder
	variable := func(name string, value fmt.Stringer) { fmt.Fprintf(&text, "%q: %s,\n", name, value) }
	variable("answers", &m.answers)
	variable("request_ends", &m.ends)
	variable("refused_at_entry", &m.refused)
	variable("repeats", &m.repeats)
	variable("target_calls", &m.runs)
	variable("store_failures", &m.store)
	variable("request_latency_us", &m.requests)
	variable("target_latency_us", &m.targets)
	for name, read := range m.gauges {
		fmt.Fprintf(&text, "%q: %d,\n", name, read())
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(w, "{\n%s\n}\n", strings.TrimSuffix(text.String(), ",\n")) // the reader may have left
}
