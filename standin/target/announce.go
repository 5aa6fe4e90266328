package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Times of announcements and of draining.
const (
	announcePeriod  = time.Second
	announceTimeout = 500 * time.Millisecond
	minDrain        = 1500 * time.Millisecond // shortest drain, so that nodes receive the state before the target exits
	idleCheckPeriod = 20 * time.Millisecond
)

// announcement is the body of POST /target/announce.
type announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// setState changes the state and triggers an announcement of it.
func (t *Target) setState(state int32) {
	t.state.Store(state)
	select {
	case t.announceNow <- struct{}{}:
	default:
	}
}

// announceLoop announces the target to its node once a second and when its state changes.
func (t *Target) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		t.announce(ctx)
		select {
		case <-ticker.C:
		case <-t.announceNow:
		case <-ctx.Done():
			return
		}
	}
}

// announce sends one announcement to the node. A failure is ignored, since the next
// announcement follows within announcePeriod.
func (t *Target) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(announcement{
		Service: t.settings.Service, Address: t.address, State: stateNames[t.state.Load()],
	})
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.node+"/target/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}

// waitIdle waits until no call runs or is queued. It returns after minDrain at the
// earliest, and after the longer of Drain and minDrain at the latest.
func (t *Target) waitIdle() {
	began := time.Now()
	for time.Since(began) < max(t.settings.Drain, minDrain) {
		running, queued := t.slots.counts()
		if running+queued == 0 && time.Since(began) >= minDrain {
			return
		}
		time.Sleep(idleCheckPeriod)
	}
}
