package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/membership/membershippb"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func instance(i int) fleet.Instance {
	return fleet.Instance{
		ID:            fleet.InstanceID(fmt.Sprintf("i%03d", i)),
		PeerAddress:   fmt.Sprintf("10.0.0.%d:7000", i),
		FailureDomain: "d1",
		Region:        "r1",
		Service:       "search",
		Slots:         70,
		State:         fleet.Ready,
	}
}

// TestClaimsInAnyOrder delivers the same packets to two tables in different orders,
// with repetitions, and checks that the tables are equal: applying claims is
// commutative and idempotent.
func TestClaimsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		packets := randomPackets(t)
		orders := rapid.Permutation(packets)
		a := membership.NewTable(membership.Config{}, instance(200), start, 1)
		b := membership.NewTable(membership.Config{}, instance(200), start, 2)
		receiveAll(t, a, orders.Draw(t, "first order"))
		receiveAll(t, b, orders.Draw(t, "second order"))
		receiveAll(t, b, packets)
		receiveAll(t, a, packets)
		for i := range 4 {
			inA, knownA := a.Get(instance(i).ID)
			inB, knownB := b.Get(instance(i).ID)
			if knownA != knownB || inA != inB {
				t.Fatalf("member %d: %+v, but %+v in the other order", i, inA, inB)
			}
		}
	})
}

// randomPackets returns the packets in which four nodes announce random states of
// their targets. Two of the nodes then leave.
func randomPackets(t *rapid.T) [][]byte {
	var packets [][]byte
	for i := range 4 {
		sender := membership.NewTable(membership.Config{}, instance(i), start, uint64(i))
		_, err := sender.Merge(start, membership.NewTable(membership.Config{}, instance(200), start, 1).Snapshot(start))
		if err != nil {
			t.Fatal(err)
		}
		packets = append(packets, dataOf(sender.Tick(start))...)
		states := rapid.SliceOfN(rapid.SampledFrom([]fleet.State{fleet.Starting, fleet.Ready, fleet.Draining}), 0, 4)
		for _, state := range states.Draw(t, "states") {
			slots := rapid.IntRange(1, 3).Draw(t, "slots")
			packets = append(packets, dataOf(sender.SetTarget(start, "search", slots, state))...)
		}
		if i < 2 {
			packets = append(packets, dataOf(sender.Leave(start))...)
		}
	}
	return packets
}

func dataOf(messages []membership.Message) [][]byte {
	var all [][]byte
	for _, m := range messages {
		all = append(all, m.Data)
	}
	return all
}

func receiveAll(t *rapid.T, table *membership.Table, packets [][]byte) {
	for _, packet := range packets {
		if _, err := table.Receive(start, "10.0.0.1:7000", packet); err != nil {
			t.Fatal(err)
		}
	}
}

// TestAnyBytes checks that random bytes and damaged packets cause no panic and don't
// exceed the limit of members.
func TestAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := membership.NewTable(membership.Config{MaxMembers: 8}, instance(1), start, 1)
		other := membership.NewTable(membership.Config{}, instance(2), start, 1)
		if _, err := table.Merge(start, other.Snapshot(start)); err != nil {
			t.Fatal(err)
		}
		valid := dataOf(table.Tick(start.Add(time.Second)))
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		if len(valid) > 0 && rapid.Bool().Draw(t, "damage a packet") {
			data = append([]byte(nil), valid[0]...)
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		_, _ = table.Receive(start, "10.0.0.2:7000", data)
		_, _ = other.Receive(start, "10.0.0.1:7000", data)
		_, _ = table.Merge(start, data)
		_, _ = membership.DecodeSeed(data)
		if len(table.All()) > 8 {
			t.Fatalf("%d members, at most 8", len(table.All()))
		}
		table.Tick(start.Add(2 * time.Second))
	})
}

func TestTableIsBounded(t *testing.T) {
	convey.Convey("A full table refuses members, returns an error and counts them", t, func() {
		table := membership.NewTable(membership.Config{MaxMembers: 8}, instance(0), start, 1)
		var err error
		for i := 1; i <= 20; i++ {
			other := membership.NewTable(membership.Config{}, instance(i), start, 1)
			_, err = table.Merge(start, other.Snapshot(start))
		}
		convey.So(err, convey.ShouldWrap, membership.ErrFull)
		convey.So(len(table.All()), convey.ShouldEqual, 8)
		convey.So(table.Counters().RefusedMembers, convey.ShouldBeGreaterThan, 0)
	})
}

// pair returns the tables of two nodes that know each other.
func pair() (a, b *membership.Table) {
	base := membership.NewBase([]fleet.Instance{instance(0), instance(1)})
	a = membership.NewTableFrom(membership.Config{}, instance(0), start, 1, base)
	b = membership.NewTableFrom(membership.Config{}, instance(1), start, 2, base)
	return a, b
}

