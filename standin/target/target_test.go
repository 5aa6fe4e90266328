package target_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/standin/answer"
	"github.com/gypsumford/gypsumford/standin/target"
)

// runningTarget is a target that serves until stop is called or the test ends.
type runningTarget struct {
	url     string
	journal string
	stop    func() error
}

// start starts a target that is stopped at the end of the test.
func start(settings target.Settings, node string) *runningTarget {
	directory, err := os.MkdirTemp("", "target")
	So(err, ShouldBeNil)
	journal := filepath.Join(directory, "journal")
	t, err := target.New(settings, "127.0.0.1:0", node, journal)
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- t.Serve(ctx) }()
	Reset(func() {
		cancel()
		_ = os.RemoveAll(directory)
	})
	return &runningTarget{url: "http://" + t.Address(), journal: journal, stop: func() error {
		cancel()
		return <-done
	}}
}

func settings(slots, queue int, operations ...target.Operation) target.Settings {
	return target.Settings{Service: "s", Slots: slots, Queue: queue, Plain: true, Honour: true,
		PlainTries: 3, PlainTimeout: time.Second, Operations: operations}
}

func (s *runningTarget) call(ctx context.Context, operation, id, key string) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/"+operation, strings.NewReader("body"))
	So(err, ShouldBeNil)
	request.Header.Set("Gypsum-Request-Id", id)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

func (s *runningTarget) control(change string) {
	response, err := http.Post(s.url+"/control", "application/json", strings.NewReader(change))
	So(err, ShouldBeNil)
	So(response.StatusCode, ShouldEqual, http.StatusOK)
}

// inFlight returns the number of calls that run or wait, from the load report.
func (s *runningTarget) inFlight() int {
	response, err := http.Get(s.url + "/load")
	So(err, ShouldBeNil)
	defer response.Body.Close()
	var report struct{ Running, Queued int }
	So(json.NewDecoder(response.Body).Decode(&report), ShouldBeNil)
	return report.Running + report.Queued
}

func TestResponse(t *testing.T) {
	ctx := context.Background()
	Convey("Given a target whose operation calls another target", t, func() {
		child := start(settings(2, 0, target.Operation{Name: "y"}), "")
		parent := settings(2, 0, target.Operation{Name: "x", Calls: []string{"c/y", "c/y"}, Parallel: true})
		parent.Peers = map[string][]string{"c": {strings.TrimPrefix(child.url, "http://")}}

		Convey("a child call's response that belongs to another operation is an error", func() {
			parentTarget := start(parent, "")
			response, _, err := parentTarget.call(ctx, "x", "r1", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
		})
		Convey("a complete response proves that the child calls ran, and the journal records each run", func() {
			namedChild := settings(2, 0, target.Operation{Name: "y"})
			namedChild.Service = "c"
			child := start(namedChild, "")
			parent.Peers["c"] = []string{strings.TrimPrefix(child.url, "http://")}
			parentTarget := start(parent, "")
			response, text, err := parentTarget.call(ctx, "x", "r1", "key-1")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusOK)
			parsed, err := answer.Parse([]byte(text))
			So(err, ShouldBeNil)
			tree := answer.Tree{Operation: "s/x", Children: []*answer.Tree{{Operation: "c/y"}, {Operation: "c/y"}}}
			So(parsed, ShouldResemble, answer.Body{RequestID: "r1", Operation: "s/x", Sum: tree.ExpectedSum([]byte("body"))})
			runs, err := target.ReadJournal(parentTarget.journal)
			So(err, ShouldBeNil)
			So(len(runs), ShouldEqual, 1)
			So(runs[0].Key, ShouldEqual, "key-1")
			So(runs[0].Completed, ShouldBeTrue)
			runs, err = target.ReadJournal(child.journal)
			So(err, ShouldBeNil)
			So(len(runs), ShouldEqual, 2)
		})
	})
}

func TestSlots(t *testing.T) {
	ctx := context.Background()
	Convey("Given a frozen target with one slot and a queue of one", t, func() {
		s := start(settings(1, 1, target.Operation{Name: "x"}), "")
		s.control(`{"freeze":true}`)
		short, cancel := context.WithCancel(ctx)
		defer cancel()
		ended := make(chan error, 2)
		for range 2 {
			go func() {
				request, _ := http.NewRequestWithContext(short, http.MethodPost, s.url+"/x", nil)
				response, err := http.DefaultClient.Do(request)
				if err == nil {
					_ = response.Body.Close()
				}
				ended <- err
			}()
		}
		for s.inFlight() < 2 {
			time.Sleep(time.Millisecond)
		}
		Convey("a call over the queue's limit is shed, with the outcome not-run", func() {
			response, _, err := s.call(ctx, "x", "r", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(response.Header.Get("Gypsum-Outcome"), ShouldEqual, "not-run")
		})
		Convey("cancelled calls release their slots", func() {
			cancel()
			So(<-ended, ShouldNotBeNil)
			So(<-ended, ShouldNotBeNil)
			for s.inFlight() > 0 {
				time.Sleep(time.Millisecond)
			}
			s.control(`{"freeze":false}`)
			response, _, err := s.call(ctx, "x", "r", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusOK)
		})
		Convey("a stopping target waits for its calls in flight", func() {
			stopped := make(chan error, 1)
			long := settings(1, 1, target.Operation{Name: "x"})
			long.Drain = time.Minute
			other := start(long, "")
			other.control(`{"freeze":true}`)
			status := make(chan int, 1)
			go func() {
				response, err := http.Post(other.url+"/x", "", nil)
				if err != nil {
					status <- 0
					return
				}
				_ = response.Body.Close()
				status <- response.StatusCode
			}()
			for other.inFlight() < 1 {
				time.Sleep(time.Millisecond)
			}
			go func() { stopped <- other.stop() }()
			other.control(`{"freeze":false}`)
			So(<-status, ShouldEqual, http.StatusOK)
			So(<-stopped, ShouldBeNil)
		})
	})
}

// HTTP clients open connections in advance. On shutdown, net/http's server waits five seconds
// for the first request on each of them; a stopping target must not wait for it.
func TestStopWithAConnectionThatWasNeverUsed(t *testing.T) {
	Convey("A stopping target doesn't wait for a connection without a request", t, func() {
		s := start(settings(1, 1, target.Operation{Name: "x"}), "")
		unused, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
		So(err, ShouldBeNil)
		defer func() { _ = unused.Close() }()
		_, _, err = s.call(context.Background(), "x", "r", "") // its connection is accepted after the unused one
		So(err, ShouldBeNil)
		So(s.stop(), ShouldBeNil)
	})
}

func TestJournalOfKilledTarget(t *testing.T) {
	Convey("ReadJournal returns a run with a key that started and never ended, and skips a truncated line", t, func() {
		path := filepath.Join(t.TempDir(), "journal")
		text := "S x r1 k1 100\nE x r1 k1 100 200 true false\nS x r2 k2 300\nX x r3 - 350\nE x r4 k4 40"
		So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
		runs, err := target.ReadJournal(path)
		So(err, ShouldBeNil)
		So(len(runs), ShouldEqual, 3)
		So(runs[0].Completed, ShouldBeTrue)
		So(runs[1].Shed, ShouldBeTrue)
		So(runs[2].Key, ShouldEqual, "k2")
		So(runs[2].Ended.IsZero(), ShouldBeTrue)
	})
}
