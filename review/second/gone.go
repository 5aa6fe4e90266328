//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	goneSlots     = 11
	goneWork      = 800 * time.Millisecond
	goneStayers   = 28
	goneLeavers   = 12 // 0.3 of all clients
	gonePatience  = 300 * time.Millisecond
	gonePause     = 600 * time.Millisecond // behind a request that was left or not served
	goneBodyBytes = 1 << 20
	goneWindow    = 5 * time.Second
	goneLate      = 500 * time.Millisecond
	goneAllowed   = 3
	goneDeadline  = 6 * time.Second
)

// runGone sends uploads of a safe route, each with a further safe request behind it on its connection.
// With the disruption some of the clients leave before the first answer.
func runGone(b *bed, trouble bool) (int, error) {
	if err := b.configure(1, route("match", "/match/", "safe", "back", 4)); err != nil {
		return couldntBe, err
	}
	var mu sync.Mutex
	arrived, left := map[string]time.Time{}, map[string]time.Time{}
	atWork := map[string]time.Time{} // end of the work
	for _, machineName := range []string{"front-1", "back-1", "back-2"} {
		service, _, _ := strings.Cut(machineName, "-")
		m, err := b.add(machineName, service)
		if err != nil {
			return couldntBe, err
		}
		t := newRawTarget(b, "i-"+machineName, service)
		t.slots = goneSlots
		t.respond = func(r *http.Request, _ []byte) ([]byte, bool) {
			id := r.Header.Get(name("id"))
			mu.Lock()
			arrived[id] = time.Now()
			mu.Unlock()
			time.Sleep(goneWork)
			mu.Lock()
			atWork[id] = time.Now()
			mu.Unlock()
			return answer(id, http.StatusOK, "matched"), true
		}
		m.target = t
		if err := m.start(); err != nil {
			return couldntBe, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return couldntBe, err
	}
	entry := b.machines[0].outbound
	var served, sent atomic.Int64
	begin := time.Now().Add(4 * time.Second)
	end := begin.Add(goneWindow + 4*time.Second)
	body := strings.Repeat("b", goneBodyBytes)
	var clients sync.WaitGroup
	for i := range goneStayers + goneLeavers {
		leaver := i >= goneStayers
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("c%d.%d", i, n)
				sent.Add(2)
				leaves := trouble && leaver && time.Now().After(begin) && time.Now().Before(begin.Add(goneWindow))
				answers := upload(entry, id, body, leaves, func() {
					mu.Lock()
					left[id+".1"], left[id+".2"] = time.Now(), time.Now()
					mu.Unlock()
				})
				served.Add(int64(answers))
				if answers < 2 {
					time.Sleep(gonePause)
				}
			}
		})
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	late, working := 0, 0
	for id, at := range left {
		arrival, ok := arrived[id]
		switch {
		case ok && arrival.Sub(at) > goneLate:
			late++
			b.note("%s reached a backend %.2f s after its client had left", id, arrival.Sub(at).Seconds())
		case ok && atWork[id].Sub(at) > goneLate:
			working++
		}
	}
	b.note("requests %d, served %d, of clients that left %d, of these reached a backend over half a second later %d (allowed %d), at work so late %d",
		sent.Load(), served.Load(), len(left), late, goneAllowed, working)
	if served.Load() < 50 {
		return couldntBe, fmt.Errorf("only %d requests were served", served.Load())
	}
	if late > goneAllowed {
		return broken, nil
	}
	return held, nil
}

func init() { cases["gone"] = runGone }

// upload sends an upload and a further request behind it, and returns the number of answers with
// status 200. A client that leaves closes the connection before.
func upload(address, id, body string, leaves bool, left func()) (answers int) {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(goneDeadline + time.Second))
	for i, content := range []string{body, ""} {
		_, err = fmt.Fprintf(socket, "POST /match/%d HTTP/1.1\r\nHost: %s\r\n%s: %s.%d\r\n%s: %d\r\nContent-Length: %s\r\n\r\n%s",
			i, siteHost, name("id"), id, i+1, name("deadline"), goneDeadline.Milliseconds(), strconv.Itoa(len(content)), content)
		if err != nil {
			return 0
		}
	}
	if leaves {
		time.Sleep(gonePatience)
		left()
		return 0
	}
	reader := bufio.NewReader(socket)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		content := make([]byte, response.ContentLength)
		if _, err := response.Body.Read(content); err != nil && response.ContentLength < 0 {
			return answers
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			answers++
		}
	}
	return answers
}
