package target

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/standin/answer"
)

// maxBodyBytes caps the body of a call.
const maxBodyBytes = 1 << 20

// States of a target, as it announces them.
const (
	stateStarting int32 = iota
	stateReady
	stateDraining
)

var stateNames = [...]string{"starting", "ready", "draining"}

// Target serves calls. It is safe for concurrent use.
type Target struct {
	settings    Settings
	operations  map[string]*Operation
	node        string // call address of its node, unused in plain mode
	address     string // its own
	started     time.Time
	slots       *slots
	behaviour   *behaviour
	history     history
	journal     *journal
	listener    *costlyListener
	client      *http.Client
	state       atomic.Int32
	announceNow chan struct{} // asks for an announcement at once

	arrived, shed, completed, failed, foreign atomic.Int64
}

// incoming is one call that a target was given.
type incoming struct {
	request  string
	token    string // links child calls to this call
	caller   string
	key      string
	deadline time.Time // zero if none was stated
	body     []byte
}

// New returns a target that listens at its address. The journal path may be
// empty.
func New(settings Settings, listen, node, journalPath string) (*Target, error) {
	journal, err := openJournal(journalPath)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	t := &Target{
		settings: settings, operations: map[string]*Operation{}, node: node,
		address: listener.Addr().String(), started: time.Now(),
		slots:     newSlots(settings.Slots, settings.Queue),
		behaviour: newBehaviour(&settings),
		journal:   journal,
		listener: &costlyListener{Listener: listener, cost: settings.ConnectionCost,
			bound: int64(settings.Connections)},
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}},
		announceNow: make(chan struct{}, 1),
	}
	for i := range settings.Operations {
		t.operations[settings.Operations[i].Name] = &t.settings.Operations[i]
	}
	return t, nil
}

// Address returns the address that the target listens at.
func (t *Target) Address() string { return t.address }

// Serve runs until the context ends; then it drains: it announces that it
// leaves, finishes its calls and returns.
func (t *Target) Serve(ctx context.Context) error {
	var unused unusedConns
	server := &http.Server{Handler: t.Handler(), ConnState: unused.note}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go t.sample(background)
	if !t.settings.Plain {
		go t.announceLoop(background)
	}
	t.setState(stateReady)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(t.listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	t.setState(stateDraining)
	t.waitIdle()
	unused.close()
	shutdown, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return server.Shutdown(shutdown)
}

// Handler returns the target's routes.
func (t *Target) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/health", t.health)
	router.Get("/load", t.load)
	router.Post("/control", t.control)
	router.Get("/stats", t.stats)
	router.HandleFunc("/{operation}", t.serve)
	router.HandleFunc("/{operation}/*", t.serve)
	return router
}

// Stats counts what a target has seen.
type Stats struct {
	Arrived   int64 `json:"arrived"`
	Shed      int64 `json:"shed"`
	Completed int64 `json:"completed"`
	Failed    int64 `json:"failed"`  // ran and did not complete
	Foreign   int64 `json:"foreign"` // child answers that belong to another call
	Accepted  int64 `json:"accepted"`
	Refused   int64 `json:"refused"` // connections over the bound
	Open      int64 `json:"open"`
}

func (t *Target) stats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Stats{
		Arrived: t.arrived.Load(), Shed: t.shed.Load(), Completed: t.completed.Load(),
		Failed: t.failed.Load(), Foreign: t.foreign.Load(),
		Accepted: t.listener.accepted.Load(), Refused: t.listener.refused.Load(), Open: t.listener.open.Load(),
	})
}

// serve answers one call.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	op := t.operations[chi.URLParam(r, "operation")]
	if op == nil {
		http.Error(w, "no such operation", http.StatusNotFound)
		return
	}
	t.arrived.Add(1)
	in, err := readCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	shedShare, dropShare := t.behaviour.losses()
	if rand.Float64() < shedShare {
		t.shedCall(w, op, in, "shedding")
		return
	}
	ctx, cancel := t.contextOf(r, op, in)
	defer cancel()
	if err := t.slots.acquire(ctx); err != nil {
		t.shedCall(w, op, in, err.Error())
		return
	}
	sums, err := t.execute(ctx, op, in)
	if rand.Float64() < dropShare {
		t.failed.Add(1)
		panic(http.ErrAbortHandler)
	}
	t.answer(w, op, in, sums, err)
}

