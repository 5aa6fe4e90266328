package link

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/callgraph"
	"github.com/gypsumford/gypsumford/quarantine"
	"github.com/gypsumford/gypsumford/roster"
)

// While a fleet is upgraded, nodes of two builds exchange frames. gob drops fields that the
// receiver doesn't know, so a field that is renamed, or whose type changes, loses its content
// without an error. testdata holds the bytes of a connection as an earlier build wrote them.

// readFrames decodes all frames of a connection with today's types.
func readFrames(t *testing.T, content []byte) ([]frame, *symbolDecoder) {
	decoder := gob.NewDecoder(bytes.NewReader(content))
	symbols := &symbolDecoder{}
	var frames []frame
	for {
		var f frame
		err := decoder.Decode(&f)
		if errors.Is(err, io.EOF) {
			return frames, symbols
		}
		if err != nil || !symbols.define(f.Symbols) {
			t.Fatalf("frame %d: %v", len(frames), err)
		}
		frames = append(frames, f)
	}
}

func TestFramesOfAnEarlierBuildAreRead(t *testing.T) {
	content, err := os.ReadFile("testdata/frames-before-accounts.gob")
	if err != nil {
		t.Fatal(err)
	}
	frames, symbols := readFrames(t, content)
	Convey("Every field of every kind of frame arrives", t, func() {
		So(len(frames), ShouldEqual, 13)
		for _, f := range frames {
			So(f.Version, ShouldEqual, 12)
		}
		hello, state := frames[0].Hello, frames[12].State
		So(hello.StoreEpoch, ShouldEqual, 4)
		for _, r := range []roster.Record{hello.Record, state.Records[0]} {
			So(r.Instance+" "+r.Address+" "+r.Domain, ShouldEqual, "m1 127.0.0.1:7001 d1")
			So(r.Incarnation, ShouldEqual, 5)
			So(r.Sequence, ShouldEqual, 7)
			So(r.Target, ShouldResemble, roster.Target{
				ID: "t1", Born: 100, Sequence: 3, Service: "s1", Version: "v1", Slots: 15, State: roster.Draining,
				ColdLeft: time.Second, RateLimit: 12.5, Leaving: true,
			})
			So(r.Quarantine.Crashes[0], ShouldResemble, quarantine.Crash{
				Born: 90, At: 95, Service: "s1", Version: "v1", Suspects: []quarantine.Fingerprint{{1, 2, 3}},
			})
			So(r.Quarantine.Clearances[0], ShouldResemble, quarantine.Clearance{
				Instance: "m2", Born: 80, At: 85, Cleared: []quarantine.Fingerprint{{4, 5, 6}},
			})
		}
		for i := 1; i < 7; i += 2 {
			call := symbols.call(frames[i].Call)
			So(frames[i].ID, ShouldEqual, (i+1)/2)
			So(call.TargetID+" "+call.Service+" "+call.Route+" "+call.Method+" "+call.Host+" "+call.CallerService, ShouldEqual, "t1 s1 r1 POST a.example s2")
			So(call.RequestID+" "+call.URI+" "+string(call.Body), ShouldEqual, "q1 /x/1?y=2 body")
			So(call.Header, ShouldResemble, []string{"Accept", "text/plain"})
			So(call.RemainingTime, ShouldEqual, 1500*time.Millisecond)
			So([]any{call.Priority, call.Rank, call.Awaited, call.Account}, ShouldResemble, []any{2, uint8(77), true, ""})
			reply := symbols.reply(frames[i+1].Reply)
			So(reply.Outcome, ShouldEqual, OutcomeResponded)
			So([]any{reply.Arrived, reply.Status, string(reply.Body)}, ShouldResemble, []any{true, 200, "answer"})
			So(reply.Header, ShouldResemble, []string{"Content-Type", "text/plain"})
			So(reply.Load, ShouldResemble, Load{Running: 3, Waiting: 1, Slots: 15, RateUse: 0.5})
			So(reply.Views[0].Service, ShouldEqual, "s1")
			So(reply.Views[0].Cost, ShouldEqual, 40*time.Millisecond)
			So(reply.Views[0].Requests, ShouldEqual, 2)
			So(reply.Views[0].Pressures, ShouldResemble, []byte{10, 20})
			So(reply.Views[0].Age, ShouldEqual, 50*time.Millisecond)
			So(reply.Origin, ShouldEqual, callgraph.OriginCallers)
			So(reply.Duration, ShouldEqual, 30*time.Millisecond)
			So(*reply.Stated, ShouldResemble, Statement{Born: 100, RateLimit: 12.5, Leaving: true})
		}
		refusal := symbols.reply(frames[7].Reply)
		So(refusal.Outcome, ShouldEqual, OutcomeNotRun)
		So(refusal.Reason, ShouldEqual, ReasonRateLimited)
		So(frames[8].Cancel, ShouldBeTrue)
		So(frames[9].Ping, ShouldBeTrue)
		So(frames[10].Pong, ShouldBeTrue)
		So(frames[11].Pull, ShouldBeTrue)
		c := state.Configuration
		So(c.Version, ShouldEqual, 12)
		So(c.Routes[0].Destinations[0].Weight, ShouldEqual, 9)
		So(c.Routes[0].Timeout, ShouldEqual, 2*time.Second)
		So(c.Limits.MaxBodyBytes, ShouldEqual, 1<<26)
	})
}

