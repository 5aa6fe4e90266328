package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/internal/virtual"
	"github.com/gypsumford/gypsumford/route"
)

const (
	testBound = 5 * time.Second
	// graceTime is how long a node may refuse after it has come into touch with a store that
	// works. It may see the epoch of the store only then.
	graceTime   = settleTime + 3*time.Second
	readTimeout = time.Second
	allGroups   = 3
	testSeeds   = 12
	applyTime   = 2500 * time.Millisecond
)

// fleet is a simulated store with its nodes. Version v of the configuration accepts the keys from v
// on, so each version withdraws a key.
type fleet struct {
	clock   *virtual.Clock
	random  *rand.Rand
	start   time.Time
	nodes   []*testNode
	acked   map[route.Version]time.Time
	version route.Version // in the store
	newest  route.Version // that was ever acknowledged
	epoch   epoch.ID
	// downUntil, settledAt and slowUntil describe the store: unavailable, restored and slow.
	downUntil, settledAt, slowUntil time.Time
	partedUntil                     time.Time // the groups can't reach each other
	reads, accepted, refused        int
	refusedInTouch                  int
	checks, late                    int // of configurations in force, on nodes in touch
	violations                      []string
}

type testNode struct {
	f           *fleet
	tracker     *Tracker
	id, group   int
	inForce     route.Version
	rate        float64 // of its boot clock
	process     int
	pausedUntil time.Time
	steadyLost  time.Duration // in suspends
	rejected    time.Time     // until when the store rejects it
	isolated    time.Time     // until when nobody reaches it
	inTouch     time.Time     // since when; zero if it isn't
	epoch       epoch.ID
	isWatcher   bool
	watching    bool // its connection to the store works
}

func (f *fleet) now() time.Time { return f.clock.Now() }

func (f *fleet) draw(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d) + 1))
}

// boot returns the node's boot clock, whose rate may be off by 0.05%.
func (n *testNode) boot() time.Duration {
	return time.Duration(float64(n.f.now().Sub(n.f.start))*n.rate) + time.Duration(n.id)*time.Hour
}

// after runs the function on the node, unless its process has ended. A paused node runs it when it
// goes on; timers stand still in a suspend.
func (n *testNode) after(d time.Duration, isTimer bool, run func()) {
	process, lost := n.process, n.steadyLost
	var fire func()
	fire = func() {
		switch missing := n.steadyLost - lost; {
		case process != n.process:
		case isTimer && missing > 0:
			lost = n.steadyLost
			n.f.clock.After(missing, fire)
		case n.f.now().Before(n.pausedUntil):
			n.f.clock.After(n.pausedUntil.Sub(n.f.now()), fire)
		default:
			run()
		}
	}
	n.f.clock.After(d, fire)
}

func (n *testNode) reaches(m *testNode) bool {
	now := n.f.now()
	return !now.Before(n.isolated) && !now.Before(m.isolated) && (n.group == m.group || !now.Before(n.f.partedUntil))
}

func (n *testNode) reachesStore() bool {
	now := n.f.now()
	return !now.Before(n.isolated) && !now.Before(n.rejected) && !now.Before(n.f.downUntil)
}

// deliver runs the function at the receiver after the network's latency. A cut holds the bytes up
// and then either delivers or drops them.
func (n *testNode) deliver(to *testNode, run func()) {
	var try func(tries int) func()
	try = func(tries int) func() {
		return func() {
			if n.reaches(to) {
				run()
			} else if tries < 8 {
				to.after(500*time.Millisecond, false, try(tries+1))
			}
		}
	}
	to.after(n.f.draw(2*time.Millisecond), false, try(0))
}

// connected returns a peer that the node is connected to: after a while one that it reaches.
func (n *testNode) connected() *testNode {
	var to *testNode
	for range 20 {
		if to = n.f.nodes[n.f.random.IntN(len(n.f.nodes))]; n.reaches(to) {
			break
		}
	}
	return to
}

