package pipeline

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// request states how long a simulated request runs, and records when it started and when
// its response was sent.
type request struct {
	name                   string
	duration               time.Duration
	startedAt, respondedAt time.Duration
}

// simulate runs requests that all arrive at the same moment, in virtual time. It returns
// their names in the order of the responses.
func simulate(requests []*request, idempotent func(*request) bool) []string {
	var queue Queue[*request]
	for _, r := range requests {
		queue.Add(r, idempotent(r), false, 1)
	}
	running := map[*Entry[*request]]time.Duration{}
	var order []string
	now := time.Duration(0)
	for {
		for e := queue.Next(); e != nil; e = queue.Next() {
			e.Value.startedAt = now
			running[e] = now + e.Value.duration
		}
		for e := queue.Ready(); e != nil; e = queue.Ready() {
			e.Value.respondedAt = now
			order = append(order, e.Value.name)
			queue.Sent()
			if next := queue.Next(); next != nil {
				next.Value.startedAt = now
				running[next] = now + next.Value.duration
			}
		}
		if len(running) == 0 {
			return order
		}
		var first *Entry[*request]
		for e, at := range running {
			if first == nil || at < running[first] || at == running[first] && e.Value.name < first.Value.name {
				first = e
			}
		}
		now = running[first]
		delete(running, first)
		queue.Done(first, 1)
	}
}

// A caller with one connection sends requests without waiting for earlier responses. If
// they ran one after the other, the last of ten would take ten times as long as the first.
func TestPipelinedRequests(t *testing.T) {
	Convey("Ten idempotent requests of 20 ms all have their response after 20 ms, in order", t, func() {
		var requests []*request
		var names []string
		for i := range 10 {
			names = append(names, string(rune('a'+i)))
			requests = append(requests, &request{name: names[i], duration: 20 * time.Millisecond})
		}
		So(simulate(requests, func(*request) bool { return true }), ShouldResemble, names)
		So(requests[9].respondedAt, ShouldEqual, 20*time.Millisecond)
	})
	Convey("A slow request delays the responses behind it, but not the start of their requests", t, func() {
		slow, quick := &request{name: "slow", duration: 400 * time.Millisecond}, &request{name: "quick", duration: 20 * time.Millisecond}
		So(simulate([]*request{slow, quick}, func(*request) bool { return true }), ShouldResemble, []string{"slow", "quick"})
		So(quick.startedAt, ShouldEqual, 0)
		So(quick.respondedAt, ShouldEqual, 400*time.Millisecond)
	})
	Convey("A request that isn't idempotent starts when all responses ahead are sent, and delays no start behind it", t, func() {
		read, order, next := &request{name: "read", duration: 30}, &request{name: "order", duration: 50}, &request{name: "next", duration: 10}
		So(simulate([]*request{read, order, next}, func(r *request) bool { return r != order }), ShouldResemble, []string{"read", "order", "next"})
		So(order.startedAt, ShouldEqual, 30)
		So(next.startedAt, ShouldEqual, 0)
	})
}

func TestBounds(t *testing.T) {
	Convey("No further request is read once the queue is full", t, func() {
		var queue Queue[int]
		for i := range MaxRequests {
			So(queue.HasRoom(), ShouldBeTrue)
			queue.Add(i, true, false, 0)
		}
		So(queue.HasRoom(), ShouldBeFalse)
		queue.Done(queue.Next(), 0)
		queue.Sent()
		So(queue.HasRoom(), ShouldBeTrue)
	})
	Convey("The bytes of responses that wait to be sent count", t, func() {
		var queue Queue[int]
		queue.Add(0, true, false, 10)
		queue.Add(1, true, false, 10)
		queue.Next()
		queue.Done(queue.Next(), MaxBytes)
		So(queue.Ready(), ShouldBeNil)
		So(queue.HasRoom(), ShouldBeFalse)
	})
	Convey("No request is accepted behind one whose response closes the connection", t, func() {
		var queue Queue[int]
		queue.Add(0, true, true, 0)
		So(queue.Add(1, true, false, 0), ShouldBeNil)
	})
	Convey("Close makes the last request the last one of the connection", t, func() {
		var queue Queue[int]
		first, last := queue.Add(0, true, false, 0), queue.Add(1, true, false, 0)
		queue.Close()
		So(first.Closes, ShouldBeFalse)
		So(last.Closes, ShouldBeTrue)
		So(queue.HasRoom(), ShouldBeFalse)
	})
}

// TestAnyInterleaving lets requests arrive, end and be responded to in any order.
func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue[int]
		var running []*Entry[int]
		idempotent := map[int]bool{}
		sent, bytes := 0, map[int]int{}
		count := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if !queue.HasRoom() {
					continue
				}
				idempotent[count] = rapid.Bool().Draw(t, "idempotent")
				bytes[count] = rapid.IntRange(0, 100).Draw(t, "bytes")
				queue.Add(count, idempotent[count], false, bytes[count])
				count++
			case 1:
				if len(running) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "ended")
				queue.Done(running[i], 0)
				running = slices.Delete(running, i, i+1)
			case 2:
				if e := queue.Ready(); e != nil {
					if e.Value != sent {
						t.Fatalf("response %d is sent in place of %d", e.Value, sent)
					}
					queue.Sent()
					sent++
				}
			}
			for e := queue.Next(); e != nil; e = queue.Next() {
				if !idempotent[e.Value] && e.Value != sent {
					t.Fatalf("request %d starts while response %d is the next to be sent", e.Value, sent)
				}
				running = append(running, e)
			}
			held := 0
			for i := sent; i < count; i++ {
				held += bytes[i]
			}
			if queue.bytes != held || queue.Len() != count-sent {
				t.Fatalf("queue holds %d bytes of %d requests, want %d of %d", queue.bytes, queue.Len(), held, count-sent)
			}
		}
		for queue.Len() > 0 {
			if e := queue.Ready(); e != nil {
				queue.Sent()
			}
			for e := queue.Next(); e != nil; e = queue.Next() {
				running = append(running, e)
			}
			if len(running) > 0 {
				queue.Done(running[0], 0)
				running = running[1:]
			}
		}
	})
}
