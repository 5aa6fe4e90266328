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
	// Histograms record latencies in this range with latencyDigits significant digits.
	lowestLatency  = 100 * time.Microsecond
	highestLatency = 2 * time.Minute
	latencyDigits  = 2
)

// metrics holds the metrics of one node. They aren't published globally, so that several
// nodes can run in one process.
type metrics struct {
	responses      expvar.Map // to requests of callers and of the local target, by status
	ends           expvar.Map // of requests, by reason
	refused        expvar.Map // at the entry, by priority
	refusedRetries expvar.Map // at the entry, as retries don't suffice, by service
	deniedRetries  expvar.Int // calls for the local target that the retry budget had no room for
	retries        expvar.Int // sends after the request had reached a target
	targetCalls    expvar.Map // calls for the local target, by outcome and reason
	targetEnds     expvar.Map // ends of the local target's process, planned or by a crash
	targetChecks   expvar.Map // health checks of a target that wasn't confirmed, by what became of them
	quarantine     expvar.Map // requests that became suspects, were quarantined or released, by new status
	invalidLoads   expvar.Int // loads that the local target stated and that can't be used
	closedClients  expvar.Map // connections of clients that were closed or refused to bound what they hold, by cause
	domainRequests expvar.Map // requests sent to other failure domains, by service and reason
	domainBytes    expvar.Map // bytes of bodies sent to and received from them, by service
	domainShares   expvar.Map // percentage of the requests that leaves the failure domain, by service
	storeFailures  expvar.Map // failed calls to the store, by dependency
	proofs         expvar.Map // what the node did to prove that its configuration is recent
	storeEpochs    expvar.Map // what responses of the store showed about its epoch, by finding
	requestLatency histogram  // from the arrival of a request to its end
	targetLatency  histogram  // time until the local target responds
	gauges         map[string]func() int64
}

// histogram is a histogram of latencies in microseconds, safe for concurrent use.
type histogram struct {
	mu struct {
		sync.Mutex
		values *hdrhistogram.Histogram
	}
}

func newMetrics() *metrics {
	m := &metrics{gauges: map[string]func() int64{}}
	for _, variable := range []*expvar.Map{
		&m.responses, &m.ends, &m.refused, &m.targetCalls, &m.targetEnds, &m.targetChecks, &m.quarantine, &m.closedClients,
		&m.storeFailures, &m.storeEpochs, &m.proofs, &m.refusedRetries,
		&m.domainRequests, &m.domainBytes, &m.domainShares,
	} {
		variable.Init()
	}
	m.requestLatency.init()
	m.targetLatency.init()
	return m
}

func (h *histogram) init() {
	h.mu.values = hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), latencyDigits)
}

func (h *histogram) record(d time.Duration) {
	value := min(max(d, lowestLatency), highestLatency).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.mu.values.RecordValue(value) // can't fail: the value is within the range
}

func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.mu.values
	return fmt.Sprintf(`{"count":%d,"p50":%d,"p90":%d,"p99":%d,"max":%d}`,
		v.TotalCount(), v.ValueAtQuantile(50), v.ValueAtQuantile(90), v.ValueAtQuantile(99), v.Max())
}

// ServeHTTP writes all metrics as one JSON object. Latencies are in microseconds.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var text strings.Builder
	variable := func(name string, value fmt.Stringer) { fmt.Fprintf(&text, "%q: %s,\n", name, value) }
	variable("answers", &m.responses)
	variable("request_ends", &m.ends)
	variable("refused_at_entry", &m.refused)
	variable("refused_for_retries", &m.refusedRetries)
	variable("repeats", &m.retries)
	variable("repeats_denied", &m.deniedRetries)
	variable("target_calls", &m.targetCalls)
	variable("target_ends", &m.targetEnds)
	variable("target_checks", &m.targetChecks)
	variable("quarantine_changes", &m.quarantine)
	variable("target_load_invalid", &m.invalidLoads)
	variable("clients_closed", &m.closedClients)
	variable("other_domain_requests", &m.domainRequests)
	variable("other_domain_bytes", &m.domainBytes)
	variable("other_domain_share_percent", &m.domainShares)
	variable("store_failures", &m.storeFailures)
	variable("store_epochs", &m.storeEpochs)
	variable("configuration_proofs", &m.proofs)
	variable("request_latency_us", &m.requestLatency)
	variable("target_latency_us", &m.targetLatency)
	for name, read := range m.gauges {
		fmt.Fprintf(&text, "%q: %d,\n", name, read())
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(w, "{\n%s\n}\n", strings.TrimSuffix(text.String(), ",\n")) // the client may have disconnected
}

// setDomainShare sets the share of the requests for a service that leaves the failure domain.
func (m *metrics) setDomainShare(service string, share float64) {
	percent, ok := m.domainShares.Get(service).(*expvar.Int)
	if !ok {
		percent = new(expvar.Int)
		m.domainShares.Set(service, percent)
	}
	percent.Set(int64(100*share + 0.5))
}

// retainDomainShares prunes the shares of services that are not listed.
func (m *metrics) retainDomainShares(listed map[string]bool) {
	var unlisted []string // Do holds the lock that Delete needs
	m.domainShares.Do(func(v expvar.KeyValue) {
		if !listed[v.Key] {
			unlisted = append(unlisted, v.Key)
		}
	})
	for _, service := range unlisted {
		m.domainShares.Delete(service)
	}
}
