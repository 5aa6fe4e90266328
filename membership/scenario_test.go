package membership_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership/membershiptest"
)

// lossyFleet returns a fleet of 100 nodes (see lossyFleetOf).
func lossyFleet(seed uint64) *membershiptest.Fleet { return lossyFleetOf(100, seed) }

// lossyFleetOf returns a fleet in 4 failure domains and 2 regions whose network loses
// 5% of the datagrams.
func lossyFleetOf(nodes int, seed uint64) *membershiptest.Fleet {
	f := membershiptest.New(membershiptest.Options{
		Nodes:    nodes,
		Domains:  4,
		Regions:  2,
		Services: 5,
		Seed:     seed,
		Joined:   true,
	})
	f.Loss = 0.05
	f.Jitter = 30 * time.Millisecond
	f.Run(2 * time.Second)
	return f
}

// inAllTables returns a condition: accept is true for node i's instance in all other
// tables.
func inAllTables(f *membershiptest.Fleet, i int, accept func(fleet.Instance, bool) bool) func() bool {
	id := f.Nodes[i].Instance.ID
	return func() bool {
		_, missing := f.CountViews(id, accept)
		return missing == 0
	}
}

// within runs the fleet until done and requires that this takes at most limit.
func within(f *membershiptest.Fleet, limit time.Duration, done func() bool) {
	_, ok := f.RunUntil(limit, done)
	convey.So(ok, convey.ShouldBeTrue)
}

func TestUpdatesReachEveryNodeInTime(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		convey.Convey("Given 100 nodes with packet loss", t, func() {
			f := lossyFleet(seed)
			convey.Convey("a draining target gets no new calls from any node within 3 s", func() {
				f.SetState(3, fleet.Draining)
				within(f, 3*time.Second, inAllTables(f, 3, membershiptest.NoNewCalls))
			})
			convey.Convey("a node that leaves gets no new calls from any node within 3 s", func() {
				f.Leave(3)
				f.Run(500 * time.Millisecond)
				f.Kill(3)
				within(f, 2500*time.Millisecond, inAllTables(f, 3, membershiptest.NoNewCalls))
			})
			convey.Convey("a killed node is dead in all tables within 5 s", func() {
				f.Kill(3)
				within(f, 5*time.Second, inAllTables(f, 3, membershiptest.Dead))
			})
			convey.Convey("a new configuration is in force at all nodes within 5 s", func() {
				version := f.Platform.Put([]byte("new"))
				within(f, 5*time.Second, func() bool {
					_, missing := f.CountInForce(version)
					return missing == 0
				})
			})
			convey.Convey("all nodes of a killed failure domain are dead in all tables within 10 s", func() {
				for i := 0; i < 100; i += 4 {
					f.Kill(i)
				}
				within(f, 10*time.Second, func() bool {
					for i := 0; i < 100; i += 4 {
						if !inAllTables(f, i, membershiptest.Dead)() {
							return false
						}
					}
					return true
				})
			})
		})
	}
}

func TestReplacedInstance(t *testing.T) {
	convey.Convey("A new instance at an address replaces the old one in all tables within 3 s", t, func() {
		f := lossyFleet(1)
		old := f.Nodes[3].Instance.ID
		f.Kill(3)
		f.Restart(3)
		within(f, 3*time.Second, inAllTables(f, 3, membershiptest.Ready))
		_, missing := f.CountViews(old, membershiptest.Dead)
		convey.So(missing, convey.ShouldEqual, 0)
		convey.So(f.Nodes[3].Members.Len(), convey.ShouldEqual, 100)
	})
}

func TestPausedNode(t *testing.T) {
	convey.Convey("Given a node that is paused until it is dead in all tables", t, func() {
		f := lossyFleet(1)
		f.Loss = 0
		f.Pause(3)
		within(f, 5*time.Second, inAllTables(f, 3, membershiptest.Dead))
		f.Run(10 * time.Second)
		refuted := refutations(f)
		convey.Convey("when resumed it is not fresh, then it refutes its death and is ready in all tables", func() {
			before := f.Nodes[3].Members.Self().Incarnation
			f.Resume(3)
			convey.So(f.Nodes[3].Members.Fresh(f.Now), convey.ShouldBeFalse)
			within(f, 3*time.Second, inAllTables(f, 3, membershiptest.Ready))
			within(f, time.Second, func() bool { return f.Nodes[3].Members.Fresh(f.Now) })
			convey.So(f.Nodes[3].Members.Self().Incarnation, convey.ShouldBeGreaterThan, before)
		})
		convey.Convey("it suspects nobody and declares nobody dead for the time of the pause", func() {
			f.Resume(3)
			f.Run(5 * time.Second)
			convey.So(refutations(f)-refuted, convey.ShouldBeLessThanOrEqualTo, 1) // its own refutation
			convey.So(f.Nodes[3].Members.Counters().Deaths, convey.ShouldEqual, 0)
		})
	})
}

