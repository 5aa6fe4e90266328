package membership_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/membership/membershiptest"
)

// A fixed seed makes runs reproducible; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	machineNodes   = 12
	machineDomains = 3
	announceTime   = 3 * time.Second  // in which all nodes know that a target drains or left
	recoveryTime   = 15 * time.Second // after a partition, until announceTime holds again
)

// machine is a state machine for rapid: it applies random events to a small fleet and
// checks invariants after each.
type machine struct {
	f                 *membershiptest.Fleet
	partitionedDomain fleet.FailureDomain // "" if none is
	lastPartition     time.Time
	noCallsSince      map[fleet.InstanceID]time.Time                 // when a target announced that it drains or leaves
	ended             map[fleet.InstanceID]map[fleet.InstanceID]bool // by node: members that left in its table
	versions          map[fleet.InstanceID]epoch.Version             // last version in force at a node
	minVersions       map[fleet.InstanceID]epoch.Version             // version that a ready node must have at least
	announced         map[fleet.InstanceID]fleet.State
	hasLeft           map[int]bool
	copied            membershiptest.PlatformCopy
}

func newMachine(seed uint64) *machine {
	m := &machine{
		f: membershiptest.New(membershiptest.Options{
			Nodes:    machineNodes,
			Domains:  machineDomains,
			Regions:  machineDomains,
			Services: 2,
			Seed:     seed,
			Joined:   true,
		}),
		noCallsSince: map[fleet.InstanceID]time.Time{},
		ended:        map[fleet.InstanceID]map[fleet.InstanceID]bool{},
		versions:     map[fleet.InstanceID]epoch.Version{},
		minVersions:  map[fleet.InstanceID]epoch.Version{},
		announced:    map[fleet.InstanceID]fleet.State{},
		hasLeft:      map[int]bool{},
	}
	m.f.Loss = 0.05
	m.f.Duplicate = 0.02
	m.f.SlowReplies = 0.2
	m.f.SeedObjects = true
	m.f.Jitter = 40 * time.Millisecond
	m.f.Check = func(document []byte) error {
		if string(document) == "bad" {
			return fmt.Errorf("bad document")
		}
		return nil
	}
	m.f.Partitioned = func(a, b *membershiptest.Node) bool {
		if m.partitionedDomain == "" || a.Instance.FailureDomain == b.Instance.FailureDomain {
			return false
		}
		return a.Instance.FailureDomain == m.partitionedDomain || b.Instance.FailureDomain == m.partitionedDomain
	}
	m.f.Platform.Put([]byte("first"))
	m.copied = m.f.Platform.Copy()
	m.f.Run(2 * time.Second)
	return m
}

func (m *machine) node(t *rapid.T) (int, *membershiptest.Node) {
	i := rapid.IntRange(0, machineNodes-1).Draw(t, "node")
	return i, m.f.Nodes[i]
}