// ask sends a call or a ping, which the peer answers after the given time.
func (n *testNode) ask(to *testNode, takes time.Duration) {
	f, asked := n.f, n.boot()
	n.deliver(to, func() {
		to.after(takes, false, func() {
			age, proven := to.tracker.Age(to.boot())
			v := to.inForce
			to.deliver(n, func() {
				n.tracker.PeerAnswered(n.boot(), asked, v, age, proven)
				if v > n.inForce {
					n.after(f.draw(30*time.Millisecond), true, func() { n.pull(to) })
				}
				n.offer()
			})
		})
	})
}

// pull fetches the peer's configuration.
func (n *testNode) pull(from *testNode) {
	if n.reaches(from) && from.inForce > n.inForce {
		n.apply(from.inForce)
	}
}

func (n *testNode) apply(v route.Version) {
	if v > n.inForce {
		n.inForce = v
		n.tracker.InForce(n.boot(), v)
	}
}

func (n *testNode) offer() {
	if !n.tracker.TakeOffer() {
		return
	}
	age, _ := n.tracker.Age(n.boot())
	for range 4 {
		to := n.connected()
		n.deliver(to, func() {
			if to.tracker.IsUseful(to.boot(), age) {
				to.ask(n, 0)
			}
		})
	}
}

// read reads the configuration. The store may be slow, lose the response or be unavailable.
func (n *testNode) read(done func(ok bool)) {
	f, sent, latency := n.f, n.boot(), 5*time.Millisecond
	f.reads++
	if f.now().Before(f.slowUntil) {
		latency = readTimeout
	}
	there, back := f.draw(latency), f.draw(latency)
	process, isLost := n.process, f.random.IntN(50) == 0
	f.clock.After(there, func() {
		v, read := f.version, f.epoch
		if process != n.process {
			return
		}
		if !n.reachesStore() || isLost || there+back > readTimeout {
			n.after(max(readTimeout-there, 0), true, func() {
				n.tracker.ReadFailed()
				done(false)
			})
			return
		}
		n.after(back, false, func() {
			if read < n.epoch {
				n.tracker.ReadFailed()
				done(false)
				return
			}
			n.epoch = read
			n.tracker.StoreRead(n.boot(), sent, v, read)
			n.apply(v)
			n.offer()
			done(true)
		})
	})
}

func (n *testNode) poll() { n.read(func(bool) {}) }

// follow reads until a read succeeds, and then watches until the connection breaks.
func (n *testNode) follow(backoff time.Duration) {
	n.watching = false
	n.read(func(ok bool) {
		if ok {
			n.watching = true
			n.watch()
			return
		}
		limit := min(max(time.Duration(len(n.f.nodes))*50*time.Millisecond, time.Second), 4*time.Second)
		n.after(backoff/2+n.f.draw(backoff), true, func() { n.follow(min(2*backoff, limit)) })
	})
}

func (n *testNode) watch() {
	if n.reachesStore() {
		if n.isWatcher || n.tracker.NeedsWatch(n.boot()) {
			n.apply(n.f.version)
		}
		n.after(200*time.Millisecond, true, n.watch)
	} else {
		n.follow(100 * time.Millisecond)
	}
}

// begin starts a process of the node.
func (n *testNode) begin(firstStart bool) {
	f := n.f
	n.process++
	n.inForce, n.epoch, n.inTouch = 0, 0, time.Time{}
	n.tracker = NewTracker(testBound, firstStart, f.random.Uint64())
	n.follow(100 * time.Millisecond)
	for range 2 {
		n.ask(n.connected(), 0)
	}
	repeat := func(wait func() time.Duration, run func()) {
		var loop func()
		loop = func() {
			run()
			n.after(wait(), true, loop)
		}
		n.after(wait(), true, loop)
	}
	instances := len(f.nodes)
	repeat(func() time.Duration { return f.draw(2 * time.Duration(instances) * 400 * time.Millisecond) }, n.poll)
	repeat(func() time.Duration { return f.draw(200 * time.Millisecond) }, n.request)
	repeat(func() time.Duration { return f.draw(2 * time.Second) }, func() { // calls
		n.ask(n.connected(), f.draw(time.Second))
	})
	var step func()
	step = func() {
		action := n.tracker.Next(n.boot(), instances, !n.watching)
		if action.Ask {
			for range 3 {
				n.ask(n.connected(), 0)
			}
		}
		if action.Read {
			n.poll()
		}
		n.after(action.Wait, true, step)
	}
	n.after(0, true, step)
}

