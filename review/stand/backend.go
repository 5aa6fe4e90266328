//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// backend is a sound backend: it runs requests, signs its answers and sends heartbeats.
type backend struct {
	node     *node
	id       string
	born     int64
	slots    int
	version  string // of its software
	work     func(r *http.Request) time.Duration
	leaving  bool // its answers state that it leaves
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	sequence int
	beating  bool
	runs     map[string]int
	began    map[string]time.Time
	ended    map[string]time.Time
	running  int
}

func (n *node) startBackend(id string, slots int, work time.Duration) (*backend, error) {
	b := &backend{node: n, id: id, born: time.Now().UnixMilli(), slots: slots, version: n.version, runs: map[string]int{}, began: map[string]time.Time{}, ended: map[string]time.Time{}}
	b.work = func(*http.Request) time.Duration { return work }
	var err error
	if b.listener, err = net.Listen("tcp", n.app); err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(b.listener) }()
	b.beating = true
	go b.beat()
	return b, nil
}

// ServeHTTP runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	if r.URL.Path == "/health" {
		w.Header().Set(names.Instance, b.id)
		return
	}
	if expected := r.Header.Get(names.Expected); expected != "" && expected != b.id {
		w.Header().Set(names.Instance, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(names.RequestID, id)
	b.mu.Lock()
	if b.leaving {
		w.Header().Set(names.Leaving, "1")
	}
	full := b.running >= 2*b.slots
	if !full {
		b.running++
		b.runs[id]++
		b.began[id] = time.Now()
	}
	b.mu.Unlock()
	if full {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		b.mu.Lock()
		b.running--
		b.ended[id] = time.Now()
		b.mu.Unlock()
	}()
	b.node.fleet.rec.add("backend %s (%s): runs %s %s %s caller %s deadline %s", b.id, b.node.service, id, r.Method, r.URL.RequestURI(),
		r.Header.Get(names.Caller), r.Header.Get(names.Deadline))
	sum := sha256.New()
	size, err := io.Copy(sum, r.Body)
	if err != nil {
		b.node.fleet.rec.add("backend %s: %s broken off after %d bytes: %v", b.id, id, size, err)
		return
	}
	select {
	case <-time.After(b.work(r)):
	case <-r.Context().Done():
		b.node.fleet.rec.add("backend %s: %s cancelled", b.id, id)
		return
	}
	w.Header().Set(names.Signature, "signed-"+id)
	_, _ = fmt.Fprintf(w, "%s %d %s", id, size, hex.EncodeToString(sum.Sum(nil)[:8]))
}

func (b *backend) stateLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

func (b *backend) ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// times returns when the run of a request began and ended, and whether it ran.
func (b *backend) times(id string) (began, ended time.Time, ran bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	began, ran = b.began[id]
	return began, b.ended[id], ran
}

// beat sends heartbeats.
func (b *backend) beat() {
	for {
		b.mu.Lock()
		on := b.beating
		b.mu.Unlock()
		if !on {
			return
		}
		_ = b.heartbeat("ready")
		time.Sleep(heartbeat)
	}
}

func (b *backend) stopBeats() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beating = false
}

// content is the body of the next heartbeat.
func (b *backend) content(state string) []byte {
	b.mu.Lock()
	b.sequence++
	sequence := b.sequence
	b.mu.Unlock()
	content, err := render("heartbeat.json.tmpl", map[string]any{
		"Address": b.node.app, "Born": b.born, "Service": b.node.service, "Slots": b.slots, "State": state, "Sequence": sequence, "SoftwareVersion": b.version,
	})
	if err != nil {
		b.node.fleet.rec.add("heartbeat of %s: %v", b.id, err)
	}
	return content
}

func (b *backend) heartbeat(state string) error { return b.call(http.MethodPut, b.content(state)) }

func (b *backend) call(method string, content []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.node.control+"/gypsumford/instances/"+b.id, bytes.NewReader(content))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// errTimeout means that the client gave up after its deadline.
var errTimeout = errors.New("the deadline has passed")

// answer is what a client got.
type answer struct {
	status    int
	signature string
	leaving   string // value of the field that states that the backend leaves
	id        string
	body      string
	err       error
	took      time.Duration
}

// client is one connection of a client.
type client struct {
	address string
	chunked bool // bodies are sent in chunks
	perS    int  // bytes of a body that are sent in a second, 0 for no limit
	reader  *bufio.Reader

	mu     sync.Mutex
	socket net.Conn
}

// cut closes the client's connection while a request may be in flight. It reports whether
// there was one.
func (c *client) cut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.socket == nil {
		return false
	}
	_ = c.socket.Close()
	return true
}

// writeBody writes a body, not faster than the client's limit.
func (c *client) writeBody(body []byte) error {
	started, sent := time.Now(), 0
	for sent < len(body) {
		n := min(len(body)-sent, 256<<10)
		if _, err := c.socket.Write(body[sent : sent+n]); err != nil {
			return err
		}
		sent += n
		if c.perS > 0 {
			time.Sleep(time.Until(started.Add(time.Duration(sent) * time.Second / time.Duration(c.perS))))
		}
	}
	return nil
}

// send sends a request on the client's connection, which it opens if there is none.
func (c *client) send(method, path, id string, deadline time.Duration, body []byte) answer {
	started := time.Now()
	fail := func(err error) answer {
		c.close()
		return answer{err: err, took: time.Since(started)}
	}
	if c.socket == nil {
		socket, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return fail(fmt.Errorf("no connection: %w", err))
		}
		c.mu.Lock()
		c.socket, c.reader = socket, bufio.NewReader(socket)
		c.mu.Unlock()
	}
	_ = c.socket.SetDeadline(started.Add(deadline + time.Second))
	head := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + names.RequestID + ": " + id +
		"\r\n" + names.Deadline + ": " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n"
	if c.chunked {
		head += "Transfer-Encoding: chunked\r\n"
		body = inChunks(body)
	} else if method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := io.WriteString(c.socket, head+"\r\n"); err != nil {
		return fail(err)
	}
	if err := c.writeBody(body); err != nil {
		return fail(err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fail(errTimeout)
	}
	if err != nil {
		return fail(err)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return fail(err)
	}
	if response.Close {
		c.close()
	}
	return answer{
		status: response.StatusCode, signature: response.Header.Get(names.Signature),
		leaving: response.Header.Get(names.Leaving), id: response.Header.Get(names.RequestID), body: strings.TrimSpace(string(content)), took: time.Since(started),
	}
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.socket != nil {
		_ = c.socket.Close()
		c.socket = nil
	}
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v) after %.3f s", a.err, a.took.Seconds())
	}
	return fmt.Sprintf("%d signature %q %.60q after %.3f s", a.status, a.signature, a.body, a.took.Seconds())
}

// isReady asks for readiness as the platform does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + n.ready + "/gypsumford/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, n := range f.nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// inChunks returns the body in chunks of 64 KiB.
func inChunks(body []byte) []byte {
	var encoded bytes.Buffer
	for len(body) > 0 {
		n := min(len(body), 64<<10)
		fmt.Fprintf(&encoded, "%x\r\n", n)
		encoded.Write(body[:n])
		encoded.WriteString("\r\n")
		body = body[n:]
	}
	encoded.WriteString("0\r\n\r\n")
	return encoded.Bytes()
}
