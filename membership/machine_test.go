package membership_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/membership/membershiptest"
)

// A fixed seed gives each run the same verdict; -rapid.seed of the command line goes
// before it.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	machineNodes   = 12
	machineDomains = 3
	tellTime       = 3 * time.Second  // in which a leaving target is known
	healTime       = 15 * time.Second // after a cut, until the above holds again
)

// machine drives a small fleet through random events and holds what must be true.
type machine struct {
	f         *membershiptest.Fleet
	cut       fleet.FailureDomain // "" for none
	lastCut   time.Time
	stopped   map[fleet.InstanceID]time.Time // announced draining or left
	ended     map[fleet.InstanceID]map[fleet.InstanceID]bool
	versions  map[fleet.InstanceID]uint64
	floors    map[fleet.InstanceID]uint64
	announced map[fleet.InstanceID]fleet.State
	leaving   map[int]bool
}

func newMachine(seed uint64) *machine {
	m := &machine{
		f: membershiptest.New(membershiptest.Options{
			Nodes:    machineNodes,
			Domains:  machineDomains,
			Regions:  machineDomains,
			Services: 2,
			Seed:     seed,
			Known:    true,
		}),
		stopped:   map[fleet.InstanceID]time.Time{},
		ended:     map[fleet.InstanceID]map[fleet.InstanceID]bool{},
		versions:  map[fleet.InstanceID]uint64{},
		floors:    map[fleet.InstanceID]uint64{},
		announced: map[fleet.InstanceID]fleet.State{},
		leaving:   map[int]bool{},
	}
	m.f.Loss = 0.05
	m.f.Duplicate = 0.02
	m.f.Late = 0.2
	m.f.SeedObjects = true
	m.f.Jitter = 40 * time.Millisecond
	m.f.Check = func(document []byte) error {
		if string(document) == "bad" {
			return fmt.Errorf("bad document")
		}
		return nil
	}
	m.f.Cut = func(a, b *membershiptest.Node) bool {
		if m.cut == "" || a.Instance.FailureDomain == b.Instance.FailureDomain {
			return false
		}
		return a.Instance.FailureDomain == m.cut || b.Instance.FailureDomain == m.cut
	}
	m.f.Platform.Put([]byte("first"))
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
	floor := m.floor(n)
	m.f.Restart(i)
	m.leaving[i] = false
	m.floors[n.Instance.ID] = floor
}

// floor is the oldest version among the other nodes that a new instance can reach:
// what is in force at all of them must not be undone by it.
func (m *machine) floor(self *membershiptest.Node) uint64 {
	floor := uint64(0)
	for _, n := range m.f.Nodes {
		if n == self || !n.Running || n.Paused || m.f.Cut(n, self) {
			continue
		}
		if floor == 0 || n.Rollout.Version() < floor {
			floor = n.Rollout.Version()
		}
	}
	return floor
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
	if !n.Running || n.Paused || m.leaving[i] {
		t.Skip("can't announce")
	}
	m.f.SetState(i, fleet.Draining)
	m.stop(n)
}

// pauseAcrossDrain pauses one node while another one drains, so that the first
// wakes with a table that is out of date.
func (m *machine) pauseAcrossDrain(t *rapid.T) {
	_, sleeper := m.node(t)
	i, n := m.node(t)
	if sleeper == n || !sleeper.Running || sleeper.Paused || !n.Running || n.Paused || m.leaving[i] {
		t.Skip("needs two nodes that run")
	}
	m.f.Pause(index(m.f, sleeper))
	m.f.Run(time.Second)
	m.f.SetState(i, fleet.Ready)
	m.f.Run(4 * time.Second)
	m.f.SetState(i, fleet.Draining)
	m.stop(n)
	m.f.Run(5 * time.Second)
	m.f.Resume(index(m.f, sleeper))
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
	if !n.Running || n.Paused || m.leaving[i] || m.f.Active() < machineNodes/2 {
		t.Skip("can't announce")
	}
	m.f.Leave(i)
	m.f.Run(time.Second)
	m.f.Kill(i)
	m.leaving[i] = true
	m.stop(n)
}

func (m *machine) stop(n *membershiptest.Node) {
	if _, known := m.stopped[n.Instance.ID]; !known {
		m.stopped[n.Instance.ID] = m.f.Now
	}
}

func (m *machine) ready(t *rapid.T) {
	i, n := m.node(t)
	if !n.Running || n.Paused || m.leaving[i] {
		t.Skip("can't announce")
	}
	m.f.SetState(i, fleet.Ready)
	delete(m.stopped, n.Instance.ID)
}

func (m *machine) cutOff(t *rapid.T) {
	m.cut = fleet.FailureDomain(fmt.Sprintf("d%02d", rapid.IntRange(0, machineDomains-1).Draw(t, "domain")))
}

func (m *machine) heal(*rapid.T) { m.cut = "" }