// request checks what the node answers to a request with a key.
func (n *testNode) request() {
	f := n.f
	key := f.newest - min(f.newest, route.Version(f.random.IntN(4)))
	if !n.inTouch.IsZero() && f.now().Sub(n.inTouch) > graceTime {
		f.checks++
		if at, ok := f.acked[n.inForce+1]; ok && f.now().Sub(at) > applyTime && f.version == f.newest {
			f.late++
		}
	}
	fresh := n.tracker.Fresh(n.boot(), n.inForce)
	if !fresh && n.inForce == 0 {
		return // it has no configuration
	}
	if !fresh {
		f.refused++
		if !n.inTouch.IsZero() && f.now().Sub(n.inTouch) > graceTime {
			f.refusedInTouch++
		}
		return
	}
	if key < n.inForce {
		return
	}
	f.accepted++
	for v := key + 1; v <= f.newest; v++ {
		if at, ok := f.acked[v]; ok && f.now().Sub(at) > testBound {
			f.violations = append(f.violations, fmt.Sprintf("node %d accepted key %d by version %d, %v after version %d withdrew it",
				n.id, key, n.inForce, f.now().Sub(at), v))
		}
	}
}

// observeTouch records which nodes reach a store that works, directly or through others.
func (f *fleet) observeTouch() {
	works := !f.now().Before(f.settledAt) && !f.now().Before(f.slowUntil)
	reached := map[int]bool{}
	available := func(n *testNode) bool { return !f.now().Before(n.pausedUntil) && !f.now().Before(n.isolated) }
	for _, n := range f.nodes {
		if works && available(n) && n.reachesStore() {
			reached[n.group] = true
		}
	}
	for _, n := range f.nodes {
		isReached := reached[n.group] || len(reached) > 0 && !f.now().Before(f.partedUntil)
		if !isReached || !available(n) {
			n.inTouch = time.Time{}
		} else if n.inTouch.IsZero() {
			n.inTouch = f.now()
		}
	}
	f.clock.After(50*time.Millisecond, f.observeTouch)
}

// configure writes the next version, and sometimes restores the store from a copy.
func (f *fleet) configure() {
	f.clock.After(time.Second+f.draw(5*time.Second), f.configure)
	if f.now().Before(f.downUntil) || f.version < f.newest {
		return
	}
	f.newest++
	f.version = f.newest
	written := f.newest
	f.clock.After(f.draw(100*time.Millisecond), func() { f.acked[written] = f.now() })
}

// restore brings the store back from a copy. The operators write the newest version again some
// seconds later.
func (f *fleet) restore() {
	f.downUntil = f.now().Add(f.draw(8 * time.Second))
	f.clock.After(f.downUntil.Sub(f.now()), func() {
		f.epoch++
		f.version -= min(f.version-1, route.Version(f.random.IntN(4)))
		f.settledAt = f.now().Add(settleTime + time.Second)
		f.clock.After(500*time.Millisecond+f.draw(4*time.Second), func() { f.version = f.newest })
	})
}