// frameBeforeAccounts is a part of the frames that an earlier build reads.
type frameBeforeAccounts struct {
	ID      uint64
	Version uint64
	Symbols []string
	Call    *struct {
		Envelope  text
		RequestID string
		URI       string
		Header    []text
		Body      []byte
		TimeLeft  uint32
		Priority  int
		Rank      uint8
		Awaited   bool
	}
	Reply *struct {
		Outcome, Reason uint8
		Arrived         bool
		Status          int
		Body            []byte
		Load            struct {
			Running, Waiting, Slots int
			RateUse                 float32
		}
	}
	Pong bool
}

func TestFramesOfThisBuildAreReadByEarlierOnes(t *testing.T) {
	var buffer bytes.Buffer
	encoder, symbols := gob.NewEncoder(&buffer), newSymbolEncoder()
	called := call("q1")
	called.Account, called.Body, called.Priority = "account", []byte("body"), 2
	for _, f := range []frame{
		{ID: 1, Call: symbols.call(called)},
		{ID: 1, ProofAge: 40, Reply: symbols.reply(&Reply{
			Outcome: OutcomeResponded, Arrived: true, Status: 200, Body: []byte("answer"),
			Load: Load{Running: 3, Slots: 15, ServiceTime: 70, Slowdown: 120},
		})},
		{Pong: true, ProofAge: 40},
	} {
		f.Symbols, f.Version = symbols.takeDefined(), 12
		if err := encoder.Encode(&f); err != nil {
			t.Fatal(err)
		}
	}
	Convey("An earlier build finds all that it knows", t, func() {
		decoder := gob.NewDecoder(&buffer)
		var frames [3]frameBeforeAccounts
		for i := range frames {
			So(decoder.Decode(&frames[i]), ShouldBeNil)
			So(frames[i].Version, ShouldEqual, 12)
		}
		So(frames[0].Call.RequestID+" "+string(frames[0].Call.Body), ShouldEqual, "q1 body")
		So(frames[0].Call.Priority, ShouldEqual, 2)
		So(frames[1].Reply.Outcome, ShouldEqual, uint8(OutcomeResponded))
		So(string(frames[1].Reply.Body), ShouldEqual, "answer")
		So(frames[1].Reply.Load.Running, ShouldEqual, 3)
		So(frames[2].Pong, ShouldBeTrue)
	})
}