func refutations(f *membershiptest.Fleet) uint64 {
	var sum uint64
	for _, n := range f.Nodes {
		sum += n.Members.Counters().Refutations
	}
	return sum
}

func TestIsolatedNodeDeclaresFewDead(t *testing.T) {
	convey.Convey("A node that receives nothing is not fresh and declares few members dead", t, func() {
		f := lossyFleet(1)
		isolated := f.Nodes[3]
		f.Partitioned = func(a, b *membershiptest.Node) bool { return a == isolated || b == isolated }
		f.Run(time.Minute)
		convey.So(isolated.Members.Fresh(f.Now), convey.ShouldBeFalse)
		convey.So(isolated.Members.Counters().Deaths, convey.ShouldBeLessThanOrEqualTo, 4)
		f.Partitioned = nil
		f.Run(10 * time.Second)
		convey.So(isolated.Members.Fresh(f.Now), convey.ShouldBeTrue)
		convey.So(isolated.Members.Len(), convey.ShouldEqual, 100)
		within(f, time.Second, inAllTables(f, 3, membershiptest.Ready))
	})
}

func TestUpdatesLostInAPartitionAreRecovered(t *testing.T) {
	convey.Convey("A drain announced while a region is partitioned for less than the suspicion timeout is known there soon after", t, func() {
		f := lossyFleet(1)
		f.Partitioned = func(a, b *membershiptest.Node) bool { return a.Instance.Region != b.Instance.Region }
		f.SetState(3, fleet.Draining)
		f.Run(1200 * time.Millisecond)
		f.Partitioned = nil
		within(f, 6*time.Second, inAllTables(f, 3, membershiptest.NoNewCalls))
	})
}

func TestPartitionedRegionsRejoin(t *testing.T) {
	convey.Convey("Regions that were partitioned for an hour find each other again", t, func() {
		f := lossyFleetOf(24, 1)
		f.Partitioned = func(a, b *membershiptest.Node) bool { return a.Instance.Region != b.Instance.Region }
		f.Run(10 * time.Second)
		for _, n := range f.Nodes {
			convey.So(n.Members.Len(), convey.ShouldEqual, 12)
		}
		f.Run(time.Hour)
		deaths := deathsOf(f)
		f.Partitioned = nil
		within(f, 60*time.Second, func() bool {
			for _, n := range f.Nodes {
				if n.Members.Len() != 24 {
					return false
				}
			}
			return true
		})
		convey.So(deathsOf(f), convey.ShouldEqual, deaths) // nobody dies because the other side considered it dead
	})
}

func deathsOf(f *membershiptest.Fleet) uint64 {
	var sum uint64
	for _, n := range f.Nodes {
		sum += n.Members.Counters().Deaths
	}
	return sum
}

func TestRollingRestart(t *testing.T) {
	convey.Convey("After each node was replaced, every table holds exactly the new instances as live members", t, func() {
		f := lossyFleet(1)
		version := f.Platform.Put([]byte("new"))
		f.Run(5 * time.Second)
		f.Platform.Down = true
		for i := range f.Nodes {
			f.Leave(i)
			f.Run(300 * time.Millisecond)
			f.Kill(i)
			f.Run(100 * time.Millisecond)
			f.Restart(i)
			f.Run(400 * time.Millisecond)
		}
		f.Run(20 * time.Second)
		for _, n := range f.Nodes {
			convey.So(n.Members.Len(), convey.ShouldEqual, 100)
			convey.So(n.Rollout.Version(), convey.ShouldEqual, version)
			convey.So(n.Rollout.Ready(f.Now), convey.ShouldBeTrue)
		}
	})
}

func TestFleetFormsFromSeeds(t *testing.T) {
	convey.Convey("Nodes that start at the same time without peers find each other through seed objects", t, func() {
		f := membershiptest.New(membershiptest.Options{Nodes: 40, Domains: 4, Regions: 2, Services: 3, Seed: 1})
		f.SeedObjects = true
		f.Loss = 0.05
		within(f, time.Minute, func() bool {
			for _, n := range f.Nodes {
				if n.Members.Len() != 40 {
					return false
				}
			}
			return true
		})
	})
}
