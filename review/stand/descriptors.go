//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["descriptors"] = descriptors }

const (
	maxFds    = 4100 // as in the settings of the users' pages
	manyConns = 4200
)

// descriptors lets many clients keep connections to one machine open while another machine
// starts.
func descriptors(f *fleet, trouble bool) ([]string, error) {
	f.maxFds = maxFds
	if err := f.configure(1, []string{"orderdesk", "plotfinder"}, route{"order", "/order/", "unsafe", "orderdesk", 4, 2}); err != nil {
		return nil, err
	}
	var backends []*backend
	for i, service := range []string{"orderdesk", "orderdesk", "plotfinder"} {
		n, err := f.add("m"+strconv.Itoa(i), service, "")
		if err != nil {
			return nil, err
		}
		b, err := n.startBackend("i-"+strconv.Itoa(i), 79, 300*time.Millisecond)
		if err != nil {
			return nil, err
		}
		backends = append(backends, b)
	}
	busy, later := f.nodes[0], f.nodes[2]
	for _, n := range f.nodes[:2] {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second) // the machines are in touch
	end := time.Now().Add(15 * time.Second)
	cut := 0
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range 20 {
		clients.Go(func() {
			c := client{address: busy.outbound}
			defer c.close()
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("o%d-%d", i, k)
				kept := c.socket != nil
				f.rec.add("client: %s sent to %s, kept connection: %v", id, busy.name, kept)
				a := c.send(http.MethodPost, "/order/"+id, id, 4*time.Second, []byte("order"))
				ran := 0
				for _, b := range backends {
					ran += b.ran(id)
				}
				f.rec.add("client: %s ran %d times: %v", id, ran, a)
				if kept && ran > 0 && a.err != nil && !errors.Is(a.err, errTimeout) {
					mu.Lock()
					cut++
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	var conns []net.Conn
	if trouble {
		for range manyConns {
			c, err := net.DialTimeout("tcp", busy.outbound, time.Second)
			if err != nil {
				break
			}
			conns = append(conns, c)
		}
	}
	if trouble && len(conns) < manyConns {
		return nil, fmt.Errorf("only %d connections could be opened", len(conns))
	}
	f.rec.add("clients: %d further connections to %s are open", len(conns), busy.name)
	if err := later.writeSettings(false); err != nil { // the system as a whole runs already
		return nil, err
	}
	if err := later.start(); err != nil {
		return nil, err
	}
	clients.Wait()
	for _, c := range conns {
		_ = c.Close()
	}
	busy.mu.Lock()
	defer busy.mu.Unlock()
	f.rec.add("%s ended %d times by itself and cut %d requests that ran", busy.name, busy.ends, cut)
	if busy.ends == 0 || cut <= maxCut {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: the process of %s ended by itself (%d times); it had passed %d requests from kept connections on, and these were closed without an answer, %d allowed",
		busy.name, busy.ends, cut, maxCut)}, nil
}
