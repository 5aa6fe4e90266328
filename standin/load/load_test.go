package load_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/standin/answer"
	"github.com/gypsumford/gypsumford/standin/load"
)

// fakeNode responds to calls as a node would. The respond function determines the
// response from the number of earlier calls with the same body.
type fakeNode struct {
	mu       sync.Mutex
	calls    map[string]int    // number so far, by request body
	firstIDs map[string]string // request id of the first call, by request body
	respond  func(call int, firstID, id string) (status int, outcome, responseID, body string)
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Gypsum-Request-Id")
	n.mu.Lock()
	call := n.calls[string(text)]
	n.calls[string(text)]++
	if call == 0 {
		n.firstIDs[string(text)] = id
	}
	firstID := n.firstIDs[string(text)]
	n.mu.Unlock()
	status, outcome, responseID, body := n.respond(call, firstID, id)
	if body == "" {
		body = string(text)
	}
	w.Header().Set("Gypsum-Outcome", outcome)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer.Body{
		RequestID: responseID, Operation: "s/x", Sum: answer.Sum("s/x", []byte(body), nil),
	})
}

// run sends requests for 100 ms to a node with these responses.
func run(atMostOnce bool, respond func(call int, firstID, id string) (int, string, string, string)) []*load.Record {
	server := httptest.NewServer(&fakeNode{calls: map[string]int{}, firstIDs: map[string]string{}, respond: respond})
	defer server.Close()
	source := load.NewSource(load.Settings{
		Length: 100 * time.Millisecond, RunID: "t", Seed: 3,
		Entries: []string{strings.TrimPrefix(server.URL, "http://")},
		Streams: []load.Stream{{
			Operation: "s/x", Class: "c", AtMostOnce: atMostOnce, Deadline: time.Minute, MaxCalls: 3,
			Points: []load.Point{{Rate: 200}}, Tree: &answer.Tree{Operation: "s/x"},
		}},
	})
	return source.Run(context.Background(), time.Now())
}

// results returns the results of the calls of each record, joined by spaces.
func results(records []*load.Record) map[string]bool {
	all := map[string]bool{}
	for _, record := range records {
		texts := []string{}
		for _, call := range record.Calls {
			texts = append(texts, call.Result.String())
		}
		all[strings.Join(texts, " ")] = true
	}
	return all
}

func TestResults(t *testing.T) {
	complete := func(_ int, _, id string) (int, string, string, string) { return 200, "completed", id, "" }
	Convey("A request with the complete response has the result whole", t, func() {
		records := run(false, complete)
		So(len(records), ShouldBeGreaterThan, 5)
		So(results(records), ShouldResemble, map[string]bool{"whole": true})
	})
	Convey("Refusals and unknown outcomes are retried, and recorded as such", t, func() {
		records := run(false, func(call int, _, id string) (int, string, string, string) {
			switch call {
			case 0:
				return 503, "not-run", id, ""
			case 1:
				return 504, "unknown", id, ""
			default:
				return 500, "completed", id, ""
			}
		})
		So(results(records), ShouldResemble, map[string]bool{"refused unknown failed": true})
	})
	Convey("A response to another request and an incomplete one are wrong", t, func() {
		foreign := func(int, string, string) (int, string, string, string) {
			return 200, "completed", "someone-else", ""
		}
		incomplete := func(_ int, _, id string) (int, string, string, string) { return 200, "completed", id, "half" }
		So(results(run(false, foreign)), ShouldResemble, map[string]bool{"wrong": true})
		So(results(run(false, incomplete)), ShouldResemble, map[string]bool{"wrong": true})
	})
	Convey("An at-most-once request is retried after a refusal, but not after an unknown outcome", t, func() {
		refusedFirst := func(call int, _, id string) (int, string, string, string) {
			if call == 0 {
				return 503, "not-run", id, ""
			}
			return 504, "unknown", id, ""
		}
		So(results(run(true, refusedFirst)), ShouldResemble, map[string]bool{"refused unknown": true})
		So(results(run(false, refusedFirst)), ShouldResemble, map[string]bool{"refused unknown unknown": true})
	})
}

func TestRate(t *testing.T) {
	Convey("The rate changes in steps or linearly", t, func() {
		stream := load.Stream{Points: []load.Point{
			{At: 0, Rate: 10}, {At: 2 * time.Second, Rate: 20},
			{At: 4 * time.Second, Rate: 100, Ramp: true}, {At: 6 * time.Second, Rate: 0},
		}}
		So(stream.RateAt(time.Second), ShouldEqual, 10)
		So(stream.RateAt(2*time.Second), ShouldEqual, 20)
		So(stream.RateAt(3*time.Second), ShouldEqual, 60)
		So(stream.RateAt(5*time.Second), ShouldEqual, 100)
		So(stream.RateAt(7*time.Second), ShouldEqual, 0)
		So(stream.MaxRate(), ShouldEqual, 100)
	})
}

// When a reused connection breaks, net/http by itself retries a request with an idempotency
// key, so that one call would reach the node twice.
func TestBrokenConnectionIsOneCall(t *testing.T) {
	Convey("A call of an at-most-once request whose reused connection breaks reaches the node once", t, func() {
		var mu sync.Mutex
		received := map[string]int{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get("Gypsum-Request-Id")
			mu.Lock()
			received[id]++
			broken := len(received)%2 == 0 // every other call, on a connection that served one before
			mu.Unlock()
			if broken {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Gypsum-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		defer server.Close()
		source := load.NewSource(load.Settings{
			Length: 200 * time.Millisecond, RunID: "t", Seed: 3,
			Entries: []string{strings.TrimPrefix(server.URL, "http://")},
			Streams: []load.Stream{{
				Operation: "s/x", Class: "c", AtMostOnce: true, Deadline: time.Minute, MaxCalls: 3,
				Points: []load.Point{{Rate: 200}}, Tree: &answer.Tree{Operation: "s/x"},
			}},
		})
		source.Run(context.Background(), time.Now())
		So(len(received), ShouldBeGreaterThan, 5)
		for _, times := range received {
			So(times, ShouldEqual, 1)
		}
	})
}