// shedCall refuses a call that has not run.
func (t *Target) shedCall(w http.ResponseWriter, op *Operation, in *incoming, why string) {
	t.shed.Add(1)
	t.journal.refused(op.Name, in.request)
	w.Header().Set(callhttp.HeaderOutcome, "not-run")
	http.Error(w, why, http.StatusServiceUnavailable)
}

func (t *Target) answer(w http.ResponseWriter, op *Operation, in *incoming, sums []string, err error) {
	if err != nil {
		t.failed.Add(1)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	t.completed.Add(1)
	name := t.settings.Service + "/" + op.Name
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer.Body{
		RequestID: in.request, Operation: name, Sum: answer.Sum(name, in.body, sums),
	})
}

// contextOf returns the context that a call runs under. A paid operation runs
// to its end; a target that honours no cancellation runs everything to its end.
func (t *Target) contextOf(r *http.Request, op *Operation, in *incoming) (context.Context, context.CancelFunc) {
	if !t.settings.Honour || op.Paid {
		return context.WithCancel(context.WithoutCancel(r.Context()))
	}
	if in.deadline.IsZero() {
		return context.WithCancel(r.Context())
	}
	return context.WithDeadline(r.Context(), in.deadline)
}

// execute runs an operation in the slot that the call holds: half of the
// service time, the child calls, the other half.
func (t *Target) execute(ctx context.Context, op *Operation, in *incoming) ([]string, error) {
	r := run{request: in.request, key: in.key, operation: op.Name, started: time.Now()}
	t.journal.beginning(r)
	defer func() {
		t.slots.release()
		r.ended = time.Now()
		t.journal.ended(r)
	}()
	service, straggler := t.serviceTime(op)
	r.straggler = straggler
	if err := t.work(ctx, service/2); err != nil {
		return nil, err
	}
	sums, err := t.callChildren(ctx, op, in)
	if err != nil {
		return nil, err
	}
	if err := t.work(ctx, service-service/2); err != nil {
		return nil, err
	}
	r.whole = true
	return sums, nil
}

// thawPeriod is how often a frozen call looks whether it may go on.
const thawPeriod = 20 * time.Millisecond

// work passes the service time, longer while the target is frozen.
func (t *Target) work(ctx context.Context, d time.Duration) error {
	pause(ctx, d)
	for _, frozen := t.behaviour.speed(); frozen && ctx.Err() == nil; _, frozen = t.behaviour.speed() {
		pause(ctx, thawPeriod)
	}
	return ctx.Err()
}

// serviceTime draws the service time of one run, and whether it is a straggler.
func (t *Target) serviceTime(op *Operation) (time.Duration, bool) {
	factor, _ := t.behaviour.speed()
	factor *= t.coldFactor()
	factor *= 1 + op.Spread*(2*rand.Float64()-1)
	s := t.behaviour.stragglersOf(op.Name)
	straggler := s.oneIn > 0 && rand.IntN(s.oneIn) == 0
	if straggler {
		factor *= s.factor
	}
	return time.Duration(float64(op.Time) * factor), straggler
}

// coldFactor falls from ColdFactor to 1 over the cold start.
func (t *Target) coldFactor() float64 {
	age := time.Since(t.started)
	if age >= t.settings.ColdStart || t.settings.ColdFactor <= 1 {
		return 1
	}
	left := 1 - float64(age)/float64(t.settings.ColdStart)
	return 1 + (t.settings.ColdFactor-1)*left
}

func readCall(r *http.Request) (*incoming, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodyBytes {
		return nil, errors.Newf("body over %d bytes", maxBodyBytes)
	}
	in := &incoming{
		request: r.Header.Get(callhttp.HeaderRequestID),
		token:   r.Header.Get(callhttp.HeaderParent),
		caller:  r.Header.Get(callhttp.HeaderCaller),
		key:     r.Header.Get(answer.HeaderIdempotencyKey),
		body:    body,
	}
	if text := r.Header.Get(callhttp.HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return nil, errors.Wrap(err, callhttp.HeaderTimeout)
		}
		in.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return in, nil
}

func (t *Target) sample(ctx context.Context) {
	for ctx.Err() == nil {
		t.history.add(t.currentLoad())
		pause(ctx, samplePeriod)
	}
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
