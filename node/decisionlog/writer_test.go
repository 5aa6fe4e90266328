package decisionlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedOutput is an output that blocks until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func TestWriter(t *testing.T) {
	Convey("Lines are written in order", t, func() {
		out := &blockedOutput{release: make(chan struct{})}
		close(out.release)
		w := NewWriter(out, 100)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, _ = w.Write([]byte(line))
		}
		w.Close()
		So(out.written.String(), ShouldEqual, "a\nb\nc\n")
	})
	Convey("Lines beyond the limit are left out and counted", t, func() {
		out := &blockedOutput{release: make(chan struct{})}
		close(out.release)
		w := NewWriter(out, 2)
		second := time.Unix(1000, 0)
		w.now = func() time.Time { return second }
		for range 5 {
			_, _ = w.Write([]byte("x\n"))
		}
		So(w.Omitted(), ShouldEqual, 3)
		w.Close()
		So(strings.Count(out.written.String(), "x\n"), ShouldEqual, 2)
		So(out.written.String(), ShouldContainSubstring, `"lines":3`)
	})
	Convey("A blocked output doesn't block those who log", t, func() {
		out := &blockedOutput{release: make(chan struct{})}
		w := NewWriter(out, 100*queueLines)
		for range 10 * queueLines { // more than the queue and a batch hold
			_, _ = w.Write([]byte("x\n"))
		}
		So(w.Omitted(), ShouldBeGreaterThan, 0)
		close(out.release)
		w.Close()
	})
}
