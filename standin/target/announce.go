package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Times of announcements and of the stop.
const (
	announcePeriod  = time.Second
	announceTimeout = 500 * time.Millisecond
	drainAtLeast    = 1500 * time.Millisecond // time for nodes to hear of the drain
	idlePeriod      = 20 * time.Millisecond
)

// announcement is the body of POST /target/announce.
type announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// setState changes the state and announces it at once.
func (t *Target) setState(state int32) {
	t.state.Store(state)
	select {
	case t.announceNow <- struct{}{}:
	default:
	}
}

// announceLoop announces the target to its node each second and on changes.
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

// announce tells the node of the target. A failure is made good by the next.
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

// waitIdle returns when no call runs or waits, at the earliest after the time
// that nodes need to hear of the drain and at the latest after Drain.
func (t *Target) waitIdle() {
	began := time.Now()
	for time.Since(began) < max(t.settings.Drain, drainAtLeast) {
		running, queued := t.slots.counts()
		if running+queued == 0 && time.Since(began) >= drainAtLeast {
			return
		}
		time.Sleep(idlePeriod)
	}
}
