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
	// targetLease is how long an announcement of the target holds.
	targetLease = 3 * time.Second
	// maxAnnouncementBytes caps the body of an announcement.
	maxAnnouncementBytes = 4 << 10
)

// Announcement is what a target tells its node of itself.
type Announcement struct {
	Service string `json:"service"`
	Address string `json:"address"` // host:port that takes calls
	State   string `json:"state"`   // starting, ready or draining
}

// target is what the node knows of its own target.
type target struct {
	now func() time.Time
	// changed is called, without any lock, when service or state change.
	changed func(service string, state fleet.State)

	mu struct {
		sync.Mutex
		service  string
		address  string
		state    fleet.State // as announced
		renewed  time.Time   // time of the last announcement
		lapsed   bool        // the lease ran out
		draining bool        // an operator or the node's stop made it leave
	}
}

// readAnnouncement reads and checks an announcement; its error names what is
// wrong.
func readAnnouncement(body io.Reader) (Announcement, fleet.State, error) {
	var a Announcement
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

// announce takes an announcement. The service of a node's target is set by the
// first announcement and stays.
func (t *target) announce(a Announcement, state fleet.State) error {
	t.mu.Lock()
	if t.mu.service != "" && t.mu.service != a.Service {
		t.mu.Unlock()
		return errors.Newf("announcement: service %q: this node's target is of service %q", a.Service, t.mu.service)
	}
	before := t.effective()
	first := t.mu.service == ""
	t.mu.service, t.mu.address, t.mu.state = a.Service, a.Address, state
	t.mu.renewed, t.mu.lapsed = t.now(), false
	after := t.effective()
	t.mu.Unlock()
	if first || before != after {
		t.changed(a.Service, after)
	}
	return nil
}

// effective is the state that the fleet is told. t.mu must be held.
func (t *target) effective() fleet.State {
	switch {
	case t.mu.draining:
		return fleet.Draining
	case t.mu.lapsed:
		return fleet.Starting
	default:
		return t.mu.state
	}
}

// expire ends the lease of a target that no longer announces itself.
func (t *target) expire() {
	t.mu.Lock()
	lapse := t.mu.service != "" && !t.mu.lapsed && t.now().Sub(t.mu.renewed) > targetLease
	if lapse {
		t.mu.lapsed = true
	}
	service, state := t.mu.service, t.effective()
	t.mu.Unlock()
	if lapse {
		t.changed(service, state)
	}
}

// drain makes the target leave for good.
func (t *target) drain() {
	t.mu.Lock()
	already := t.mu.draining
	t.mu.draining = true
	service := t.mu.service
	t.mu.Unlock()
	if !already {
		t.changed(service, fleet.Draining)
	}
}

// addressOf returns the target's address if it takes calls of the service now.
func (t *target) addressOf(service string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mu.service != service || t.effective() != fleet.Ready {
		return "", false
	}
	return t.mu.address, true
}

// get returns service, address and effective state.
func (t *target) get() (service, address string, state fleet.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.service, t.mu.address, t.effective()
}

// isDraining reports whether the target leaves for good.
func (t *target) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.draining
}

// handleAnnounce serves POST /target/announce.
func (a *Agent) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	announcement, state, err := readAnnouncement(r.Body)
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