// disturb begins one fault, and another one later.
func (f *fleet) disturb() {
	f.clock.After(f.draw(3*time.Second), f.disturb)
	until := func() time.Time { return f.now().Add(f.draw(12 * time.Second)) }
	some := func(change func(n *testNode)) {
		share := f.random.Float64()
		for _, n := range f.nodes {
			if f.random.Float64() < share {
				change(n)
			}
		}
	}
	switch f.random.IntN(9) {
	case 0:
		f.downUntil = until()
	case 1:
		f.slowUntil = until()
	case 2:
		f.partedUntil = until()
		some(func(n *testNode) { n.group = f.random.IntN(allGroups) })
	case 3:
		some(func(n *testNode) { n.rejected = until() })
	case 4:
		some(func(n *testNode) { n.isolated = until() })
	case 5:
		some(func(n *testNode) { n.pausedUntil = until() })
	case 6: // a suspend, in which the steady clock stands still
		some(func(n *testNode) {
			if f.now().Before(n.pausedUntil) {
				return
			}
			n.pausedUntil = until()
			n.steadyLost += n.pausedUntil.Sub(f.now())
		})
	case 7:
		some(func(n *testNode) {
			n.pausedUntil = f.now()
			n.begin(false)
		})
	case 8:
		if f.version == f.newest && !f.now().Before(f.settledAt) {
			f.restore()
		}
	}
}

// play simulates a fleet and returns it.
func play(seed uint64, nodes int, disturbed bool) *fleet {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := &fleet{
		clock: virtual.NewClock(start), random: rand.New(rand.NewPCG(seed, 1)), start: start,
		acked: map[route.Version]time.Time{1: start}, version: 1, newest: 1, epoch: 1,
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &testNode{f: f, id: i, group: i % allGroups, rate: 1 + (f.random.Float64()-0.5)/1000})
	}
	var instances []Instance
	for _, n := range f.nodes {
		instances = append(instances, Instance{fmt.Sprint(n.id), fmt.Sprint(n.id % allGroups)})
	}
	for i, n := range f.nodes {
		n.isWatcher = IsWatcher(instances[i], instances)
		n.tracker = NewTracker(testBound, true, 0)
	}
	for _, n := range f.nodes {
		n.begin(true)
	}
	f.observeTouch()
	f.clock.After(5*time.Second, f.configure)
	if disturbed {
		f.clock.After(5*time.Second, f.disturb)
	}
	f.clock.RunUntil(start.Add(90 * time.Second))
	return f
}

// Guards against a key that is accepted later than the bound after it was withdrawn, against nodes
// that refuse although they are in touch with a store that works, and against configurations
// that come into force late as only some nodes wait for them.
func TestWithdrawnKeysAreRefusedInTime(t *testing.T) {
	accepted, checks, late := 0, 0, 0
	for seed := range uint64(testSeeds) {
		f := play(seed, 20+int(seed%4)*60, true)
		accepted, checks, late = accepted+f.accepted, checks+f.checks, late+f.late
		for _, v := range f.violations[:min(len(f.violations), 3)] {
			t.Errorf("seed %d: %s", seed, v)
		}
		if f.refusedInTouch > 0 {
			t.Errorf("seed %d: %d requests were refused by nodes in touch with the store; %d accepted, %d refused", seed, f.refusedInTouch, f.accepted, f.refused)
		}
	}
	if late > 0 || checks == 0 {
		t.Errorf("%d of %d times a configuration that had been acknowledged for %v was not in force on a node in touch", late, checks, applyTime)
	}
	if accepted == 0 {
		t.Error("no request was accepted")
	}
}

// Guards against proofs that a calm fleet doesn't keep fresh, or only with many reads.
func TestCalmFleetKeepsItsProof(t *testing.T) {
	for _, nodes := range []int{1, 2, 30, 88, 300} {
		f := play(7, nodes, false)
		if f.refused > 0 || len(f.violations) > 0 {
			t.Errorf("%d nodes: %d requests refused, violations %v", nodes, f.refused, f.violations)
		}
		polls := 90 * 1000 / 400 * 2
		if f.reads > polls+3*nodes {
			t.Errorf("%d nodes: %d reads in 90 s", nodes, f.reads)
		}
		t.Logf("%d nodes: %d reads, %d accepted", nodes, f.reads, f.accepted)
	}
}
