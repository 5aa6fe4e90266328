package decisionlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestWriter(t *testing.T) {
	Convey("Lines come out in their order", t, func() {
		out := &stuck{release: make(chan struct{})}
		close(out.release)
		w := NewWriter(out, 100)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, _ = w.Write([]byte(line))
		}
		w.Close()
		So(out.got.String(), ShouldEqual, "a\nb\nc\n")
	})
	Convey("Lines beyond the limit are left out and counted", t, func() {
		out := &stuck{release: make(chan struct{})}
		close(out.release)
		w := NewWriter(out, 2)
		second := time.Unix(1000, 0)
		w.now = func() time.Time { return second }
		for range 5 {
			_, _ = w.Write([]byte("x\n"))
		}
		So(w.Omitted(), ShouldEqual, 3)
		w.Close()
		So(strings.Count(out.got.String(), "x\n"), ShouldEqual, 2)
		So(out.got.String(), ShouldContainSubstring, `"lines":3`)
	})
	Convey("An output that takes nothing holds nobody up", t, func() {
		out := &stuck{release: make(chan struct{})}
		w := NewWriter(out, 100*queueLines)
		for range 10 * queueLines { // more than the queue and a batch hold
			_, _ = w.Write([]byte("x\n"))
		}
		So(w.Omitted(), ShouldBeGreaterThan, 0)
		close(out.release)
		w.Close()
	})
}
