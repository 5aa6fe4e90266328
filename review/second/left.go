//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	leftBodyBytes = 40 << 20 // below maxBodyBytes
	leftRate      = 55 << 20 // bytes a second of one client
	leftLarge     = 4        // clients with large bodies at each of the two machines, a quarter of all
	leftSmall     = 24       // others
	leftPatience  = 60 * time.Millisecond
	leftWork      = 300 * time.Millisecond
	leftWindows   = 8 // the disruption comes so often
	leftWindow    = 5 * time.Second
	leftPause     = 3 * time.Second
	leftBlock     = 256 << 10
)

// runLeft sends large bodies, within the limit, to a safe route. With the disruption the clients that
// send them leave before the answer.
func runLeft(b *bed, trouble bool) (int, error) {
	if err := b.configure(1, route("scan", "/scan/", "safe", "back", 5), route("page", "/page/", "safe", "back", 5)); err != nil {
		return couldntBe, err
	}
	for _, machineName := range []string{"back-1", "back-2", "front-1", "front-2"} {
		service, _, _ := strings.Cut(machineName, "-")
		m, err := b.add(machineName, service)
		if err != nil {
			return couldntBe, err
		}
		t := newRawTarget(b, "i-"+machineName, service)
		t.respond = func(r *http.Request, _ []byte) ([]byte, bool) {
			if strings.HasPrefix(r.URL.Path, "/scan/") {
				time.Sleep(leftWork)
			}
			return answer(r.Header.Get(name("id")), http.StatusOK, "scanned"), true
		}
		m.target = t
		if err := m.start(); err != nil {
			return couldntBe, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return couldntBe, err
	}
	for _, m := range b.machines {
		_ = m.writeSettings(false) // for a process that is started again
	}
	begin := time.Now()
	end := begin.Add(leftWindows * (leftWindow + leftPause))
	var next, sent, left, served, small, cut atomic.Int64
	var clients sync.WaitGroup
	for i := range 2 * leftLarge {
		m := b.machines[i%2]
		clients.Go(func() {
			for time.Now().Before(end) {
				leaves := trouble && time.Since(begin)%(leftWindow+leftPause) < leftWindow
				status := scan(m.outbound, fmt.Sprintf("scan%d", next.Add(1)), leaves)
				sent.Add(1)
				switch {
				case status == http.StatusOK:
					served.Add(1)
				case leaves && status < 0:
					left.Add(1)
				default:
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	for i := range leftSmall {
		m := b.machines[i%len(b.machines)]
		clients.Go(func() {
			for time.Now().Before(end) {
				got := call(m.outbound, "GET", "/page/1", fmt.Sprintf("page%d", next.Add(1)), "", 5*time.Second)
				switch got.status {
				case http.StatusOK:
					small.Add(1)
				case 0:
					cut.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	killed := 0
	for time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
		for _, m := range b.machines {
			size := m.residentKiB()
			m.peakKiB = max(m.peakKiB, size)
			if size > memoryMb<<10 {
				b.note("%s: %d KiB resident, the limit is %d MB: the platform kills the process", m.name, size, memoryMb)
				m.signal(syscall.SIGKILL)
				<-m.ended
			}
			if m.hasEnded() {
				killed++
				m.kills++
				time.Sleep(200 * time.Millisecond)
				if err := m.startNode(); err != nil {
					return couldntBe, err
				}
			}
		}
	}
	clients.Wait()
	thrice := 0
	for _, m := range b.machines {
		b.note("%s: ended %d times for its memory, at most %d KiB resident", m.name, m.kills, m.peakKiB)
		if m.kills >= 3 {
			thrice++
		}
	}
	b.note("machines of %d whose process ended three times: %d", len(b.machines), thrice)
	b.note("large bodies %d, served %d, left %d; other requests served %d, without an answer %d", sent.Load(), served.Load(), left.Load(), small.Load(), cut.Load())
	if sent.Load() < 50 {
		return couldntBe, fmt.Errorf("only %d large bodies were sent", sent.Load())
	}
	if killed > 0 {
		return broken, nil
	}
	return held, nil
}

func init() { cases["left"] = runLeft }

// scan sends a large body and returns the status of the answer, 0 without one, -1 if the client left.
func scan(address, id string, leaves bool) int {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(7 * time.Second))
	_, err = fmt.Fprintf(socket, "POST /scan/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 6000\r\nContent-Length: %d\r\n\r\n",
		siteHost, name("id"), id, name("deadline"), leftBodyBytes)
	begin, block := time.Now(), make([]byte, leftBlock)
	for n := 0; n < leftBodyBytes && err == nil; n += leftBlock {
		_, err = socket.Write(block)
		time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / leftRate)))
	}
	if err != nil {
		return 0
	}
	if leaves {
		time.Sleep(leftPatience)
		return -1
	}
	buffer := make([]byte, len("HTTP/1.1 200"))
	if _, err := socket.Read(buffer); err != nil {
		return 0
	}
	var status int
	_, _ = fmt.Sscanf(string(buffer), "HTTP/1.1 %d", &status)
	return status
}
