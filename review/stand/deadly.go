//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly"] = deadly }

const (
	deadlyPath  = "/lookup/deadly"
	giveUpAfter = 250 * time.Millisecond // the client leaves before its deadline
	crashAfter  = 500 * time.Millisecond // the backend crashes, well before the deadline of the request
	downFor     = 2 * time.Second        // until the backend is back
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
		b, err := n.startBackend("i-"+strconv.Itoa(i)+".1", 79, 20*time.Millisecond)
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
	end := time.Now().Add(60 * time.Second)
	var clients sync.WaitGroup
	for i := range 9 {
		clients.Go(func() {
			c := client{address: f.nodes[i%len(f.nodes)].outbound}
			defer c.close()
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("c%d-%d", i, k)
				f.rec.add("client %d: %s sent to %s", i, id, f.nodes[i%len(f.nodes)].name)
				f.rec.add("client %d: %s %v", i, id, c.send(http.MethodGet, "/lookup/"+id, id, 4*time.Second, nil))
				time.Sleep(time.Second)
			}
		})
	}
	for k := 0; time.Now().Before(end); k++ { // one client in ten leaves early
		n := f.nodes[k%len(f.nodes)]
		c := client{address: n.outbound}
		id := "deadly-" + strconv.Itoa(k)
		f.rec.add("client 9: %s sent to %s, %s", id, n.name, deadlyPath)
		if socket, err := net.Dial("tcp", n.outbound); err == nil {
			c.socket = socket
			fmt.Fprintf(socket, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\n\r\n", deadlyPath, host, names.RequestID, id, names.Deadline)
			_ = socket.SetReadDeadline(time.Now().Add(giveUpAfter))
			answer := make([]byte, 100)
			got, _ := socket.Read(answer)
			status, _, _ := strings.Cut(string(answer[:got]), "\r\n")
			f.rec.add("client 9: %s got %q and closes its connection", id, status)
			c.close()
		}
		time.Sleep(1500*time.Millisecond - giveUpAfter)
	}
	clients.Wait()
	return seen.check(f), nil
}

// check counts how often the request reached backends later than contactS after it had
// crashed the third.
func (c *crashes) check(f *fleet) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	f.rec.add("the request reached backends %d times and crashed %d", len(c.arrivals), len(c.at))
	if len(c.at) < 3 {
		return nil
	}
	late := 0
	for _, at := range c.arrivals {
		if at.After(c.at[2].Add(contactS)) {
			late++
		}
	}
	if late <= maxRetries {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: %s reached backends %d times later than %v after it had crashed the third, %d allowed; it crashed %d",
		deadlyPath, late, contactS, maxRetries, len(c.at))}
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
		again, err := b.node.startBackend(name+"."+strconv.Itoa(number+1), b.slots, 20*time.Millisecond)
		if err != nil {
			b.node.fleet.rec.add("backend %s: %v", b.id, err)
			return
		}
		again.crashBy(seen, after)
		b.node.fleet.rec.add("backend %s: started", again.id)
	})
}
