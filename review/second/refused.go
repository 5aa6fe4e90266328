//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	greyShare      = 0.45                    // of the requests at the grey backend; the site's largest dose is 0.45
	greyWindow     = 6500 * time.Millisecond // from the first order on; the site's length
	refusedOrders  = 1200
	refusedWorkers = 8
	refusedEntries = 4
	orderPause     = 100 * time.Millisecond
	orderDeadline  = 5 * time.Second
)

func init() { cases["refused"] = runRefused }

// runRefused sends orders. With the disruption one of the four backends fails a part of the orders,
// after it has run them, while its heartbeats say that it is ready.
func runRefused(b *bed, trouble bool) (int, error) {
	if err := b.configure(1, route("order", "/order/", "unsafe", "back", 5)); err != nil {
		return couldntBe, err
	}
	var backends []*rawTarget
	var begin atomic.Int64 // when the first order was sent, in Unix nanoseconds; 0 before
	for _, machineName := range []string{"front-1", "front-2", "front-3", "front-4", "back-1", "back-2", "back-3", "back-4"} {
		service, number, _ := strings.Cut(machineName, "-")
		m, err := b.add(machineName, service)
		if err != nil {
			return couldntBe, err
		}
		t := newRawTarget(b, "i-"+machineName, service)
		grey := trouble && machineName == "back-1"
		random := rand.New(rand.NewPCG(1, 2))
		var lock sync.Mutex
		t.respond = func(r *http.Request, _ []byte) ([]byte, bool) {
			id := r.Header.Get(name("id"))
			lock.Lock()
			fails := grey && time.Since(time.Unix(0, begin.Load())) < greyWindow && random.Float64() < greyShare
			lock.Unlock()
			time.Sleep(5 * time.Millisecond)
			if fails {
				b.note("back-%s ran %s (%s) and answers 503, without %s", number, id, r.URL.Path, name("not-run"))
				return answer(id, http.StatusServiceUnavailable, "the printer's queue failed"), true
			}
			return answer(id, http.StatusOK, "printed"), true
		}
		m.target = t
		if service == "back" {
			backends = append(backends, t)
		}
		if err := m.start(); err != nil {
			return couldntBe, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return couldntBe, err
	}
	ran := func(id string) (n int) {
		for _, t := range backends {
			n += t.ran(id)
		}
		return n
	}
	var next, served, refused, falselyRefused, twice atomic.Int64
	begin.Store(time.Now().UnixNano())
	var workers sync.WaitGroup
	for i := range refusedWorkers {
		entry := b.machines[i%refusedEntries].outbound
		workers.Go(func() {
			for {
				n := next.Add(1)
				if n > refusedOrders {
					return
				}
				time.Sleep(orderPause)
				runs := 0
				// A caller repeats an order once, and only after a promise that it has not run.
				for attempt := 1; attempt <= 2; attempt++ {
					id := fmt.Sprintf("order%d.%d", n, attempt)
					got := call(entry, "POST", "/order/"+strconv.FormatInt(n, 10), id, "one map", orderDeadline)
					runs += ran(id)
					if got.status == http.StatusOK {
						served.Add(1)
						break
					}
					if got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests {
						b.note("%s: answer %d, ran %d times", id, got.status, ran(id))
						break
					}
					refused.Add(1)
					if ran(id) > 0 {
						falselyRefused.Add(1)
						b.note("%s: the caller got %d, and it has run: %s", id, got.status, strings.Join(got.head, " | "))
					}
				}
				if runs > 1 {
					twice.Add(1)
					b.note("order %d ran %d times, as its caller was told that it had not", n, runs)
				}
			}
		})
	}
	workers.Wait()
	b.note("orders %d, served %d, answers 503 or 429 %d, of these had run %d, orders that ran twice %d",
		refusedOrders, served.Load(), refused.Load(), falselyRefused.Load(), twice.Load())
	if served.Load() < refusedOrders/2 {
		return couldntBe, fmt.Errorf("only %d orders were served", served.Load())
	}
	if falselyRefused.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
