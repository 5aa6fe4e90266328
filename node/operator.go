package node

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/gypsumford/gypsumford/quarantine"
)

// Paths at the metrics address, for operators.
const (
	// QuarantinePath lists the suspects and the requests in quarantine (GET).
	QuarantinePath = "/quarantine"
	// ReleasePath below QuarantinePath releases one request (POST); the evidence against it so
	// far counts no more, at any node.
	ReleasePath = "/{fingerprint}/release"
)

// QuarantineList is the response to GET at QuarantinePath.
type QuarantineList struct {
	Instance string              `json:"instance"`
	Requests []quarantine.Listed `json:"requests"`
}

// Released is the response to POST at ReleasePath.
type Released struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	Crashes     int                    `json:"crashes"` // that count no more
}

// operatorHandler returns the handler of the metrics address.
func (n *Node) operatorHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(QuarantinePath, n.serveQuarantine)
	router.Post(QuarantinePath+ReleasePath, n.serveRelease)
	router.Get(ExplainPath, n.serveExplain)
	router.NotFound(n.metrics.ServeHTTP)
	return router
}

func (n *Node) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	n.tables.mu.Lock()
	list := n.tables.mu.quarantine.List(n.now())
	n.tables.mu.Unlock()
	writeJSON(w, QuarantineList{Instance: n.settings.Name, Requests: list})
}

func (n *Node) serveRelease(w http.ResponseWriter, r *http.Request) {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(chi.URLParam(r, "fingerprint"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	clearances := n.tables.clearancesFor(f, quarantine.Software{})
	if len(clearances) == 0 {
		http.Error(w, "fingerprint "+f.String()+": no crash is known at which this request was in flight", http.StatusNotFound)
		return
	}
	n.addEvidence(nil, clearances...)
	n.publishEvidence()
	n.log.quarantineReleased(f, len(clearances), r.RemoteAddr)
	writeJSON(w, Released{Fingerprint: f, Crashes: len(clearances)})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}
