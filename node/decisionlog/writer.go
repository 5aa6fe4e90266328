// Package decisionlog writes log lines without ever holding up those who log.
//
// A Writer takes whole lines into a bounded queue and writes them from one
// goroutine. When the queue is full, or more lines come in a second than its
// limit, lines are left out and counted; the count is logged as soon as there is
// room again.
package decisionlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queueLines = 4096
	// flushInterval bounds how late a line is written.
	flushInterval = 200 * time.Millisecond
	batchBytes    = 32 << 10
)

// Writer is an io.Writer of lines. It never blocks and never fails.
type Writer struct {
	lines   chan []byte
	perS    int
	omitted atomic.Uint64
	total   atomic.Uint64 // omitted ever
	done    chan struct{}
	now     func() time.Time

	mu struct {
		sync.Mutex
		second int64
		count  int
		closed bool
	}
}

// NewWriter returns a writer of at most perS lines a second.
func NewWriter(out io.Writer, perS int) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), perS: perS, done: make(chan struct{}), now: time.Now}
	go w.run(out)
	return w
}

// Write takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.mu.second {
		w.mu.second, w.mu.count = second, 0
	}
	w.mu.count++
	if w.mu.closed || w.mu.count > w.perS {
		w.omit()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.omit()
	}
	return len(line), nil
}

func (w *Writer) omit() {
	w.omitted.Add(1)
	w.total.Add(1)
}

// Omitted returns how many lines were left out since the start.
func (w *Writer) Omitted() uint64 { return w.total.Load() }

// Close writes what is queued and stops.
func (w *Writer) Close() {
	w.mu.Lock()
	closed := w.mu.closed
	w.mu.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.lines)
	}
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	batch := make([]byte, 0, batchBytes)
	flush := func() {
		if omitted := w.omitted.Swap(0); omitted > 0 {
			batch = fmt.Appendf(batch, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines left out\",\"lines\":%d}\n",
				w.now().Format(time.RFC3339Nano), omitted)
		}
		if len(batch) > 0 {
			_, _ = out.Write(batch) // there is nowhere to report it
			batch = batch[:0]
		}
	}
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case line, ok := <-w.lines:
			if !ok {
				flush()
				return
			}
			batch = append(batch, line...)
			if len(batch) >= batchBytes/2 {
				flush()
			}
		case <-ticker.C:
			flush()
		}
	}
}
