//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["deadly"] = deadly }

const (
	deadlyPath  = "/lookup/deadly"
	deadlyShare = 0.03                    // of the requests of its class, as on the users' day
	deadlyFor   = 20 * time.Second        // as on the users' day
	leavingFor  = 5500 * time.Millisecond // for how long clients leave, each time
	giveUpAfter = 250 * time.Millisecond  // the client leaves before its deadline
	crashAfter  = 500 * time.Millisecond  // the backend crashes, well before the deadline of the request
	downFor     = 2 * time.Second         // until the backend is back
	lookupWork  = 2 * time.Millisecond
	contactS    = 3 * time.Second
	maxRetries  = 3 // of the rule
)

// crashes are what one request did to backends.
type crashes struct {
	mu       sync.Mutex
	arrivals []time.Time // of the request at backends
	at       []time.Time // when backends crashed by it
}

// deadly sends one request that crashes the backends that run it, again and again, by a
// client that leaves before its deadline.
func deadly(f *fleet, trouble bool) ([]string, error) {
	if err := f.configure(1, []string{"plotfinder", "archiv"}, route{"lookup", "/lookup/", "safe", "plotfinder", 4, 2}); err != nil {
		return nil, err
	}
	var seen crashes
	for i, service := range []string{"plotfinder", "plotfinder", "plotfinder", "archiv", "archiv"} {
		n, err := f.add("m"+strconv.Itoa(i), service, "")
		if err != nil {
			return nil, err
		}
		b, err := n.startBackend("i-"+strconv.Itoa(i)+".1", 79, lookupWork)
		if err != nil {
			return nil, err
		}
		if trouble && service == "plotfinder" {
			b.crashBy(&seen, crashAfter)
		}
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	others := f.sendLookups(40, time.Second, 0)
	time.Sleep(time.Second)
	sent := 0
	f.rec.add("the deadly request comes for %v", deadlyFor)
	started := time.Now()
	for _, from := range []time.Duration{0, 7 * time.Second, 14 * time.Second} { // clients leave three times
		time.Sleep(time.Until(started.Add(from)))
		f.rec.add("clients begin to leave early, for %v", leavingFor)
		for time.Since(started) < min(from+leavingFor, deadlyFor) {
			f.sendAndLeave(f.nodes[sent%len(f.nodes)], "deadly-"+strconv.Itoa(sent))
			sent++
			time.Sleep(time.Second - giveUpAfter)
		}
	}
	return seen.check(f, sent, others())
}

// sendLookups starts clients, one after each stagger, that send a lookup after each pause. The
// function that it returns ends them and returns how many lookups they sent.
func (f *fleet) sendLookups(count int, pause, stagger time.Duration) (stop func() int) {
	var clients sync.WaitGroup
	var sent atomic.Int64
	done := make(chan struct{})
	for i := range count {
		clients.Go(func() {
			n := f.nodes[i%len(f.nodes)]
			c := client{address: n.outbound}
			defer c.close()
			time.Sleep(time.Duration(i) * stagger)
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				id := fmt.Sprintf("c%d-%d", i, k)
				f.rec.add("client %d: %s sent to %s", i, id, n.name)
				sent.Add(1)
				f.rec.add("client %d: %s %v", i, id, c.send(http.MethodGet, "/lookup/"+id, id, 4*time.Second, nil))
			}
		})
	}
	return func() int {
		close(done)
		clients.Wait()
		return int(sent.Load())
	}
}

// sendAndLeave sends the deadly request and closes the connection before its deadline.
func (f *fleet) sendAndLeave(n *node, id string) {
	f.rec.add("client: %s sent to %s, %s", id, n.name, deadlyPath)
	socket, err := net.Dial("tcp", n.outbound)
	if err != nil {
		f.rec.add("client: %s %v", id, err)
		return
	}
	defer socket.Close()
	fmt.Fprintf(socket, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\n\r\n", deadlyPath, host, names.RequestID, id, names.Deadline)
	_ = socket.SetReadDeadline(time.Now().Add(giveUpAfter))
	answer := make([]byte, 100)
	got, _ := socket.Read(answer)
	status, _, _ := strings.Cut(string(answer[:got]), "\r\n")
	f.rec.add("client: %s got %q and closes its connection", id, status)
}

// check counts how often the request reached backends later than contactS after it had crashed
// the third. sent and others are the numbers of copies and of other requests of its class.
func (c *crashes) check(f *fleet, sent, others int) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := float64(sent) / float64(sent+others)
	f.rec.add("%d copies of the request were sent and %d others, a share of %.4f; it reached backends that it crashes %d times and crashed %d",
		sent, others, share, len(c.arrivals), len(c.at))
	if share > deadlyShare {
		return nil, fmt.Errorf("the share of the deadly request is %.4f, more than %v", share, deadlyShare)
	}
	if len(c.at) < 3 {
		return nil, nil
	}
	late := 0
	for _, at := range c.arrivals {
		if at.After(c.at[2].Add(contactS)) {
			late++
		}
	}
	if late <= maxRetries {
		return nil, nil
	}
	return []string{fmt.Sprintf("BUDGET: %s reached backends %d times later than %v after it had crashed the third, %d allowed; it crashed %d",
		deadlyPath, late, contactS, maxRetries, len(c.at))}, nil
}

// crashBy makes the backend, and those that replace it, crash some time after it begins to run
// the deadly request.
func (b *backend) crashBy(seen *crashes, after time.Duration) {
	usual := b.work
	b.work = func(r *http.Request) time.Duration {
		if r.URL.Path != deadlyPath {
			return usual(r)
		}
		seen.mu.Lock()
		seen.arrivals = append(seen.arrivals, time.Now())
		seen.mu.Unlock()
		time.Sleep(after) // its work doesn't notice that the connection is closed
		b.crash(seen, after)
		panic(http.ErrAbortHandler)
	}
}

// crash ends the backend as a crash of its process does, and starts it again later.
func (b *backend) crash(seen *crashes, after time.Duration) {
	b.mu.Lock()
	down := !b.beating
	b.beating = false
	b.mu.Unlock()
	if down {
		return
	}
	b.node.fleet.rec.add("backend %s (%s): crashes", b.id, b.version)
	_ = b.server.Close()
	seen.mu.Lock()
	seen.at = append(seen.at, time.Now())
	seen.mu.Unlock()
	time.AfterFunc(downFor, func() {
		name, start, _ := strings.Cut(b.id, ".")
		number, _ := strconv.Atoi(start)
		again, err := b.node.startBackend(name+"."+strconv.Itoa(number+1), b.slots, lookupWork)
		if err != nil {
			b.node.fleet.rec.add("backend %s: %v", b.id, err)
			return
		}
		again.crashBy(seen, after)
		b.node.fleet.rec.add("backend %s: started", again.id)
	})
}
