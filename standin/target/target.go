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

// maxBodyBytes is the largest size of a call's body.
const maxBodyBytes = 1 << 20

// States that a target announces to its node.
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
	node        string // call address of the local node, unused in plain mode
	address     string // address at which the target listens
	started     time.Time
	slots       *slots
	behaviour   *behaviour
	history     history
	journal     *journal
	listener    *costlyListener
	client      *http.Client
	state       atomic.Int32
	announceNow chan struct{} // triggers an announcement; holds at most one trigger

	arrived, shed, completed, failed, foreignResponses atomic.Int64
}

// incomingCall is one call that the target received.
type incomingCall struct {
	requestID string
	token     string // value of HeaderParent, by which the node links child calls to this call
	caller    string
	key       string
	deadline  time.Time // zero if the call has none
	body      []byte
}

// New returns a target that listens at the address. Without a journal path it
// keeps no journal.
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
		listener: &costlyListener{Listener: listener, acceptCost: settings.ConnectionCost,
			maxOpen: int64(settings.Connections)},
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

// Serve serves calls until the context ends. Then it announces that it drains,
// finishes its calls in flight and returns.
func (t *Target) Serve(ctx context.Context) error {
	var unused unusedConns
	server := &http.Server{Handler: t.Handler(), ConnState: unused.stateChanged}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go t.sampleLoad(background)
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

// Handler returns the handler of the target's routes.
func (t *Target) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/health", t.serveHealth)
	router.Get("/load", t.serveLoad)
	router.Post("/control", t.serveControl)
	router.Get("/stats", t.serveStats)
	router.HandleFunc("/{operation}", t.serveCall)
	router.HandleFunc("/{operation}/*", t.serveCall)
	return router
}

// Stats counts a target's calls and connections.
type Stats struct {
	Arrived   int64 `json:"arrived"`   // calls of known operations
	Shed      int64 `json:"shed"`      // calls refused before they ran
	Completed int64 `json:"completed"` // calls that ran and got a response with status 200
	Failed    int64 `json:"failed"`    // calls that ran, but failed or got no response
	Foreign   int64 `json:"foreign"`   // responses to child calls that belong to another call
	Accepted  int64 `json:"accepted"`  // accepted connections
	Refused   int64 `json:"refused"`   // connections closed at once, as they were over the limit
	Open      int64 `json:"open"`      // open connections
}

// serveStats serves GET /stats.
func (t *Target) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Stats{
		Arrived: t.arrived.Load(), Shed: t.shed.Load(), Completed: t.completed.Load(),
		Failed: t.failed.Load(), Foreign: t.foreignResponses.Load(),
		Accepted: t.listener.accepted.Load(), Refused: t.listener.refused.Load(), Open: t.listener.open.Load(),
	})
}

// serveCall serves one call of an operation.
func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
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
	shedFraction, dropFraction := t.behaviour.lossFractions()
	if rand.Float64() < shedFraction {
		t.shedCall(w, op, in, "shedding")
		return
	}
	ctx, cancel := t.callContext(r, op, in)
	defer cancel()
	if err := t.slots.acquire(ctx); err != nil {
		t.shedCall(w, op, in, err.Error())
		return
	}
	sums, err := t.execute(ctx, op, in)
	if rand.Float64() < dropFraction {
		t.failed.Add(1)
		panic(http.ErrAbortHandler)
	}
	t.respond(w, op, in, sums, err)
}

// shedCall refuses a call before it has run.
func (t *Target) shedCall(w http.ResponseWriter, op *Operation, in *incomingCall, reason string) {
	t.shed.Add(1)
	t.journal.writeRefusal(op.Name, in.requestID)
	w.Header().Set(callhttp.HeaderOutcome, "not-run")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// respond sends the response to a call that ran.
func (t *Target) respond(w http.ResponseWriter, op *Operation, in *incomingCall, sums []string, err error) {
	if err != nil {
		t.failed.Add(1)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	t.completed.Add(1)
	name := t.settings.Service + "/" + op.Name
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer.Body{
		RequestID: in.requestID, Operation: name, Sum: answer.Sum(name, in.body, sums),
	})
}

// callContext returns the context under which a call runs. An at-most-once
// operation runs to its end even if the call is cancelled, and so do all operations
// of a target that doesn't honour cancellation.
func (t *Target) callContext(r *http.Request, op *Operation, in *incomingCall) (context.Context, context.CancelFunc) {
	if !t.settings.Honour || op.Paid {
		return context.WithCancel(context.WithoutCancel(r.Context()))
	}
	if in.deadline.IsZero() {
		return context.WithCancel(r.Context())
	}
	return context.WithDeadline(r.Context(), in.deadline)
}

// execute runs an operation in the slot that the call holds: half of the service time,
// the child calls, and the other half. Then it releases the slot.
func (t *Target) execute(ctx context.Context, op *Operation, in *incomingCall) ([]string, error) {
	r := run{requestID: in.requestID, key: in.key, operation: op.Name, started: time.Now()}
	t.journal.writeStart(r)
	defer func() {
		t.slots.release()
		r.ended = time.Now()
		t.journal.writeEnd(r)
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
	r.completed = true
	return sums, nil
}

// thawCheckPeriod is how often a frozen call checks whether the target is still frozen.
const thawCheckPeriod = 20 * time.Millisecond

// work waits for the service time, and then for as long as the target is frozen.
func (t *Target) work(ctx context.Context, d time.Duration) error {
	pause(ctx, d)
	for _, frozen := t.behaviour.slowdown(); frozen && ctx.Err() == nil; _, frozen = t.behaviour.slowdown() {
		pause(ctx, thawCheckPeriod)
	}
	return ctx.Err()
}

// serviceTime draws the service time of one run and whether it is a straggler.
func (t *Target) serviceTime(op *Operation) (time.Duration, bool) {
	factor, _ := t.behaviour.slowdown()
	factor *= t.coldFactor()
	factor *= 1 + op.Spread*(2*rand.Float64()-1)
	rate := t.behaviour.stragglerRate(op.Name)
	straggler := rate.oneIn > 0 && rand.IntN(rate.oneIn) == 0
	if straggler {
		factor *= rate.factor
	}
	return time.Duration(float64(op.Time) * factor), straggler
}

// coldFactor returns the factor on service times during the cold start, which falls
// linearly from ColdFactor to 1.
func (t *Target) coldFactor() float64 {
	age := time.Since(t.started)
	if age >= t.settings.ColdStart || t.settings.ColdFactor <= 1 {
		return 1
	}
	remaining := 1 - float64(age)/float64(t.settings.ColdStart)
	return 1 + (t.settings.ColdFactor-1)*remaining
}

// readCall reads a call's headers and body.
func readCall(r *http.Request) (*incomingCall, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodyBytes {
		return nil, errors.Newf("request body is over %d bytes", maxBodyBytes)
	}
	in := &incomingCall{
		requestID: r.Header.Get(callhttp.HeaderRequestID),
		token:     r.Header.Get(callhttp.HeaderParent),
		caller:    r.Header.Get(callhttp.HeaderCaller),
		key:       r.Header.Get(answer.HeaderIdempotencyKey),
		body:      body,
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

// sampleLoad adds samples to the history until the context ends.
func (t *Target) sampleLoad(ctx context.Context) {
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
