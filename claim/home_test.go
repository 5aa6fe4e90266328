package claim

import (
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
)

var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func mustKey(text string) Key {
	key, err := ParseKey(text)
	if err != nil {
		panic(err)
	}
	return key
}

// datedKey returns a UUIDv7 key of the given time.
func datedKey(at time.Time, number byte) Key {
	var id uuid.UUID
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6] = 0x70
	id[8] = 0x80
	id[15] = number
	return mustKey(id.String())
}

// sameShard returns another key of the key's shard.
func sameShard(key Key) Key {
	for number := byte(2); ; number++ {
		if other := datedKey(epoch, number); other.Shard() == key.Shard() {
			return other
		}
	}
}

func kinds(actions []Action) []ActionKind {
	var list []ActionKind
	for _, a := range actions {
		list = append(list, a.Kind)
	}
	return list
}

func only(actions []Action, kind ActionKind) Action {
	So(kinds(actions), ShouldResemble, []ActionKind{kind})
	return actions[0]
}

func TestClaimedKeyRunsOnce(t *testing.T) {
	Convey("Given a home that has read an absent object and written a claim", t, func() {
		h := NewHome(Config{}, "a", "orders", epoch)
		key := datedKey(epoch, 1)
		deadline := epoch.Add(time.Second)
		read := only(h.Ask(epoch, 1, key, deadline), Read)
		So(read.Shard, ShouldEqual, key.Shard())
		write := only(h.ReadDone(epoch, read.Shard, 0, nil, ReadOK), Write)
		So(write.ExpectVersion, ShouldEqual, uint64(0))

		Convey("the key runs after the write, and a repeat gets the run's answer", func() {
			run := only(h.WriteDone(epoch, write.Shard, write.Token, Written, 1), Run)
			So(run.Waiter, ShouldEqual, WaiterID(1))
			So(h.Ask(epoch, 2, key, deadline), ShouldBeEmpty)
			answer := &Answer{Status: 201, Body: []byte("order 1")}
			reply := only(h.Ran(epoch, key, RunResult{Outcome: call.Completed, Answer: answer}), Reply)
			So(reply.Waiter, ShouldEqual, WaiterID(2))
			So(only(h.Ask(epoch, 3, key, deadline), Reply).Answer, ShouldEqual, answer)
		})
		Convey("a lost answer is read back, and the claim is recognised", func() {
			only(h.WriteDone(epoch, write.Shard, write.Token, Unsettled, 0), Read)
			only(h.ReadDone(epoch, write.Shard, 1, write.Value, ReadOK), Run)
		})
		Convey("a lost write that may still land is settled by another one", func() {
			only(h.WriteDone(epoch, write.Shard, write.Token, Unsettled, 0), Read)
			now := epoch.Add(DefaultCommitInterval)
			second := only(h.ReadDone(now, write.Shard, 0, nil, ReadOK), Write)
			So(second.ExpectVersion, ShouldEqual, uint64(0))
			only(h.WriteDone(now, write.Shard, second.Token, Conflict, 0), Read)
			only(h.ReadDone(now, write.Shard, 1, write.Value, ReadOK), Run)
		})
		Convey("another home answers the key as unknown and names the claimant", func() {
			other := NewHome(Config{}, "b", "orders", epoch)
			only(other.Ask(epoch, 1, key, deadline), Read)
			unknown := only(other.ReadDone(epoch, write.Shard, 1, write.Value, ReadOK), AnswerUnknown)
			So(unknown.Claimant, ShouldEqual, ClaimantOf("a"))
		})
		Convey("a call whose deadline passes is refused, and its late claim runs only for a new call", func() {
			late := deadline
			refused := only(h.Tick(late), RefuseNotRun)
			So(refused.Reason, ShouldEqual, call.ReasonPlatform)
			So(h.WriteDone(late, write.Shard, write.Token, Written, 1), ShouldBeEmpty)
			So(only(h.Ask(late, 2, key, late.Add(time.Second)), Run).Waiter, ShouldEqual, WaiterID(2))
		})
		Convey("a key that did not run gives its claim back after a while", func() {
			only(h.WriteDone(epoch, write.Shard, write.Token, Written, 1), Run)
			So(h.Ran(epoch, key, RunResult{Outcome: call.NotRun, Reason: call.ReasonOverload}), ShouldBeEmpty)
			release := only(h.Tick(epoch.Add(DefaultReleaseAfter)), Write)
			So(h.WriteDone(epoch, write.Shard, release.Token, Written, 2), ShouldBeEmpty)
			other := NewHome(Config{}, "b", "orders", epoch)
			only(other.Ask(epoch, 1, key, deadline), Read)
			only(other.ReadDone(epoch, write.Shard, 2, release.Value, ReadOK), Write)
		})
		Convey("a key that ran with an unknown outcome is not run again, also when its claim is read back", func() {
			only(h.WriteDone(epoch, write.Shard, write.Token, Written, 1), Run)
			h.Ran(epoch, key, RunResult{Outcome: call.Unknown})
			now := epoch.Add(DefaultCommitInterval)
			other := only(h.Ask(now, 2, sameShard(key), deadline), Write)
			only(h.WriteDone(now, write.Shard, other.Token, Conflict, 0), Read)
			So(h.Ask(now, 3, key, deadline), ShouldBeEmpty)
			actions := h.ReadDone(now, write.Shard, 2, write.Value, ReadOK)
			So(kinds(actions), ShouldResemble, []ActionKind{AnswerUnknown, Write})
			So(actions[0].Waiter, ShouldEqual, WaiterID(3))
		})
		Convey("a release whose answer is lost is settled before the key may run here again", func() {
			only(h.WriteDone(epoch, write.Shard, write.Token, Written, 1), Run)
			h.Ran(epoch, key, RunResult{Outcome: call.NotRun, Reason: call.ReasonOverload})
			now := epoch.Add(DefaultReleaseAfter)
			release := only(h.Tick(now), Write)
			only(h.WriteDone(now, write.Shard, release.Token, Unsettled, 0), Read)
			So(h.Ask(now, 2, key, now.Add(time.Second)), ShouldBeEmpty)
			now = now.Add(DefaultCommitInterval)
			settling := only(h.ReadDone(now, write.Shard, 1, write.Value, ReadOK), Write)
			only(h.WriteDone(now, write.Shard, settling.Token, Written, 2), Run)
		})
	})
}

