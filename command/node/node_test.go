package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFaultyNodes(t *testing.T) {
	Convey("A reply that is too large is truncated and is an error", t, func() {
		var sent atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			part := make([]byte, 1<<20)
			for range 64 {
				n, err := w.Write(part)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}))
		defer server.Close()
		_, err := New().Status(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		So(err, ShouldNotBeNil)
		server.Close()
		So(sent.Load(), ShouldBeLessThan, 64<<20)
	})
	Convey("The error for a server that is not a node says so", t, func() {
		server := httptest.NewServer(http.NotFoundHandler())
		defer server.Close()
		_, err := New().Status(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		So(err.Error(), ShouldContainSubstring, "HTTP status 404, so this is not the peer listener of a node")
	})
}
