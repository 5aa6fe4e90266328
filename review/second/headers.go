//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	cookieBytes     = 15000 // with the rest of the head below maxHeaderBytes
	sessionRequests = 12
	headerWorkers   = 16 // at each entry
	headerRunTime   = 95 * time.Second
	entries         = 2
)

func init() { cases["headers"] = runHeaders }

// runHeaders lets many users make a short visit each. With the disruption each user's requests carry
// the user's own long header field.
func runHeaders(b *bed, trouble bool) (int, error) {
	if err := b.configure(1, route("page", "/page/", "safe", "back", 5)); err != nil {
		return couldntBe, err
	}
	for _, machineName := range []string{"front-1", "front-2", "back-1", "back-2", "back-3", "back-4"} {
		m, err := b.add(machineName, machineName[:strings.IndexByte(machineName, '-')])
		if err != nil {
			return couldntBe, err
		}
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
	var users, sent, lost atomic.Int64
	var statuses sync.Map
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for i := range entries * headerWorkers {
		entry := b.machines[i%entries]
		workers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				user := users.Add(1)
				visit(entry, user, trouble, func(status int) {
					sent.Add(1)
					if status == 0 {
						lost.Add(1)
					}
					n, _ := statuses.LoadOrStore(status, new(atomic.Int64))
					n.(*atomic.Int64).Add(1)
				})
			}
		})
	}
	ended := time.Now().Add(headerRunTime)
	killed := 0 // processes that the platform ended for their memory, or that ended by themselves
	for tick := 0; time.Now().Before(ended); tick++ {
		time.Sleep(100 * time.Millisecond)
		line := ""
		for _, m := range b.machines {
			size := m.residentKiB()
			m.peakKiB = max(m.peakKiB, size)
			line += fmt.Sprintf(" %s %d MB", m.name, size>>10)
			if size > memoryMb<<10 {
				killed++
				m.kills++
				b.note("%s: %d KiB resident, the limit is %d MB: the platform kills the process", m.name, size, memoryMb)
				m.signal(syscall.SIGKILL)
			}
			if m.hasEnded() {
				if size == 0 {
					killed++
					m.kills++
				}
				time.Sleep(200 * time.Millisecond)
				if err := m.startNode(); err != nil {
					return couldntBe, err
				}
			}
		}
		if tick%20 == 0 {
			b.note("users %d, requests %d, without an answer %d, resident:%s", users.Load(), sent.Load(), lost.Load(), line)
		}
	}
	close(stop)
	workers.Wait()
	statuses.Range(func(status, n any) bool {
		b.note("answers with status %d: %d", status, n.(*atomic.Int64).Load())
		return true
	})
	thrice := 0
	for _, m := range b.machines {
		b.note("%s: ended %d times for its memory, at most %d KiB resident", m.name, m.kills, m.peakKiB)
		if m.kills >= 3 {
			thrice++
		}
	}
	b.note("machines of %d whose process ended three times: %d", len(b.machines), thrice)
	if sent.Load() < 1000 {
		return couldntBe, fmt.Errorf("only %d requests were sent", sent.Load())
	}
	if killed > 0 {
		return broken, nil
	}
	return held, nil
}

// visit makes the requests of one user on one connection.
func visit(m *machine, user int64, long bool, ended func(status int)) {
	socket, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	cookie := ""
	if long {
		id := strconv.FormatInt(user, 10)
		cookie = "Cookie: session=" + id + strings.Repeat("c", cookieBytes-len(id)) + "\r\n"
	}
	for n := range sessionRequests {
		_ = socket.SetDeadline(time.Now().Add(6 * time.Second))
		_, err := fmt.Fprintf(socket, "GET /page/%d HTTP/1.1\r\nHost: %s\r\n%s: u%d.%d\r\n%s: 5000\r\n%s\r\n",
			n, siteHost, name("id"), user, n, name("deadline"), cookie)
		if err != nil {
			ended(0)
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			ended(0)
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil {
			ended(0)
			return
		}
		ended(response.StatusCode)
		if response.Close {
			return
		}
	}
}
