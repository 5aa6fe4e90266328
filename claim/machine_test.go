package claim_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/claim"
	"github.com/gypsumford/gypsumford/fleet"
)

// machine is the state machine that rapid drives: callers repeat a few keys at
// any node, while nodes pause and restart and the platform fails in every way.
type machine struct {
	t      *rapid.T
	world  *world
	chosen []claim.Key
	issued []claim.Key
}

const (
	machineNodes = 3
	machineKeys  = 4
)

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t}
	choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	m.world = newWorld(machineNodes, drawConfig(t), choose, t.Fatalf)
	m.world.faults = faults{
		platform: rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "platform faults"),
		runs:     rapid.SampledFrom([]int{0, 20, 60}).Draw(t, "run faults"),
	}
	for i := range machineKeys {
		m.chosen = append(m.chosen, chosenKey(byte(i)))
	}
	return m
}

// drawConfig makes homes that forget answers and fill up, or the usual ones.
func drawConfig(t *rapid.T) claim.Config {
	if rapid.Bool().Draw(t, "usual") {
		return claim.Config{}
	}
	return claim.Config{
		ResultCount:  rapid.IntRange(1, 3).Draw(t, "results"),
		MaxRecords:   rapid.IntRange(2, 8).Draw(t, "records"),
		MaxWaiters:   rapid.IntRange(2, 8).Draw(t, "waiters"),
		CommitBurst:  rapid.IntRange(1, 4).Draw(t, "burst"),
		ReleaseAfter: claim.DefaultReleaseAfter,
	}
}

// chosenKey makes keys of which every third is undated, in two shards.
func chosenKey(number byte) claim.Key {
	for salt := byte(0); ; salt++ {
		id := uuid.UUID{0: 0, 6: 0x70, 8: 0x80, 9: salt, 15: number}
		millis := epoch.UnixMilli()
		for i := range 6 {
			id[i] = byte(millis >> (40 - 8*i))
		}
		if number%3 == 2 {
			id[6] = 0x40
		}
		key, err := claim.ParseKey(id.String())
		if err == nil && key.Shard() == int(number%2) {
			return key
		}
	}
}

func (m *machine) node() *node {
	return rapid.SampledFrom(m.world.nodes).Draw(m.t, "node")
}

func (m *machine) timeout() time.Duration {
	return time.Duration(rapid.SampledFrom([]int{30, 300, 3000}).Draw(m.t, "timeout ms")) * time.Millisecond
}

func (m *machine) AskChosen(t *rapid.T) {
	m.world.ask(m.node(), rapid.SampledFrom(m.chosen).Draw(t, "key"), m.timeout())
}

func (m *machine) AskIssued(t *rapid.T) {
	if len(m.issued) == 0 {
		t.Skip("none issued")
	}
	m.world.ask(m.node(), rapid.SampledFrom(m.issued).Draw(t, "key"), m.timeout())
}

func (m *machine) Issue(t *rapid.T) {
	n := m.node()
	if n.paused || len(m.issued) > 2*machineKeys {
		t.Skip()
	}
	for _, text := range n.home.Issue(m.world.now, 2) {
		key, err := claim.ParseKey(text)
		if err != nil {
			t.Fatal(err)
		}
		m.issued = append(m.issued, key)
	}
}

func (m *machine) Leave(t *rapid.T) {
	var pending []*ask
	for _, a := range m.world.asks {
		if a.ended.IsZero() {
			pending = append(pending, a)
		}
	}
	if len(pending) == 0 {
		t.Skip("none pending")
	}
	m.world.leave(rapid.SampledFrom(pending).Draw(t, "call"))
}

func (m *machine) Advance(t *rapid.T) {
	millis := rapid.SampledFrom([]int{1, 10, 30, 100, 300}).Draw(t, "ms")
	m.world.advance(time.Duration(millis) * time.Millisecond)
}

// AdvanceToRelease lets the claims of keys that did not run be given back, with
// the writes for it still under way.
func (m *machine) AdvanceToRelease(t *rapid.T) {
	m.world.advance(claim.DefaultReleaseAfter + time.Duration(rapid.IntRange(0, 20).Draw(t, "ms"))*time.Millisecond)
}

func (m *machine) Pause(*rapid.T) { m.node().paused = true }

func (m *machine) Resume(*rapid.T) {
	if n := m.node(); n.paused {
		n.resume()
	}
}

func (m *machine) Restart(*rapid.T) { m.node().restart() }

func (m *machine) Drain(*rapid.T) {
	n := m.node()
	n.draining = true
	n.deliver(func(h *claim.Home) []claim.Action { return h.Drain(m.world.now) })
}

func (m *machine) Outage(*rapid.T) { m.world.platform.down = !m.world.platform.down }

func (m *machine) Check(*rapid.T) { m.world.checkNotRun() }

// finish heals the world and checks that nothing is stuck: every call has its
// answer, and every key that never ran and that no dead process claimed runs.
func (m *machine) finish() {
	m.world.heal()
	for _, a := range m.world.asks {
		if a.ended.IsZero() {
			m.t.Fatalf("call %d of key %v has no answer", a.id, a.key.Fingerprint())
		}
	}
	m.world.checkNotRun()
	for _, key := range m.chosen {
		m.finishKey(key)
	}
}

func (m *machine) finishKey(key claim.Key) {
	history := m.world.history(key)
	mayRun := history.runs == 0 && !m.askedDead(history)
	n := m.node()
	a := m.world.ask(n, key, 3*time.Second)
	m.world.advance(time.Second)
	if n.draining && a.reason == call.ReasonDraining {
		return // another node decides on keys that this one does not know
	}
	if mayRun && a.outcome != call.Completed {
		m.t.Fatalf("key %v never ran, but ends %v %v", key.Fingerprint(), a.outcome, a.reason)
	}
	if a.outcome == call.NotRun {
		m.t.Fatalf("key %v is refused by a healthy system: %v", key.Fingerprint(), a.reason)
	}
}

// askedDead reports whether a process that is gone was asked for the key.
func (m *machine) askedDead(history *keyHistory) bool {
	alive := map[fleet.InstanceID]bool{}
	for _, n := range m.world.nodes {
		alive[n.id] = true
	}
	for _, a := range history.asks {
		if !alive[a.instance] {
			return true
		}
	}
	return false
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.finish()
		checkLinearizable(t, m.world)
	})
}
