package agent

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/fleet"
)

const (
	// targetLease is how long an announcement of the target is valid.
	targetLease = 5 * time.Second
	// maxAnnouncementBytes caps the body of an announcement.
	maxAnnouncementBytes = 4 << 10
)

// TargetAnnouncement is what a target reports of itself to its node.
type TargetAnnouncement struct {
	Service string `json:"service"`
	Address string `json:"address"` // IP:port that takes calls
	State   string `json:"state"`   // starting, ready or draining
}

// target holds what the local target reported of itself, and derives the state that
// the fleet sees from it.
type target struct {
	now func() time.Time
	// nodeReady reports whether the node itself can serve, which child calls of the
	// target require.
	nodeReady func() bool
	// apply puts the effective state in force. It is called when the state has
	// changed, when the service became known, and by reapply.
	apply func(service string, state fleet.State)
	// stateChanged is called after apply if the state has changed.
	stateChanged func(service string, state fleet.State)

	applyMu      sync.Mutex // held over apply; no other lock is held when it is taken
	applied      bool
	appliedState fleet.State

	mu struct {
		sync.Mutex
		service  string
		address  string
		state    fleet.State // as announced
		renewed  time.Time   // time of the last announcement
		lapsed   bool        // the lease has expired, or a connection to the target failed
		draining bool        // by an operator or because the node is stopping
	}
}

// readTargetAnnouncement reads and validates an announcement. Its error names the
// field that is wrong.
func readTargetAnnouncement(body io.Reader) (TargetAnnouncement, fleet.State, error) {
	var a TargetAnnouncement
	decoder := json.NewDecoder(io.LimitReader(body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return a, 0, errors.Wrap(err, "announcement")
	}
	if a.Service == "" || len(a.Service) > callhttp.MaxNameBytes {
		return a, 0, errors.Newf("announcement: service: want 1 to %d characters", callhttp.MaxNameBytes)
	}
	host, port, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return a, 0, errors.Newf("announcement: address %q: want IP:port", a.Address)
	}
	states := map[string]fleet.State{
		"starting": fleet.Starting, "ready": fleet.Ready, "draining": fleet.Draining,
	}
	state, ok := states[a.State]
	if !ok {
		return a, 0, errors.Newf("announcement: state %q: want starting, ready or draining", a.State)
	}
	return a, state, nil
}

// announce records an announcement. The first one sets the service of the node's
// target, which doesn't change later.
func (t *target) announce(a TargetAnnouncement, state fleet.State) error {
	if err := t.renew(a, state); err != nil {
		return err
	}
	t.applyIfChanged()
	return nil
}

func (t *target) renew(a TargetAnnouncement, state fleet.State) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mu.service != "" && t.mu.service != a.Service {
		return errors.Newf("announcement: service %q: this node's target is of service %q", a.Service, t.mu.service)
	}
	t.mu.service, t.mu.address, t.mu.state = a.Service, a.Address, state
	t.mu.renewed, t.mu.lapsed = t.now(), false
	return nil
}

// applyIfChanged applies the effective state if it is not the last applied one. One
// goroutine at a time applies states, so the last applied state is the effective one.
func (t *target) applyIfChanged() { t.applyState(false) }

// reapply applies the effective state even if it is the last applied one.
func (t *target) reapply() { t.applyState(true) }

func (t *target) applyState(force bool) {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	service, _, state := t.get()
	changed := !t.applied || t.appliedState != state
	if service == "" || (!changed && !force) {
		return
	}
	t.applied, t.appliedState = true, state
	t.apply(service, state)
	if changed {
		t.stateChanged(service, state)
	}
}

// effectiveState returns the state that is published to the fleet. t.mu must be held.
func (t *target) effectiveState() fleet.State {
	if state := t.stateWithoutLease(); state != fleet.Ready || !t.mu.lapsed {
		return state
	}
	return fleet.Starting
}

// stateWithoutLease returns the state without regard to the lease. t.mu must be held.
func (t *target) stateWithoutLease() fleet.State {
	switch {
	case t.mu.draining:
		return fleet.Draining
	case !t.nodeReady():
		return fleet.Starting
	default:
		return t.mu.state
	}
}

// expire ends the lease of a target that no longer announces itself.
func (t *target) expire() {
	t.mu.Lock()
	if t.now().Sub(t.mu.renewed) > targetLease {
		t.mu.lapsed = true
	}
	t.mu.Unlock()
	t.applyIfChanged()
}

// drain makes the target drain. This can't be undone.
func (t *target) drain() {
	t.mu.Lock()
	t.mu.draining = true
	t.mu.Unlock()
	t.applyIfChanged()
}

// lost records that no connection to the target could be made. The target's next
// announcement makes it ready again.
func (t *target) lost() {
	t.mu.Lock()
	t.mu.lapsed = true
	t.mu.Unlock()
	t.applyIfChanged()
}

// addressOf returns the target's address and whether calls of the service may be
// handed to it. Calls that have reached this node may be handed over even after the
// lease has expired, because the announcement may only be late.
func (t *target) addressOf(service string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.address, t.mu.service == service && t.stateWithoutLease() == fleet.Ready
}

// get returns the target's service, address and effective state.
func (t *target) get() (service, address string, state fleet.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.service, t.mu.address, t.effectiveState()
}

// handleAnnounce serves POST /target/announce.
func (a *Agent) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	announcement, state, err := readTargetAnnouncement(r.Body)
	if err == nil {
		err = a.target.announce(announcement, state)
	}
	if err != nil {
		a.metrics.BadInput.Add("announcement", 1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
