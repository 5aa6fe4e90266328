//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leaving"] = leaving }

const (
	lateBy   = 5500 * time.Millisecond // heartbeats of one backend arrive that much later
	awayFor  = 4500 * time.Millisecond // the store
	downTime = 2 * time.Second         // the process beside that backend
)

// leaving lets a backend state in its answers that it leaves, while the store is down. The
// process beside the backend is killed meanwhile, and starts again when the store is back.
func leaving(f *fleet, trouble bool) ([]string, error) {
	if err := f.configure(1, []string{"orderdesk", "plotfinder"}, route{"order", "/order/", "unsafe", "orderdesk", 4, 2}); err != nil {
		return nil, err
	}
	var backends []*backend
	for i, service := range []string{"orderdesk", "orderdesk", "plotfinder"} {
		n, err := f.add("m"+strconv.Itoa(i), service, "")
		if err != nil {
			return nil, err
		}
		b, err := n.startBackend("i-"+strconv.Itoa(i), 8, 100*time.Millisecond)
		if err != nil {
			return nil, err
		}
		backends = append(backends, b)
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	leaver, beside, entry := backends[0], f.nodes[0], f.nodes[2]
	// From here on the heartbeats of the leaver are late.
	leaver.stopBeats()
	var mu sync.Mutex
	state := "ready"
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			mu.Lock()
			content, now := leaver.content(state), state
			mu.Unlock()
			time.AfterFunc(lateBy, func() {
				f.rec.add("backend %s: heartbeat %q of %v ago arrives: %v", leaver.id, now, lateBy, leaver.call(http.MethodPut, content))
			})
			select {
			case <-done:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	type sent struct {
		id string
		at time.Time
	}
	var requests []sent
	var passedOn time.Time // when the entry first passed on an answer that states the leaving
	var senders sync.WaitGroup
	end := time.Now().Add(24 * time.Second)
	for i := range 16 {
		senders.Go(func() {
			c := client{address: entry.outbound}
			defer c.close()
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("r%d-%d", i, k)
				at := time.Now()
				f.rec.add("client: %s sent to %s", id, entry.name)
				a := c.send(http.MethodPost, "/order/"+id, id, 4*time.Second, []byte("order"))
				f.rec.add("client: %s %v leaving %q", id, a, a.leaving)
				mu.Lock()
				requests = append(requests, sent{id, at})
				if a.leaving != "" && passedOn.IsZero() {
					passedOn = time.Now()
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(7500 * time.Millisecond)
	if trouble {
		f.rec.add("store: down")
		f.store.SetDown(true)
		time.AfterFunc(awayFor, func() {
			f.store.SetDown(false)
			f.rec.add("store: back")
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.rec.add("backend %s: is about to leave and states so in its answers", leaver.id)
	mu.Lock()
	state = "draining"
	mu.Unlock()
	leaver.stateLeaving()
	time.Sleep(2300 * time.Millisecond)
	if trouble {
		beside.signal(syscall.SIGKILL)
		time.Sleep(downTime)
		if err := beside.writeSettings(false); err != nil {
			return nil, err
		}
		if err := beside.start(); err != nil {
			return nil, err
		}
	}
	senders.Wait()
	mu.Lock()
	defer mu.Unlock()
	if passedOn.IsZero() {
		return nil, fmt.Errorf("no answer of %s that states its leaving was passed on", leaver.id)
	}
	var violations []string
	for _, r := range requests {
		if leaver.ran(r.id) > 0 && r.at.Sub(passedOn) > drainS*time.Second {
			violations = append(violations, fmt.Sprintf("DRAIN: %s, sent %.3f s after %s had passed on an answer in which %s states that it leaves, reached it; allowed %d s",
				r.id, r.at.Sub(passedOn).Seconds(), entry.name, leaver.id, drainS))
		}
	}
	return violations, nil
}
