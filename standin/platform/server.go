package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/gypsumford/gypsumford/platform/platformtest"
)

// MaxBodyBytes is the largest size of a body that the store accepts.
const MaxBodyBytes = 2 << 20

// Stats counts the calls to the store since its start. A watch counts as one call,
// however long it waits.
type Stats struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	Watches     int64 `json:"watches"`
	Conflicts   int64 `json:"conflicts"` // writes refused by their condition
	FaultHits   int64 `json:"faults"`    // faults applied to calls; several may hit one call
	BadRequests int64 `json:"bad"`       // invalid faults and bodies over MaxBodyBytes or unreadable
}

// Since returns s minus the earlier counts in before.
func (s Stats) Since(before Stats) Stats {
	return Stats{
		Reads: s.Reads - before.Reads, Writes: s.Writes - before.Writes, Watches: s.Watches - before.Watches,
		Conflicts: s.Conflicts - before.Conflicts, FaultHits: s.FaultHits - before.FaultHits, BadRequests: s.BadRequests - before.BadRequests,
	}
}

// Server is the emulated store: it applies faults to the calls and counts them.
type Server struct {
	objects *platformtest.Store
	store   http.Handler // of the objects
	faults  *Faults
	// copied is what FaultRestore brings back: the state at the last FaultCopy, or the empty
	// one.
	copied atomic.Pointer[platformtest.Copy]

	reads, writes, watches, conflicts, faultHits, badRequests atomic.Int64
}

// NewServer returns an empty store that applies the faults.
func NewServer(faults *Faults) *Server {
	s := &Server{faults: faults}
	s.objects, s.store = platformtest.NewHandler()
	s.copied.Store(s.objects.Copy())
	return s
}

// Handler serves POST /fault and GET /stats; all other calls go to the store.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/fault", s.setFault)
	router.Get("/stats", s.stats)
	router.NotFound(s.serveStore)
	router.MethodNotAllowed(s.serveStore)
	return router
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	return Stats{
		Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load(),
		Conflicts: s.conflicts.Load(), FaultHits: s.faultHits.Load(), BadRequests: s.badRequests.Load(),
	}
}

// stats serves GET /stats.
func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Stats()) // fails only if the client has disconnected
}

// setFault serves POST /fault.
func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	decoder := json.NewDecoder(io.LimitReader(r.Body, 4096))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&fault)
	switch {
	case err != nil:
	case fault.Kind == FaultCopy:
		s.copied.Store(s.objects.Copy())
	case fault.Kind == FaultRestore:
		s.objects.Restore(s.copied.Load())
	default:
		err = s.faults.Set(fault, time.Now())
	}
	if err != nil {
		s.badRequests.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// serveStore serves one call to the store under the faults that hit it.
func (s *Server) serveStore(w http.ResponseWriter, r *http.Request) {
	hits := s.faults.Draw(time.Now())
	isWrite := r.Method != http.MethodGet
	switch {
	case isWrite:
		s.writes.Add(1)
	case r.URL.Query().Has("watch"):
		s.watches.Add(1)
	default:
		s.reads.Add(1)
	}
	if !s.applyFaults(w, r, hits) {
		return
	}
	if !isWrite {
		s.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes+1))
	if err != nil || len(body) > MaxBodyBytes {
		s.badRequests.Add(1)
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.write(w, r, body, hits)
}

// write serves a write under the faults that affect writes alone.
func (s *Server) write(w http.ResponseWriter, r *http.Request, body []byte, hits []Fault) {
	apply := func() *httptest.ResponseRecorder {
		request := r.Clone(r.Context())
		request.Body = io.NopCloser(bytes.NewReader(body))
		response := httptest.NewRecorder()
		s.store.ServeHTTP(response, request)
		return response
	}
	for _, hit := range hits {
		switch hit.Kind {
		case FaultLoseResponses:
			apply()
			panic(http.ErrAbortHandler) // closes the connection without a response
		case FaultLateEffect:
			time.AfterFunc(time.Duration(hit.DelayMs)*time.Millisecond, func() { apply() })
			panic(http.ErrAbortHandler)
		}
	}
	response := apply()
	if response.Code == http.StatusConflict {
		s.conflicts.Add(1)
	}
	for name, values := range response.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes()) // fails only if the client has disconnected
}

// applyFaults applies the faults that affect reads and writes alike and reports
// whether the call goes on. It runs before the call reaches the store, so a fault
// that is set later doesn't end a waiting watch but hits the calls after it.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request, hits []Fault) bool {
	for _, hit := range hits {
		s.faultHits.Add(1)
		switch hit.Kind {
		case FaultDown:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return false
		case FaultHang:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case FaultSlow:
			select {
			case <-time.After(time.Duration(hit.DelayMs) * time.Millisecond):
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
	}
	return true
}
