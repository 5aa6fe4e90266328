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

// answerer answers calls as a node would, by a function of the ask's number.
type answerer struct {
	mu    sync.Mutex
	asks  map[string]int // by key or body
	first map[string]string
	how   func(ask int, first, id string) (status int, outcome, answerID, body string)
}

func (a *answerer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Gypsum-Request-Id")
	a.mu.Lock()
	ask := a.asks[string(text)]
	a.asks[string(text)]++
	if ask == 0 {
		a.first[string(text)] = id
	}
	first := a.first[string(text)]
	a.mu.Unlock()
	status, outcome, answerID, body := a.how(ask, first, id)
	if body == "" {
		body = string(text)
	}
	w.Header().Set("Gypsum-Outcome", outcome)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer.Body{
		RequestID: answerID, Operation: "s/x", Sum: answer.Sum("s/x", []byte(body), nil),
	})
}

func run(paid bool, how func(ask int, first, id string) (int, string, string, string)) []*load.Record {
	server := httptest.NewServer(&answerer{asks: map[string]int{}, first: map[string]string{}, how: how})
	defer server.Close()
	source := load.NewSource(load.Settings{
		Length: 100 * time.Millisecond, Run: "t", Seed: 3,
		Entries: []string{strings.TrimPrefix(server.URL, "http://")},
		Streams: []load.Stream{{
			Operation: "s/x", Class: "c", Paid: paid, Deadline: time.Minute, Asks: 3,
			Points: []load.Point{{Rate: 200}}, Tree: &answer.Tree{Operation: "s/x"},
		}},
	})
	return source.Run(context.Background(), time.Now())
}

func results(records []*load.Record) map[string]bool {
	all := map[string]bool{}
	for _, record := range records {
		texts := []string{}
		for _, ask := range record.Asks {
			texts = append(texts, ask.Result.String())
		}
		all[strings.Join(texts, " ")] = true
	}
	return all
}

func TestResults(t *testing.T) {
	whole := func(_ int, _, id string) (int, string, string, string) { return 200, "completed", id, "" }
	Convey("A whole answer to its own request is whole", t, func() {
		records := run(false, whole)
		So(len(records), ShouldBeGreaterThan, 5)
		So(results(records), ShouldResemble, map[string]bool{"whole": true})
	})
	Convey("Refusals and unknown outcomes are asked again, and told apart", t, func() {
		records := run(false, func(ask int, _, id string) (int, string, string, string) {
			switch ask {
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
	Convey("Another request's answer and a partial one are wrong", t, func() {
		foreign := func(int, string, string) (int, string, string, string) {
			return 200, "completed", "someone-else", ""
		}
		partial := func(_ int, _, id string) (int, string, string, string) { return 200, "completed", id, "half" }
		So(results(run(false, foreign)), ShouldResemble, map[string]bool{"wrong": true})
		So(results(run(false, partial)), ShouldResemble, map[string]bool{"wrong": true})
	})
	Convey("An at-most-once request is asked again after a refusal, and not after an unknown outcome", t, func() {
		repeat := func(ask int, _, id string) (int, string, string, string) {
			if ask == 0 {
				return 503, "not-run", id, ""
			}
			return 504, "unknown", id, ""
		}
		So(results(run(true, repeat)), ShouldResemble, map[string]bool{"refused unknown": true})
		So(results(run(false, repeat)), ShouldResemble, map[string]bool{"refused unknown unknown": true})
	})
}

func TestRate(t *testing.T) {
	Convey("The rate steps, and ramps evenly", t, func() {
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

func TestBrokenConnectionIsOneCall(t *testing.T) {
	Convey("A paid ask whose kept connection breaks reaches the node once", t, func() {
		var mu sync.Mutex
		seen := map[string]int{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get("Gypsum-Request-Id")
			mu.Lock()
			seen[id]++
			broken := len(seen)%2 == 0 // every other one, on a connection that served one before
			mu.Unlock()
			if broken {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Gypsum-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		defer server.Close()
		source := load.NewSource(load.Settings{
			Length: 200 * time.Millisecond, Run: "t", Seed: 3,
			Entries: []string{strings.TrimPrefix(server.URL, "http://")},
			Streams: []load.Stream{{
				Operation: "s/x", Class: "c", Paid: true, Deadline: time.Minute, Asks: 3,
				Points: []load.Point{{Rate: 200}}, Tree: &answer.Tree{Operation: "s/x"},
			}},
		})
		source.Run(context.Background(), time.Now())
		So(len(seen), ShouldBeGreaterThan, 5)
		for _, times := range seen {
			So(times, ShouldEqual, 1)
		}
	})
}