func (m *machine) passTime(t *rapid.T) {
	m.f.Run(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
}

func (m *machine) kill(t *rapid.T) {
	i, n := m.node(t)
	if !n.Running || m.f.Active() < machineNodes/2 {
		t.Skip("not running, or too few are")
	}
	m.f.Kill(i)
}

func (m *machine) restart(t *rapid.T) {
	i, n := m.node(t)
	minVersion := m.minVersion(n)
	m.f.Restart(i)
	m.hasLeft[i] = false
	m.minVersions[n.Instance.ID] = minVersion
}

// minVersion returns the oldest version in force at the other nodes that a new
// instance can reach. The new instance must not be ready with an older one.
func (m *machine) minVersion(self *membershiptest.Node) epoch.Version {
	minVersion := epoch.Version(0)
	for _, n := range m.f.Nodes {
		if n == self || !n.Running || n.Paused || m.f.Partitioned(n, self) {
			continue
		}
		if minVersion == 0 || n.Rollout.Version() < minVersion {
			minVersion = n.Rollout.Version()
		}
	}
	return minVersion
}

func (m *machine) pause(t *rapid.T) {
	i, n := m.node(t)
	if !n.Running || n.Paused || m.f.Active() < machineNodes/2 {
		t.Skip("not running, or too few are")
	}
	m.f.Pause(i)
}

func (m *machine) resume(t *rapid.T) {
	i, n := m.node(t)
	if !n.Running || !n.Paused {
		t.Skip("not paused")
	}
	m.f.Resume(i)
}

func (m *machine) drain(t *rapid.T) {
	i, n := m.node(t)
	if !n.Running || n.Paused || m.hasLeft[i] {
		t.Skip("can't announce")
	}
	m.f.SetState(i, fleet.Draining)
	m.recordNoCalls(n)
}

// pauseAcrossDrain pauses one node while another one drains, so that the paused node
// resumes with a table that is out of date.
func (m *machine) pauseAcrossDrain(t *rapid.T) {
	_, paused := m.node(t)
	i, n := m.node(t)
	if paused == n || !paused.Running || paused.Paused || !n.Running || n.Paused || m.hasLeft[i] {
		t.Skip("needs two nodes that run")
	}
	m.f.Pause(index(m.f, paused))
	m.f.Run(time.Second)
	m.f.SetState(i, fleet.Ready)
	m.f.Run(4 * time.Second)
	m.f.SetState(i, fleet.Draining)
	m.recordNoCalls(n)
	m.f.Run(5 * time.Second)
	m.f.Resume(index(m.f, paused))
	m.check(t)
	for range 10 {
		m.f.Run(50 * time.Millisecond)
		m.check(t)
	}
}

func index(f *membershiptest.Fleet, n *membershiptest.Node) int {
	return slices.Index(f.Nodes, n)
}

func (m *machine) leave(t *rapid.T) {
	i, n := m.node(t)
	if !n.Running || n.Paused || m.hasLeft[i] || m.f.Active() < machineNodes/2 {
		t.Skip("can't announce")
	}
	m.f.Leave(i)
	m.f.Run(time.Second)
	m.f.Kill(i)
	m.hasLeft[i] = true
	m.recordNoCalls(n)
}

func (m *machine) recordNoCalls(n *membershiptest.Node) {
	if _, known := m.noCallsSince[n.Instance.ID]; !known {
		m.noCallsSince[n.Instance.ID] = m.f.Now
	}
}

func (m *machine) ready(t *rapid.T) {
	i, n := m.node(t)
	if !n.Running || n.Paused || m.hasLeft[i] {
		t.Skip("can't announce")
	}
	m.f.SetState(i, fleet.Ready)
	delete(m.noCallsSince, n.Instance.ID)
}

func (m *machine) partition(t *rapid.T) {
	m.partitionedDomain = fleet.FailureDomain(fmt.Sprintf("d%02d", rapid.IntRange(0, machineDomains-1).Draw(t, "domain")))
}

func (m *machine) heal(*rapid.T) { m.partitionedDomain = "" }

func (m *machine) configure(t *rapid.T) {
	if m.f.Platform.Down {
		t.Skip("platform is down")
	}
	m.f.Platform.Put([]byte(rapid.SampledFrom([]string{"good", "bad"}).Draw(t, "document")))
}

// copyPlatform makes the copy that restorePlatform brings back.
func (m *machine) copyPlatform(*rapid.T) { m.copied = m.f.Platform.Copy() }

// restorePlatform makes the platform lose what was written after the copy.
func (m *machine) restorePlatform(*rapid.T) { m.f.Platform.Restore(m.copied) }

func (m *machine) platform(t *rapid.T) {
	m.f.Platform.Down = rapid.Bool().Draw(t, "down")
}

// check checks the invariants of all active nodes. It runs after each event.
func (m *machine) check(t *rapid.T) {
	if m.partitionedDomain != "" {
		m.lastPartition = m.f.Now
	}
	for _, n := range m.f.Nodes {
		if !n.Running || n.Paused {
			continue
		}
		m.checkVersion(t, n)
		m.checkEnded(t, n)
		m.checkIncarnations(t, n)
		m.checkNoCalls(t, n)
	}
}

// checkVersion checks that the version in force at a node never goes back, not even
// when the node restarts.
func (m *machine) checkVersion(t *rapid.T, n *membershiptest.Node) {
	id := n.Instance.ID
	version := n.Rollout.Version()
	if version < m.versions[id] {
		t.Fatalf("%s: version in force went back from %s to %s", id, m.versions[id], version)
	}
	m.versions[id] = version
	if n.Rollout.Ready(m.f.Now) && version < m.minVersions[id] {
		t.Fatalf("%s is ready with version %s, all others had at least %s when it started", id, version, m.minVersions[id])
	}
}

// checkEnded checks that a member that has left in a node's table stays left.
func (m *machine) checkEnded(t *rapid.T, n *membershiptest.Node) {
	ended := m.ended[n.Instance.ID]
	if ended == nil {
		ended = map[fleet.InstanceID]bool{}
		m.ended[n.Instance.ID] = ended
	}
	for _, member := range n.Members.All() {
		if member.State == fleet.Left {
			ended[member.ID] = true
		} else if ended[member.ID] {
			t.Fatalf("%s: member %s had left and is %s now", n.Instance.ID, member.ID, member.State)
		}
	}
}

// checkIncarnations checks that only a member itself raises its incarnation.
func (m *machine) checkIncarnations(t *rapid.T, n *membershiptest.Node) {
	for _, owner := range m.f.Nodes {
		member, known := n.Members.Get(owner.Instance.ID)
		if known && owner.Running && member.Incarnation > owner.Members.Self().Incarnation {
			t.Fatalf("%s: member %s has incarnation %d, in its own table %d",
				n.Instance.ID, member.ID, member.Incarnation, owner.Members.Self().Incarnation)
		}
	}
}

// checkNoCalls checks that announceTime after a target announced that it drains or
// leaves, no fresh table shows it as taking calls.
func (m *machine) checkNoCalls(t *rapid.T, n *membershiptest.Node) {
	if m.f.Now.Sub(m.lastPartition) < recoveryTime || !n.Members.Fresh(m.f.Now) {
		return
	}
	for id, since := range m.noCallsSince {
		if m.f.Now.Sub(since) < announceTime || id == n.Instance.ID || m.interrupted(id) {
			continue
		}
		member, known := n.Members.Get(id)
		if known && member.State.TakesCalls() {
			t.Fatalf("%s would call %s, which announced %s ago that it drains or leaves", n.Instance.ID, id, m.f.Now.Sub(since))
		}
	}
}

// interrupted reports whether the instance was killed or paused before any other node
// received its announcement.
func (m *machine) interrupted(id fleet.InstanceID) bool {
	for _, n := range m.f.Nodes {
		if n.Instance.ID != id && n.Running && !n.Paused {
			if member, known := n.Members.Get(id); known && !member.State.TakesCalls() {
				return false
			}
		}
	}
	return true
}

// settle ends all faults and checks that all tables then agree with the nodes.
func (m *machine) settle(t *rapid.T) {
	m.partitionedDomain = ""
	m.f.Platform.Down = false
	good := m.f.Platform.Put([]byte("last"))
	for i, n := range m.f.Nodes {
		if n.Running && n.Paused {
			m.f.Resume(i)
		}
	}
	m.f.Run(60 * time.Second)
	if m.hasUnknownNodes() {
		m.f.Run(membership.SeedRefresh) // then the nodes find each other through the seed objects
	}
	m.check(t)
	for _, n := range m.f.Nodes {
		if !n.Running {
			continue
		}
		if n.Rollout.Version() != good {
			t.Fatalf("%s has version %s, the platform has %s", n.Instance.ID, n.Rollout.Version(), good)
		}
		m.checkConverged(t, n)
	}
}

// hasUnknownNodes reports whether a running node has no record of another one.
func (m *machine) hasUnknownNodes() bool {
	for _, n := range m.f.Nodes {
		for _, other := range m.f.Nodes {
			if _, known := n.Members.Get(other.Instance.ID); n.Running && other.Running && !known {
				return true
			}
		}
	}
	return false
}

// checkConverged checks that a node's table equals what the running nodes announce
// and has no other live members.
func (m *machine) checkConverged(t *rapid.T, n *membershiptest.Node) {
	live := 0
	for _, other := range m.f.Nodes {
		member, known := n.Members.Get(other.Instance.ID)
		if !other.Running {
			if known && member.State.TakesCalls() {
				t.Fatalf("%s: killed member %s is still %s", n.Instance.ID, member.ID, member.State)
			}
			continue
		}
		live++
		self := other.Members.Self()
		if !known || member != self {
			t.Fatalf("%s: member %+v, in its own table %+v", n.Instance.ID, member, self)
		}
	}
	if n.Members.Len() != live {
		t.Fatalf("%s: %d live members, %d nodes run", n.Instance.ID, n.Members.Len(), live)
	}
	if !n.Members.Fresh(m.f.Now) {
		t.Fatalf("%s is not fresh", n.Instance.ID)
	}
}

func TestFleetUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.Uint64().Draw(t, "seed"))
		t.Repeat(map[string]func(*rapid.T){
			"pass time": m.passTime,
			"pass more": m.passTime,
			"kill":      m.kill,
			"restart":   m.restart,
			"pause":     m.pause,
			"resume":    m.resume,
			"drain":     m.drain,
			"asleep":    m.pauseAcrossDrain,
			"leave":     m.leave,
			"ready":     m.ready,
			"cut off":   m.partition,
			"heal":      m.heal,
			"configure": m.configure,
			"platform":  m.platform,
			"copy":      m.copyPlatform,
			"restore":   m.restorePlatform,
			"":          m.check,
		})
		m.settle(t)
	})
}
