//go:build review

package main

import (
	"bytes"
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
	spoiledShare  = 0.02            // of the answers of a garbling backend
	closingShare  = 0.2             // of all answers: in chunks, and the connection is closed behind them
	garbleWindow  = 5 * time.Second // at a time, with garblePause between
	garblePause   = 2 * time.Second
	mixedRequests = 8000
	mixedWorkers  = 8
	mixedEntries  = 4
	mixedPause    = 12 * time.Millisecond
)

func init() { cases["mixed"] = runMixed }

// runMixed sends lookups. With the disruption two of the four backends spoil a byte in the head of a
// few of their answers.
func runMixed(b *bed, trouble bool) (int, error) {
	if err := b.configure(1, route("page", "/page/", "safe", "back", 5)); err != nil {
		return couldntBe, err
	}
	for _, machineName := range []string{"front-1", "front-2", "front-3", "front-4", "back-1", "back-2", "back-3", "back-4"} {
		service, number, _ := strings.Cut(machineName, "-")
		m, err := b.add(machineName, service)
		if err != nil {
			return couldntBe, err
		}
		t := newRawTarget(b, "i-"+machineName, service)
		garbles := trouble && service == "back" && (number == "1" || number == "2")
		random := rand.New(rand.NewPCG(1, 2))
		var lock sync.Mutex
		t.respond = func(r *http.Request, _ []byte) ([]byte, bool) {
			id := r.Header.Get(name("id"))
			field := "Transfer-Id: " + id
			lock.Lock()
			spoiled := garbles && time.Since(b.started)%(garbleWindow+garblePause) < garbleWindow && random.Float64() < spoiledShare
			closes := random.Float64() < closingShare
			lock.Unlock()
			time.Sleep(5 * time.Millisecond)
			if closes {
				whole := chunkedAnswer(id, pageOf(id), field)
				if spoiled {
					whole = bytes.Replace(whole, []byte("HTTP/1.1"), []byte("HTTP/1.0"), 1)
					b.note("back-%s spoils a byte of its answer in chunks to %s: %.15q", number, id, whole)
				}
				return whole, false
			}
			if spoiled {
				field = strings.Replace(field, "-", " ", 1)
				b.note("back-%s spoils a byte of its answer to %s: %q", number, id, field)
			}
			return answer(id, http.StatusOK, pageOf(id), field), true
		}
		m.target = t
		if err := m.start(); err != nil {
			return couldntBe, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return couldntBe, err
	}
	var next, served, malformed, wrong atomic.Int64
	var workers sync.WaitGroup
	for i := range mixedWorkers {
		entry := b.machines[i%mixedEntries].outbound
		workers.Go(func() {
			for {
				n := next.Add(1)
				if n > mixedRequests {
					return
				}
				time.Sleep(mixedPause)
				id := "page" + strconv.FormatInt(n, 10)
				got := call(entry, "GET", "/page/"+strconv.FormatInt(n, 10), id, "", 5*time.Second)
				if got.status == http.StatusOK {
					served.Add(1)
					if got.body != pageOf(id) {
						wrong.Add(1)
						b.note("%s: the caller got a success with another body: %q in place of %q, %q", id, got.body, pageOf(id), got.head)
					}
				}
				if why := malformedHead(got.head); why != "" {
					malformed.Add(1)
					b.note("%s: the caller got bytes that are no answer in the protocol, %s: %q", id, why, got.head)
				}
			}
		})
	}
	workers.Wait()
	for _, m := range b.machines {
		b.note("%s ran %d requests", m.name, m.target.(*rawTarget).total())
	}
	b.note("requests %d, served %d, successes with another body %d, answers that are none in the protocol %d",
		mixedRequests, served.Load(), wrong.Load(), malformed.Load())
	if served.Load() < mixedRequests/2 {
		return couldntBe, fmt.Errorf("only %d requests were served", served.Load())
	}
	if malformed.Load()+wrong.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// pageOf returns the body of the answer to a request.
func pageOf(id string) string { return "a page for " + id }

// chunkedAnswer returns a whole answer in two chunks, behind which the target closes the connection.
func chunkedAnswer(id, body, field string) []byte {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed.%s\r\n%s\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
		name("id"), id, name("signature"), id, field)
	const first = 5
	return fmt.Appendf([]byte(head), "%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", first, body[:first], len(body)-first, body[first:])
}

// malformedHead returns why the lines are no head of an HTTP/1.1 answer, "" if they are one.
func malformedHead(lines []string) string {
	for i, line := range lines {
		if i == 0 {
			continue
		}
		field, _, found := strings.Cut(line, ":")
		if !found || field == "" {
			return fmt.Sprintf("the line %q has no field name", line)
		}
		for _, c := range []byte(field) {
			alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
			if !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
				return fmt.Sprintf("the field name %q has the byte %q", field, c)
			}
		}
	}
	return ""
}
