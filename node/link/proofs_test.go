package link

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/route"
)

// fakeProofs has a clock and a proof that its test sets, and records what peers answer.
type fakeProofs struct {
	mu      sync.Mutex
	now     time.Duration
	age     time.Duration
	proven  bool
	answers []answer
	offers  int
}

type answer struct {
	asked, age time.Duration
	version    route.Version
	proven     bool
}

func (p *fakeProofs) Now() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

func (p *fakeProofs) Age() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.age, p.proven
}

func (p *fakeProofs) Answered(asked time.Duration, v route.Version, age time.Duration, proven bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers = append(p.answers, answer{asked, age, v, proven})
}

func (p *fakeProofs) Offered(time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offers++
	return true
}

func (p *fakeProofs) received() []answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]answer(nil), p.answers...)
}

// Guards against proofs whose age counts from the receipt of a frame, or that come with frames
// that nobody asked for.
func TestAnswersCarryProofs(t *testing.T) {
	Convey("Given a peer with a proof", t, func() {
		server := &fakeNode{name: "server", serve: echo}
		server.mu.version = 7
		asker := &fakeProofs{now: time.Hour}
		client, address, clientNode, serverPool := pairWith(t, server, asker, &fakeProofs{age: 1200500 * time.Microsecond, proven: true})
		clientNode.mu.version = 7 // it pulls no newer one
		want := answer{time.Hour, 1201 * time.Millisecond, 7, true}
		Convey("a reply carries its age, which counts from when the call was written", func() {
			_, err := client.Do(context.Background(), address, call("1"))
			So(err, ShouldBeNil)
			So(eventually(func() bool { return len(asker.received()) > 0 }), ShouldBeTrue)
			So(asker.received(), ShouldContain, want)
		})
		Convey("so does the answer to a question", func() {
			So(client.AskAt(context.Background(), address), ShouldBeNil)
			So(eventually(func() bool { return len(asker.received()) > 0 }), ShouldBeTrue)
			So(asker.received()[0], ShouldResemble, want)
		})
		Convey("and the answer to a pull", func() {
			So(client.Pull(context.Background(), address), ShouldBeNil)
			So(eventually(func() bool { return len(asker.received()) > 0 }), ShouldBeTrue)
			So(asker.received()[0], ShouldResemble, want)
		})
		Convey("a frame that nobody asked for makes the node ask", func() {
			So(client.AskAt(context.Background(), address), ShouldBeNil)
			So(eventually(func() bool { return len(asker.received()) == 1 }), ShouldBeTrue)
			serverPool.Offer()
			So(eventually(func() bool { return len(asker.received()) == 2 }), ShouldBeTrue)
			asker.mu.Lock()
			defer asker.mu.Unlock()
			So(asker.offers, ShouldEqual, 1)
		})
	})
	Convey("A peer without a proof states none, and one that exchanges none answers as before", t, func() {
		for _, peer := range []Proofs{&fakeProofs{}, nil} {
			asker := &fakeProofs{}
			client, address, _, _ := pairWith(t, &fakeNode{name: "server", serve: echo}, asker, peer)
			_, err := client.Do(context.Background(), address, call("1"))
			So(err, ShouldBeNil)
			So(asker.received()[0].proven, ShouldBeFalse)
		}
	})
	Convey("An answer to a question that was forgotten, or never asked, is not found", t, func() {
		var q questions
		for i := range 2 * maxQuestions {
			q.add(time.Duration(i))
		}
		sent, ok := q.find(2 * maxQuestions)
		So(ok, ShouldBeTrue)
		So(sent, ShouldEqual, time.Duration(2*maxQuestions-1))
		for _, id := range []uint64{0, maxQuestions, 2*maxQuestions + 1} {
			_, ok := q.find(id)
			So(ok, ShouldBeFalse)
		}
	})
}