func (m *machine) configure(t *rapid.T) {
	if m.f.Platform.Down {
		t.Skip("platform is down")
	}
	m.f.Platform.Put([]byte(rapid.SampledFrom([]string{"good", "bad"}).Draw(t, "document")))
}

func (m *machine) platform(t *rapid.T) {
	m.f.Platform.Down = rapid.Bool().Draw(t, "down")
}

// check holds after each event.
func (m *machine) check(t *rapid.T) {
	if m.cut != "" {
		m.lastCut = m.f.Now
	}
	for _, n := range m.f.Nodes {
		if !n.Running || n.Paused {
			continue
		}
		m.checkVersion(t, n)
		m.checkEnded(t, n)
		m.checkIncarnations(t, n)
		m.checkStopped(t, n)
	}
}

// checkVersion: the version in force at a node never goes back, also not by a
// restart of the node.
func (m *machine) checkVersion(t *rapid.T, n *membershiptest.Node) {
	id := n.Instance.ID
	version := n.Rollout.Version()
	if version < m.versions[id] {
		t.Fatalf("%s went from version %d back to %d", id, m.versions[id], version)
	}
	m.versions[id] = version
	if n.Rollout.Ready(m.f.Now) && version < m.floors[id] {
		t.Fatalf("%s is ready with version %d, all others had %d when it started", id, version, m.floors[id])
	}
}

// checkEnded: a member that has left for a node's table stays so.
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
			t.Fatalf("%s: member %s left and is %s now", n.Instance.ID, member.ID, member.State)
		}
	}
}

// checkIncarnations: only a member itself raises its incarnation.
func (m *machine) checkIncarnations(t *rapid.T, n *membershiptest.Node) {
	for _, owner := range m.f.Nodes {
		member, known := n.Members.Get(owner.Instance.ID)
		if known && owner.Running && member.Incarnation > owner.Members.Self().Incarnation {
			t.Fatalf("%s: member %s has incarnation %d, its own is %d",
				n.Instance.ID, member.ID, member.Incarnation, owner.Members.Self().Incarnation)
		}
	}
}

// checkStopped: tellTime after a target has announced that it drains or leaves, no
// table that may be acted on gives it calls.
func (m *machine) checkStopped(t *rapid.T, n *membershiptest.Node) {
	if m.f.Now.Sub(m.lastCut) < healTime || !n.Members.Fresh(m.f.Now) {
		return
	}
	for id, since := range m.stopped {
		if m.f.Now.Sub(since) < tellTime || id == n.Instance.ID || m.interrupted(id) {
			continue
		}
		member, known := n.Members.Get(id)
		if known && member.State.TakesCalls() {
			t.Fatalf("%s gives calls to %s, which stopped %s ago", n.Instance.ID, id, m.f.Now.Sub(since))
		}
	}
}

// interrupted reports whether the announcer was killed or paused before it had
// told anybody.
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

// settle ends all disturbances and holds that all tables then tell the truth.
func (m *machine) settle(t *rapid.T) {
	m.cut = ""
	m.f.Platform.Down = false
	good := m.f.Platform.Put([]byte("last"))
	for i, n := range m.f.Nodes {
		if n.Running && n.Paused {
			m.f.Resume(i)
		}
	}
	m.f.Run(60 * time.Second)
	if m.islands() {
		m.f.Run(membership.SeedRefresh) // then they meet through the seed objects
	}
	m.check(t)
	for _, n := range m.f.Nodes {
		if !n.Running {
			continue
		}
		if n.Rollout.Version() != good {
			t.Fatalf("%s has version %d, the platform %d", n.Instance.ID, n.Rollout.Version(), good)
		}
		m.checkTruth(t, n)
	}
}

// islands reports whether a node has no record of another one that runs.
func (m *machine) islands() bool {
	for _, n := range m.f.Nodes {
		for _, other := range m.f.Nodes {
			if _, known := n.Members.Get(other.Instance.ID); n.Running && other.Running && !known {
				return true
			}
		}
	}
	return false
}

func (m *machine) checkTruth(t *rapid.T, n *membershiptest.Node) {
	live := 0
	for _, other := range m.f.Nodes {
		member, known := n.Members.Get(other.Instance.ID)
		if !other.Running {
			if known && member.State.TakesCalls() {
				t.Fatalf("%s: killed member %s is %s", n.Instance.ID, member.ID, member.State)
			}
			continue
		}
		live++
		own := other.Members.Self()
		if !known || member != own {
			t.Fatalf("%s: member %+v, by its own word %+v", n.Instance.ID, member, own)
		}
	}
	if n.Members.Len() != live {
		t.Fatalf("%s: %d live members, %d run", n.Instance.ID, n.Members.Len(), live)
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
			"cut off":   m.cutOff,
			"heal":      m.heal,
			"configure": m.configure,
			"platform":  m.platform,
			"":          m.check,
		})
		m.settle(t)
	})
}
