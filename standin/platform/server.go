package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
)

// maxWatchWait is the longest time that a watch waits.
const maxWatchWait = 2 * time.Minute

// Stats counts the calls of each kind. A waiting watch counts as one call.
type Stats struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`
	Lists     int64 `json:"lists"`
	Conflicts int64 `json:"conflicts"`
	Faults    int64 `json:"faults"`
	Bad       int64 `json:"bad"`
}

// Since returns the counts since an earlier time.
func (s Stats) Since(before Stats) Stats {
	return Stats{
		Reads: s.Reads - before.Reads, Writes: s.Writes - before.Writes,
		Watches: s.Watches - before.Watches, Lists: s.Lists - before.Lists,
		Conflicts: s.Conflicts - before.Conflicts, Faults: s.Faults - before.Faults,
		Bad: s.Bad - before.Bad,
	}
}

// Server answers the object API over HTTP.
type Server struct {
	store  *Store
	faults *Faults

	reads, writes, watches, lists, conflicts, faulty, bad atomic.Int64
}

// NewServer returns a server of the store with the faults.
func NewServer(store *Store, faults *Faults) *Server {
	return &Server{store: store, faults: faults}
}

// Handler returns the routes of the object API, of POST /fault and GET /stats.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/fault", s.setFault)
	router.Get("/stats", s.stats)
	router.Get("/objects", s.list)
	router.Get("/objects/*", s.get)
	router.Put("/objects/*", s.put)
	router.Delete("/objects/*", s.remove)
	return router
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	return Stats{
		Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load(),
		Lists: s.lists.Load(), Conflicts: s.conflicts.Load(),
		Faults: s.faulty.Load(), Bad: s.bad.Load(),
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Stats())
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	decoder := json.NewDecoder(io.LimitReader(r.Body, 4096))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&fault)
	if err == nil {
		err = s.faults.Set(fault, time.Now())
	}
	if err != nil {
		s.reject(w, http.StatusBadRequest, err)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.lists.Add(1)
	if !s.surviveRead(w, r) {
		return
	}
	writeJSON(w, s.store.List(r.URL.Query().Get("prefix")))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch-after") {
		s.watch(w, r)
		return
	}
	s.reads.Add(1)
	if !s.surviveRead(w, r) {
		return
	}
	object, err := s.store.Get(chi.URLParam(r, "*"))
	s.answerObject(w, object, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.watches.Add(1)
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("watch-after"), 10, 64)
	waitMs, errWait := strconv.ParseUint(query.Get("wait-ms"), 10, 32)
	if err := errors.CombineErrors(errAfter, errWait); err != nil {
		s.reject(w, http.StatusBadRequest, err)
		return
	}
	if !s.surviveRead(w, r) {
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		object, changed, err := s.store.observe(chi.URLParam(r, "*"))
		if object.Version > after || errors.Is(err, ErrTooLarge) {
			s.answerObject(w, object, err)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
		if !s.surviveRead(w, r) { // an outage ends waiting watches that it meets
			return
		}
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		s.reject(w, http.StatusBadRequest, err)
		return
	}
	s.write(w, r, func(condition Condition) (uint64, error) {
		return s.store.Put(chi.URLParam(r, "*"), value, condition)
	})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, func(condition Condition) (uint64, error) {
		return s.store.Delete(chi.URLParam(r, "*"), condition)
	})
}

// write applies a write under the faults that hit it.
func (s *Server) write(w http.ResponseWriter, r *http.Request, apply func(Condition) (uint64, error)) {
	s.writes.Add(1)
	condition, err := conditionOf(r)
	if err != nil {
		s.reject(w, http.StatusBadRequest, err)
		return
	}
	hits := s.faults.Draw(time.Now())
	if !s.survive(w, r, hits) {
		return
	}
	for _, hit := range hits {
		switch hit.Kind {
		case FaultLoseAnswers:
			_, _ = apply(condition)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		case FaultLateEffect:
			delay := time.Duration(hit.DelayMs) * time.Millisecond
			time.AfterFunc(delay, func() { _, _ = apply(condition) })
			panic(http.ErrAbortHandler)
		}
	}
	version, err := apply(condition)
	s.answerWrite(w, version, err)
}

func conditionOf(r *http.Request) (Condition, error) {
	text := r.Header.Get("If-Version")
	if text == "" {
		return Condition{}, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return Condition{}, errors.Wrap(err, "If-Version")
	}
	return Condition{Set: true, Version: version}, nil
}

func (s *Server) surviveRead(w http.ResponseWriter, r *http.Request) bool {
	return s.survive(w, r, s.faults.Draw(time.Now()))
}

// survive applies the faults that hit reads and writes alike and reports
// whether the call goes on.
func (s *Server) survive(w http.ResponseWriter, r *http.Request, hits []Fault) bool {
	for _, hit := range hits {
		s.faulty.Add(1)
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

func (s *Server) answerObject(w http.ResponseWriter, object Object, err error) {
	setVersion(w, object.Version)
	switch {
	case errors.Is(err, ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		s.reject(w, http.StatusRequestEntityTooLarge, err)
	default:
		_, _ = w.Write(object.Value)
	}
}

func (s *Server) answerWrite(w http.ResponseWriter, version uint64, err error) {
	setVersion(w, version)
	switch {
	case errors.Is(err, ErrConflict):
		s.conflicts.Add(1)
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		s.reject(w, http.StatusRequestEntityTooLarge, err)
	}
}

func (s *Server) reject(w http.ResponseWriter, status int, err error) {
	s.bad.Add(1)
	http.Error(w, err.Error(), status)
}

func setVersion(w http.ResponseWriter, version uint64) {
	w.Header().Set("Version", strconv.FormatUint(version, 10))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
