package link

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// BenchmarkCalls measures calls of 16 goroutines over one connection.
func BenchmarkCalls(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 32 << 10} {
		b.Run(fmt.Sprintf("body-%d", size), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := NewPool(&fakeNode{name: "server", serve: echo}, time.Now)
			go func() { _ = server.Serve(listener) }()
			client := NewPool(&fakeNode{name: "caller", serve: echo}, time.Now)
			defer func() {
				_ = listener.Close()
				server.Close()
				client.Close()
			}()
			body := make([]byte, size)
			b.ReportAllocs()
			b.SetParallelism(16)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					c := call("1")
					c.Header, c.Body = []string{"Accept", "text/plain", "User-Agent", "bench"}, body
					if _, err := client.Do(context.Background(), listener.Addr().String(), c); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