func TestDrainingHomeClaimsNothing(t *testing.T) {
	Convey("A home that is leaving refuses a new key without a claim, and runs a key that it issued", t, func() {
		h := NewHome(Config{}, "a", "orders", epoch)
		issued := mustKey(h.Issue(epoch, 1)[0])
		So(h.Drain(epoch), ShouldBeEmpty)
		deadline := epoch.Add(time.Second)
		So(only(h.Ask(epoch, 1, datedKey(epoch, 1), deadline), RefuseNotRun).Reason, ShouldEqual, call.ReasonDraining)
		only(h.Ask(epoch, 2, issued, deadline), Run)
		So(h.Issue(epoch, 1), ShouldBeEmpty)
	})
}

func TestIssuedKeys(t *testing.T) {
	Convey("Given a home that issued two keys", t, func() {
		h := NewHome(Config{}, "a", "orders", epoch)
		keys := h.Issue(epoch, 2)
		deadline := epoch.Add(time.Second)
		first := mustKey(keys[0])
		issuer, issued := first.Issuer()
		So(issued, ShouldBeTrue)
		So(issuer, ShouldEqual, fleet.InstanceID("a"))

		Convey("a key runs at once and only once", func() {
			only(h.Ask(epoch, 1, first, deadline), Run)
			So(h.Ran(epoch, first, RunResult{Outcome: call.Unknown}), ShouldBeEmpty)
			only(h.Ask(epoch, 2, first, deadline), AnswerUnknown)
		})
		Convey("a key that did not run may be used again", func() {
			only(h.Ask(epoch, 1, first, deadline), Run)
			h.Ran(epoch, first, RunResult{Outcome: call.NotRun})
			only(h.Ask(epoch, 2, first, deadline), Run)
		})
		Convey("a key that was never issued is refused, and so is one with another text", func() {
			only(h.Ask(epoch, 1, mustKey("gk1.a.3"), deadline), RefuseNotRun)
			only(h.Ask(epoch, 2, first, deadline), Run)
			only(h.Ask(epoch, 3, mustKey(keys[0]+".x"), deadline), RefuseNotRun)
		})
		Convey("another instance answers it as unknown", func() {
			only(NewHome(Config{}, "b", "orders", epoch).Ask(epoch, 1, first, deadline), AnswerUnknown)
		})
		Convey("an expired key is unknown, and its room is free again", func() {
			h.Issue(epoch, MaxIssued)
			So(h.Issue(epoch, 1), ShouldBeEmpty)
			late := epoch.Add(IssuedLifetime)
			only(h.Ask(late, 1, first, late.Add(time.Second)), AnswerUnknown)
			So(h.Issue(late, 1), ShouldHaveLength, 1)
		})
	})
}
