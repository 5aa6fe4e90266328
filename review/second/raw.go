//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// rawTarget is a stand-in of a target that writes its answers byte by byte as a case wants them.
type rawTarget struct {
	bed         *bed
	id, service string
	born        int64
	slots       int
	// respond returns the whole answer to a request that runs, and whether the connection is kept.
	respond func(r *http.Request, body []byte) (answer []byte, keep bool)
	// stream, if set, writes the answer in place of respond. The connection is closed after it.
	stream func(socket net.Conn, id string)

	mu       sync.Mutex
	sequence int
	runs     map[string]int // by request ID
	listener net.Listener
	conns    map[net.Conn]struct{}
}

func newRawTarget(b *bed, id, service string) *rawTarget {
	return &rawTarget{bed: b, id: id, service: service, slots: slots, born: time.Now().UnixMilli(), runs: map[string]int{}, conns: map[net.Conn]struct{}{}}
}

func (t *rawTarget) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.listener = listener
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.conns[socket] = struct{}{}
			t.mu.Unlock()
			go t.serve(socket)
		}
	}()
	return nil
}

func (t *rawTarget) Stop() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for socket := range t.conns {
		_ = socket.Close()
	}
}

func (t *rawTarget) serve(socket net.Conn) {
	defer func() {
		_ = socket.Close()
		t.mu.Lock()
		delete(t.conns, socket)
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get(name("id"))
		if expected := request.Header.Get(name("expect")); expected != "" && expected != t.id {
			_, err = fmt.Fprintf(socket, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", name("id"), id, name("instance"), t.id)
			if err != nil {
				return
			}
			continue
		}
		t.mu.Lock()
		t.runs[id]++
		t.mu.Unlock()
		if t.stream != nil {
			t.stream(socket, id)
			return
		}
		answer, keep := t.respond(request, body)
		if _, err := socket.Write(answer); err != nil || !keep {
			return
		}
	}
}

func (t *rawTarget) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// total returns how many requests ran.
func (t *rawTarget) total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}

// SendHeartbeat sends a heartbeat to the node's control address.
func (t *rawTarget) SendHeartbeat(control, state string) error {
	t.mu.Lock()
	t.sequence++
	sequence := t.sequence
	t.mu.Unlock()
	content, err := message("heartbeat", map[string]any{
		"Address": t.listener.Addr().String(), "Born": t.born, "Service": t.service, "Slots": t.slots, "State": state, "Sequence": sequence,
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+control+"/gypsumford/instances/"+t.id, bytes.NewReader(content))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

// answer returns a whole answer with a signature and a length. fields are further lines of its head.
func answer(id string, status int, body string, fields ...string) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: signed.%s\r\n%s: 1,0,%d\r\n",
		status, http.StatusText(status), name("id"), id, name("signature"), id, name("load"), slots)
	for _, field := range fields {
		head += field + "\r\n"
	}
	return []byte(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body)
}

// reply is what a caller got.
type reply struct {
	status int // 0 if the connection ended without an answer
	head   []string
	body   string
}

// call sends a request on a new connection and reads the answer as its bytes came. It ends after the
// time even without an answer.
func call(address, method, path, id, body string, within time.Duration) reply {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{}
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(within + 500*time.Millisecond))
	_, err = fmt.Fprintf(socket, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, siteHost, name("id"), id, name("deadline"), within.Milliseconds(), len(body), body)
	if err != nil {
		return reply{}
	}
	reader := bufio.NewReader(socket)
	var got reply
	length := -1
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return reply{}
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		got.head = append(got.head, line)
		if field, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(field, "Content-Length") {
			_, _ = fmt.Sscan(value, &length)
		}
	}
	if len(got.head) == 0 {
		return reply{}
	}
	_, _ = fmt.Sscanf(got.head[0], "HTTP/1.1 %d", &got.status)
	if length > 0 {
		content := make([]byte, length)
		if _, err := io.ReadFull(reader, content); err != nil {
			return reply{}
		}
		got.body = string(content)
	}
	return got
}
