package egress

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

// startEndlessTarget starts a target that accepts one connection, and sends the prefix once and
// then the repeated bytes until the connection is closed. sent counts the repeated bytes.
func startEndlessTarget(t *testing.T, prefix, repeated string) (address string, sent *atomic.Int64, closed chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent, closed = &atomic.Int64{}, make(chan struct{})
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		defer close(closed)
		defer func() { _ = socket.Close() }()
		_, _ = socket.Read(make([]byte, 1000))
		_, err = socket.Write([]byte(prefix))
		for err == nil {
			var n int
			n, err = socket.Write([]byte(repeated))
			sent.Add(int64(n))
			if len(repeated) == 1 {
				time.Sleep(time.Millisecond)
			}
		}
	}()
	return listener.Addr().String(), sent, closed
}

func TestBytesWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, c := range map[string]struct {
		prefix, repeated string
		maxSent          int64 // bytes that the target can send: those that are read, and those in buffers
	}{
		"that aren't HTTP":               {"", strings.Repeat("x", 4096), 16 << 20},
		"in a header field":              {ok + "A: ", strings.Repeat("x", 4096), 16 << 20},
		"in many header fields":          {ok, strings.Repeat("A: x\r\n", 500), 16 << 20},
		"of interim responses":           {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100), 16 << 20},
		"in a body":                      {ok + "\r\n", strings.Repeat("x", 1<<16), 96 << 20},
		"in chunks":                      {ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", 96 << 20},
		"in the size line of a chunk":    {ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1", 4096), 96 << 20},
		"in trailers":                    {ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", strings.Repeat("A: x\r\n", 500), 160 << 20},
		"of responses to other requests": {"", strings.Repeat("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n", 100), 16 << 20},
	} {
		Convey("Endless bytes "+name+" end in ErrBroken, use bounded memory, and the connection is closed", t, func() {
			address, sent, closed := startEndlessTarget(t, c.prefix, c.repeated)
			const memoryBytes = 184 << 20
			s := NewSender(NewPool(address, time.Now), plainDialect{}, memoryBytes)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := s.Send(ctx, &Request{ID: "1", Method: http.MethodGet, URI: "/", Host: "h"})
			So(errors.Is(err, ErrBroken), ShouldBeTrue)
			So(ctx.Err(), ShouldBeNil)
			<-closed
			So(sent.Load(), ShouldBeLessThan, c.maxSent)
			So(s.budget.Used(), ShouldEqual, 0)
			So(s.pool.popIdle(""), ShouldBeNil)
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			So(m.HeapInuse, ShouldBeLessThan, memoryBytes)
		})
	}
	Convey("Reading an endless slow response ends at the deadline", t, func() {
		address, _, closed := startEndlessTarget(t, ok+"\r\n", "x")
		s := NewSender(NewPool(address, time.Now), plainDialect{}, 0)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := s.Send(ctx, &Request{ID: "1", Method: http.MethodGet, URI: "/", Host: "h"})
		So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
		<-closed
	})
	Convey("Bodies that are read concurrently share one memory limit", t, func() {
		s := NewSender(NewPool("", time.Now), plainDialect{}, 8<<20)
		other := s.budget.Lease(s.budget.MaxBytes() - 100_000)
		So(other, ShouldNotBeNil)
		held := s.budget.Used()
		_, _, _, err := s.readBody(strings.NewReader(strings.Repeat("x", 200_000)), -1)
		So(errors.Is(err, memory.ErrNoRoom), ShouldBeTrue)
		So(s.budget.Used(), ShouldEqual, held)
		other.Release()
		first, rest, lease, err := s.readBody(strings.NewReader(strings.Repeat("x", 200_000)), -1)
		So(err, ShouldBeNil)
		So(memory.Size(first, rest), ShouldEqual, 200_000)
		So(s.budget.Used(), ShouldBeGreaterThanOrEqualTo, 200_000)
		lease.Release()
		So(s.budget.Used(), ShouldEqual, 0)
	})
}

func TestSecondCopyOfAResponse(t *testing.T) {
	Convey("A copy that arrives after the next request was sent is skipped, and the connection isn't reused", t, func() {
		var count atomic.Int32
		target := newFakeTarget(t, func(id string) (string, bool) {
			if count.Add(1) == 2 {
				return okResponse("1", "1") + okResponse(id, id), false
			}
			return okResponse(id, id), false
		})
		s := newTestSender(target)
		for _, id := range []string{"1", "2", "3"} {
			response, err := send(s, id)
			So(err, ShouldBeNil)
			So(string(response.Body), ShouldEqual, id)
		}
		So(target.connections.Load(), ShouldEqual, 2)
	})
}
