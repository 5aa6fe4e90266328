package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answeringHandler answers each request at once.
type answeringHandler struct{}

func (answeringHandler) Handle(_ context.Context, r *Request) *Response {
	return &Response{Status: http.StatusOK, Header: []string{"X", "y"}, Body: []byte("answer")}
}
func (answeringHandler) IsIdempotent(*Request) bool { return true }
func (answeringHandler) Limits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// BenchmarkRequests measures requests that follow each other on one connection.
func BenchmarkRequests(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 32 << 10} {
		b.Run(fmt.Sprintf("body-%d", size), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := NewServer(plainDialect{}, answeringHandler{}, 0, time.Now)
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			defer func() { _ = listener.Close() }()
			socket, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			reader := bufio.NewReader(socket)
			request := fmt.Sprintf("POST /path HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(socket, request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}
