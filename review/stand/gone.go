//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

const (
	scanKB     = 1536 // below maxBodyBytes of the configuration, 64 MiB
	leaveAfter = 300 * time.Millisecond
	leftFor    = 500 * time.Millisecond // from then on a request counts
	few        = 3
)

// withdrawn is one request whose client has left.
type withdrawn struct {
	id   string
	left time.Time
}

// gone lets some clients leave before their deadline.
func gone(f *fleet, trouble bool) ([]string, error) {
	if err := f.configure(1, []string{"archiv", "plotfinder"}, route{"search", "/search/", "safe", "archiv", 6, 1}); err != nil {
		return nil, err
	}
	var backends []*backend
	for i, service := range []string{"archiv", "archiv", "plotfinder"} {
		n, err := f.add("m"+strconv.Itoa(i), service, "")
		if err != nil {
			return nil, err
		}
		b, err := n.startBackend("i-"+strconv.Itoa(i), 4, 1500*time.Millisecond)
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
	body := bytes.Repeat([]byte("x"), scanKB<<10)
	var left []withdrawn
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(12 * time.Second)
	leaveUntil := time.Now().Add(2*time.Second + leavingFor) // clients leave from 2 s on
	leaveFrom := time.Now().Add(2 * time.Second)
	for i := range 10 {
		leaves := trouble && i < 3
		clients.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("s%d-%d", i, k)
				c := client{address: f.nodes[2].outbound}
				f.rec.add("client %d: %s sent to m2, %d bytes", i, id, len(body))
				if now := time.Now(); leaves && now.After(leaveFrom) && now.Add(leaveAfter).Before(leaveUntil) {
					time.AfterFunc(leaveAfter, func() {
						if c.cut() {
							f.rec.add("client %d: %s closes its connection", i, id)
							mu.Lock()
							left = append(left, withdrawn{id, time.Now()})
							mu.Unlock()
						}
					})
				}
				a := c.send(http.MethodPost, "/search/"+id, id, 6*time.Second, body)
				c.close()
				f.rec.add("client %d: %s %v", i, id, a)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(7 * time.Second)
	return checkGone(f, backends, left), nil
}

// checkGone counts the requests that reached a backend, or were at work there, too long after
// their clients had left.
func checkGone(f *fleet, backends []*backend, left []withdrawn) (violations []string) {
	late, running, lasting := 0, 0, 0
	for _, w := range left {
		for _, b := range backends {
			began, ended, ok := b.times(w.id)
			if !ok {
				continue
			}
			switch late5 := w.left.Add(leftFor); {
			case began.After(late5):
				f.rec.add("%s reached %s %.3f s after its client had left", w.id, b.id, began.Sub(w.left).Seconds())
				late++
			case began.Add(1500 * time.Millisecond).After(late5):
				lasting++
				if ended.After(late5) {
					f.rec.add("%s was at work at %s until %.3f s after its client had left", w.id, b.id, ended.Sub(w.left).Seconds())
					running++
				}
			}
		}
	}
	f.rec.add("%d clients left; %d requests reached a backend over %v later, %d of %d were still at work then", len(left), late, leftFor, running, lasting)
	if late > few {
		violations = append(violations, fmt.Sprintf("GONE: %d requests reached a backend more than %v after their clients had left, a few (%d) allowed", late, leftFor, few))
	}
	if 4*running > lasting {
		violations = append(violations, fmt.Sprintf("GONE: backends were at work on %d of %d requests %v after their clients had left, a quarter allowed", running, lasting, leftFor))
	}
	return violations
}