func TestRepliesFromBeforeAPauseDoNotMakeATableFresh(t *testing.T) {
	for _, rounds := range []int{1, 3} {
		convey.Convey("Given a node that compares tables after a pause and is paused again", t, func() {
			a, b := pair()
			b.SetTarget(start, "search", 70, fleet.Draining)
			resumed := start.Add(10 * time.Second)
			replies := comparisons(a.Tick(resumed))
			for range rounds {
				replies = comparisons(deliver(replies, a, b, resumed))
			}
			convey.So(replies, convey.ShouldNotBeEmpty)
			resumedAgain := resumed.Add(10 * time.Second)
			a.Tick(resumedAgain)
			convey.Convey("replies to the first comparison don't make it fresh", func() {
				for _, m := range replies {
					_, err := a.Receive(resumedAgain, instance(1).PeerAddress, m.Data)
					convey.So(err, convey.ShouldBeNil)
				}
				convey.So(a.Fresh(resumedAgain), convey.ShouldBeFalse)
			})
		})
	}
}

// comparisons returns the messages that belong to a comparison of tables.
func comparisons(messages []membership.Message) []membership.Message {
	return slices.DeleteFunc(messages, func(m membership.Message) bool {
		p := &membershippb.Packet{}
		return proto.Unmarshal(m.Data, p) != nil || p.Kind < membershippb.Kind_KIND_SYNC_TOP
	})
}

// deliver delivers messages between a and b, each to the table at its address, and
// returns the replies.
func deliver(fromA []membership.Message, a, b *membership.Table, now time.Time) []membership.Message {
	var fromB []membership.Message
	for _, m := range fromA {
		to, from := b, instance(0).PeerAddress
		if m.To == from {
			to, from = a, instance(1).PeerAddress
		}
		replies, err := to.Receive(now, from, m.Data)
		convey.So(err, convey.ShouldBeNil)
		fromB = append(fromB, replies...)
	}
	return fromB
}

func TestResumedNode(t *testing.T) {
	convey.Convey("Given a node that resumes after a long pause", t, func() {
		instances := []fleet.Instance{instance(0), instance(1), instance(2)}
		base := membership.NewBase(instances)
		a := membership.NewTableFrom(membership.Config{}, instance(0), start, 1, base)
		resumed := start.Add(100 * time.Second)
		convey.Convey("its first tick raises its incarnation", func() {
			a.Tick(resumed)
			convey.So(a.Self().Incarnation, convey.ShouldEqual, 1)
		})
		convey.Convey("a suspicion that arrives before its first tick ends in time", func() {
			b := membership.NewTableFrom(membership.Config{}, instance(1), resumed, 2, base)
			now := resumed
			for a.Counters().Suspects == 0 {
				for _, m := range b.Tick(now) {
					_, _ = a.Receive(resumed, instance(1).PeerAddress, m.Data)
				}
				now = now.Add(membership.TickInterval)
			}
			for i := range 50 {
				a.Tick(resumed.Add(time.Duration(i) * membership.TickInterval))
			}
			member, _ := a.Get(instance(2).ID)
			convey.So(member.State, convey.ShouldEqual, fleet.Dead)
		})
	})
}

func TestReplacedInstanceStaysLeft(t *testing.T) {
	convey.Convey("Given a table that holds an instance", t, func() {
		a, b := pair()
		successor := instance(1)
		successor.ID = "successor"
		later := start.Add(time.Minute)
		replacement := membership.NewTable(membership.Config{}, successor, later, 3)
		convey.Convey("a snapshot of a new instance at its address replaces it at once", func() {
			_, err := a.Merge(later, replacement.Snapshot(later))
			convey.So(err, convey.ShouldBeNil)
			old, _ := a.Get(instance(1).ID)
			convey.So(old.State, convey.ShouldEqual, fleet.Left)
			member, _ := a.Get(successor.ID)
			convey.So(member.State, convey.ShouldEqual, fleet.Ready)
			convey.Convey("and a late announcement of the old one does not bring it back", func() {
				for _, m := range b.SetTarget(start, "search", 1, fleet.Ready) {
					_, err := a.Receive(later, instance(1).PeerAddress, m.Data)
					convey.So(err, convey.ShouldBeNil)
				}
				old, _ := a.Get(instance(1).ID)
				convey.So(old.State, convey.ShouldEqual, fleet.Left)
			})
		})
		convey.Convey("a replacement that started earlier by its clock is found by a probe of the address", func() {
			earlier := start.Add(-time.Hour)
			replacement := membership.NewTable(membership.Config{}, successor, earlier, 3)
			_, err := a.Merge(start, replacement.Snapshot(earlier))
			convey.So(err, convey.ShouldBeNil)
			now := start
			for range 20 {
				now = now.Add(membership.TickInterval)
				for _, m := range a.Tick(now) {
					replies, _ := replacement.Receive(earlier, instance(0).PeerAddress, m.Data)
					for _, reply := range replies {
						_, _ = a.Receive(now, successor.PeerAddress, reply.Data)
					}
				}
			}
			old, _ := a.Get(instance(1).ID)
			convey.So(old.State, convey.ShouldEqual, fleet.Left)
		})
	})
}

