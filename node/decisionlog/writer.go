// Package decisionlog writes log lines without ever blocking the callers that log.
//
// A Writer puts whole lines into a bounded queue, and one goroutine writes them to the
// output in batches. A line is left out and counted if the queue is full, or if the
// limit of lines in a second is exceeded. The next batch states the number of lines
// left out.
package decisionlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queueLines = 4096 // capacity of the queue
	// flushInterval is the longest time for which a line waits in an incomplete batch.
	flushInterval = 200 * time.Millisecond
	batchBytes    = 32 << 10 // capacity of a batch; it is written when half full
)

// Writer is an io.Writer that takes one line per call. Write never blocks and never
// fails.
type Writer struct {
	lines        chan []byte
	maxLinesPerS int
	unreported   atomic.Uint64 // lines left out since the last report of them
	omittedTotal atomic.Uint64 // since the start
	done         chan struct{}
	now          func() time.Time

	mu struct {
		sync.Mutex
		second int64 // in which count lines were received, in Unix seconds
		count  int
		closed bool
	}
}

// NewWriter returns a writer of at most maxLinesPerS lines a second to the output.
func NewWriter(out io.Writer, maxLinesPerS int) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), maxLinesPerS: maxLinesPerS, done: make(chan struct{}), now: time.Now}
	go w.run(out)
	return w
}

// Write queues a copy of one line, or leaves the line out. It always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.mu.second {
		w.mu.second, w.mu.count = second, 0
	}
	w.mu.count++
	if w.mu.closed || w.mu.count > w.maxLinesPerS {
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
	w.unreported.Add(1)
	w.omittedTotal.Add(1)
}

// Omitted returns the number of lines left out since the start.
func (w *Writer) Omitted() uint64 { return w.omittedTotal.Load() }

// Close writes the queued lines and stops the writer. Later lines are left out.
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
		if omitted := w.unreported.Swap(0); omitted > 0 {
			batch = fmt.Appendf(batch, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines left out\",\"lines\":%d}\n",
				w.now().Format(time.RFC3339Nano), omitted)
		}
		if len(batch) > 0 {
			_, _ = out.Write(batch) // an error of the log itself can't be logged
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