// TestUnknownSenderThatLeftIsNotAskedForever guards against an endless exchange: a
// record that can't be added, because its member has left, must not be requested again
// after each reply.
func TestUnknownSenderThatLeftIsNotAskedForever(t *testing.T) {
	convey.Convey("Given a node that has left and a table that does not know it", t, func() {
		unknown := membership.NewTable(membership.Config{}, instance(1), start, 3)
		a := membership.NewTable(membership.Config{}, instance(0), start, 5)
		_, err := unknown.Merge(start, a.Snapshot(start))
		convey.So(err, convey.ShouldBeNil)
		var pings []membership.Message
		now := start
		for len(pings) == 0 || now.Sub(start) < 2*time.Second { // until its own record has been sent
			now = now.Add(membership.TickInterval)
			pings = unknown.Tick(now)
		}
		unknown.Leave(now)
		convey.Convey("its packets cause a bounded number of replies", func() {
			convey.So(exchangeAll(pings, a, unknown, now), convey.ShouldBeLessThan, 20)
		})
	})
}

// exchangeAll delivers messages between a and b, and the replies to them, until none
// are left, but at most 100. It returns the number.
func exchangeAll(inFlight []membership.Message, a, b *membership.Table, now time.Time) int {
	delivered := 0
	for len(inFlight) > 0 && delivered < 100 {
		m := inFlight[0]
		inFlight = inFlight[1:]
		delivered++
		to, from := a, instance(1).PeerAddress
		if m.To == instance(1).PeerAddress {
			to, from = b, instance(0).PeerAddress
		}
		replies, err := to.Receive(now, from, m.Data)
		convey.So(err, convey.ShouldBeNil)
		inFlight = append(inFlight, replies...)
	}
	return delivered
}

// TestMutualDeathEnds checks that two nodes that are dead in each other's tables become
// alive again after a bounded number of packets.
func TestMutualDeathEnds(t *testing.T) {
	convey.Convey("Two nodes that are dead in each other's tables are alive again after a few packets", t, func() {
		a, b := pair()
		now := start
		a.SetConfigVersion(1)
		inFlight := gossip(a.Tick(now)) // without claims, delivered later
		convey.So(inFlight, convey.ShouldNotBeEmpty)
		for range 100 {
			now = now.Add(membership.TickInterval)
			a.Tick(now)
			b.Tick(now)
		}
		convey.So(a.Len(), convey.ShouldEqual, 1)
		convey.So(b.Len(), convey.ShouldEqual, 1)
		delivered := exchangeAll(inFlight, a, b, now)
		convey.So(delivered, convey.ShouldBeLessThan, 30)
		convey.So(a.Len(), convey.ShouldEqual, 2)
		convey.So(b.Len(), convey.ShouldEqual, 2)
	})
}

func gossip(messages []membership.Message) []membership.Message {
	return slices.DeleteFunc(messages, func(m membership.Message) bool {
		p := &membershippb.Packet{}
		return proto.Unmarshal(m.Data, p) != nil || p.Kind != membershippb.Kind_KIND_GOSSIP
	})
}

func TestSeeds(t *testing.T) {
	convey.Convey("Each seed object of a failure domain has one owner, which refreshes it", t, func() {
		a, b := pair()
		writes := append(a.SeedWrites(start), b.SeedWrites(start)...)
		convey.So(len(writes), convey.ShouldEqual, membership.SeedsPerDomain+1)
		for _, w := range writes {
			convey.So(membership.SeedKeys("d1"), convey.ShouldContain, w.Key)
			addresses, err := membership.DecodeSeed(w.Value)
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(addresses), convey.ShouldBeGreaterThan, 0)
			a.SeedWritten(start, w.Key)
			b.SeedWritten(start, w.Key)
		}
		soon := start.Add(4 * time.Second)
		convey.So(append(a.SeedWrites(soon), b.SeedWrites(soon)...), convey.ShouldBeEmpty)
		due := start.Add(membership.SeedRefresh)
		convey.So(len(append(a.SeedWrites(due), b.SeedWrites(due)...)), convey.ShouldEqual, membership.SeedsPerDomain+1)
	})
}
