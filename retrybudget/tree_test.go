package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/internal/virtual"
)

// The tests of this file simulate a call tree whose narrowest service rejects a share of what
// arrives, in virtual time. Root requests of four kinds arrive at many entries; each makes its
// calls of the narrow service one after the other, from nodes beside the targets above it, and
// is whole when all of its calls are accepted. The kind with one call is sent by the entry
// itself, and one kind doesn't need the service.

// rootKind is one kind of root request.
type rootKind struct {
	calls    int
	priority int
	perS     float64
	direct   bool // the entry itself sends the only call

	requests, admitted, whole, failed int // that arrived while the service rejects
}

// treeOptions are the parameters of a simulation.
type treeOptions struct {
	seed             uint64
	entries, callers int // entry nodes, and nodes beside the targets that call the service
	scale            float64
	rejected         float64       // share of arrivals while the trouble lasts
	from, length     time.Duration // of the trouble
	end              time.Duration // of the simulation
	admitsAll        bool          // entries refuse nothing
	pools            int           // number of budgets that the calls are spread over; 0 is one a node
	config           Config
}

// treeSimulation is the narrow service with the nodes above it.
type treeSimulation struct {
	*virtual.Clock
	treeOptions
	random  *rand.Rand
	kinds   []*rootKind
	nodes   []*treeNode // entries first
	shared  []*Budget
	arrived []sentCall // requests for the narrow service and retries, in order of time
}

// treeNode is the state of one node.
type treeNode struct {
	budget     *Budget // of the node's own calls, where none is shared
	rejections *Rejections
	admission  *Admission
}

// sentCall is one arrival at the narrow service.
type sentCall struct {
	at      time.Duration
	isRetry bool
}

const (
	narrow       = "narrow"
	treeMaxSends = 16
	callTime     = 20 * time.Millisecond // of an accepted call
	rejectTime   = 3 * time.Millisecond  // until a rejection is known
)

func newTree(o treeOptions) *treeSimulation {
	sim := &treeSimulation{
		Clock: virtual.NewClock(start), treeOptions: o, random: rand.New(rand.NewPCG(o.seed, 3)),
		kinds: []*rootKind{
			{calls: 1, priority: 0, perS: 30 * o.scale, direct: true},
			{calls: 8, priority: 1, perS: 40 * o.scale},
			{calls: 4, priority: 2, perS: 110 * o.scale},
			{calls: 0, priority: 2, perS: 60 * o.scale},
		},
	}
	for range o.pools {
		sim.shared = append(sim.shared, New(o.config))
	}
	for range o.entries + o.callers {
		n := &treeNode{budget: New(o.config), rejections: NewRejections()}
		n.admission = NewAdmission(o.config, n.rejections)
		sim.nodes = append(sim.nodes, n)
	}
	return sim
}

func (sim *treeSimulation) elapsed() time.Duration { return sim.Now().Sub(start) }

func (sim *treeSimulation) inTrouble() bool {
	t := sim.elapsed()
	return t >= sim.from && t < sim.from+sim.length
}

// sharers is the number of nodes that the slack is divided among.
func (sim *treeSimulation) sharers() int {
	if len(sim.shared) > 0 {
		return len(sim.shared)
	}
	return len(sim.nodes)
}

// call makes one call of the narrow service from the node, and again while it is rejected and
// the budget allows it.
func (sim *treeSimulation) call(n *treeNode, i Importance, done func(accepted bool)) {
	budget := n.budget
	if len(sim.shared) > 0 {
		budget = sim.shared[sim.random.IntN(len(sim.shared))]
	}
	budget.RecordRequest(sim.Now(), narrow)
	var send func(sends int)
	send = func(sends int) {
		if len(sim.shared) > 0 {
			budget = sim.shared[sim.random.IntN(len(sim.shared))]
		}
		if sends > 0 && (sends >= treeMaxSends || !budget.AllowRetry(sim.Now(), sim.sharers(), i, []Charge{{Service: narrow, Requests: 1}})) {
			n.rejections.RecordArrival(sim.Now(), narrow, true)
			done(false)
			return
		}
		sim.arrived = append(sim.arrived, sentCall{sim.elapsed(), sends > 0})
		isRejected := sim.inTrouble() && sim.random.Float64() < sim.rejected
		n.rejections.RecordArrival(sim.Now(), narrow, isRejected)
		if isRejected {
			sim.After(rejectTime, func() { send(sends + 1) })
			return
		}
		sim.After(callTime, func() { done(true) })
	}
	send(0)
}

func (sim *treeSimulation) admit(entry *treeNode, k *rootKind, i Importance) bool {
	calls := []Calls{{Service: narrow, Requests: float64(k.calls), Direct: k.direct}}
	carried := entry.admission.Arrive(sim.Now(), len(sim.nodes), i, 1, calls)
	if !sim.admitsAll && !k.direct && !carried.Admits(i) {
		return false
	}
	entry.admission.Admitted(sim.Now(), calls)
	return true
}

func (sim *treeSimulation) request(k *rootKind) {
	entry := sim.nodes[sim.random.IntN(sim.entries)]
	i := Importance{Priority: k.priority, Rank: uint8(sim.random.Uint32())}
	counted := sim.inTrouble()
	if counted {
		k.requests++
	}
	if k.calls > 0 && !sim.admit(entry, k, i) {
		return
	}
	if counted {
		k.admitted++
	}
	remaining := k.calls
	caller := sim.nodes[sim.entries+sim.random.IntN(sim.callers)]
	if k.direct {
		caller = entry
	}
	var next func(accepted bool)
	next = func(accepted bool) {
		if caller != entry {
			share, observedAt := caller.rejections.Share(sim.Now(), narrow)
			entry.rejections.Observe(narrow, observedAt, share)
		}
		switch {
		case !accepted && counted:
			k.failed++
		case !accepted:
		case remaining > 0:
			remaining--
			sim.call(caller, i, next)
		case counted:
			k.whole++
		}
	}
	sim.After(50*time.Millisecond, func() { next(true) })
}

func (sim *treeSimulation) run() {
	for _, k := range sim.kinds {
		var arrive func()
		arrive = func() {
			sim.request(k)
			sim.After(time.Duration(sim.random.ExpFloat64()/k.perS*float64(time.Second)), arrive)
		}
		sim.After(time.Duration(sim.random.ExpFloat64()/k.perS*float64(time.Second)), arrive)
	}
	sim.RunUntil(start.Add(sim.end))
}

// carriable returns the largest number of calls of whole requests that the budget can carry,
// by expectation: each needs p/(1-p) retries.
func (sim *treeSimulation) carriable() float64 {
	before := 0.0
	for _, a := range sim.arrived {
		if !a.isRetry && a.at >= sim.from-sim.config.Window && a.at < sim.from {
			before++
		}
	}
	return (sim.config.Ratio*before + sim.config.Slack) * (1 - sim.rejected) / sim.rejected
}

// carried returns the number of calls of the whole requests.
func (sim *treeSimulation) carried() float64 {
	sum := 0.0
	for _, k := range sim.kinds {
		sum += float64(k.whole * k.calls)
	}
	return sum
}

// worstWindow returns the largest ratio of retries to those that operators allow, over all
// windows that begin with a retry.
func (sim *treeSimulation) worstWindow() float64 {
	const step = 50 * time.Millisecond
	steps := int(sim.end/step) + 1
	requests, retries := make([]float64, steps+1), make([]float64, steps+1) // prefix sums
	for _, a := range sim.arrived {
		at := int(a.at / step)
		if a.isRetry {
			retries[at+1]++
		} else {
			requests[at+1]++
		}
	}
	for i := range steps {
		requests[i+1] += requests[i]
		retries[i+1] += retries[i]
	}
	between := func(sums []float64, from, to int) float64 {
		return sums[min(max(to, 0), steps)] - sums[min(max(from, 0), steps)]
	}
	window := int(sim.config.Window / step)
	worst := 0.0
	for from := range steps {
		sent := max(between(requests, from, from+window), between(requests, from-window/2, from+window/2), between(requests, from-window, from))
		worst = max(worst, between(retries, from, from+window)/(sim.config.Ratio*sent+sim.config.Slack))
	}
	return worst
}

// usualTree are the parameters of a service of a deployment with 88 instances.
func usualTree(seed uint64) treeOptions {
	return treeOptions{
		seed: seed, entries: 68, callers: 20, scale: 2, rejected: 0.55, from: 20 * time.Second, length: 8 * time.Second,
		end: 40 * time.Second, config: Config{Ratio: 0.2, Slack: 118, Window: 10 * time.Second},
	}
}

// share returns the fraction of the kind's requests that were whole.
func (k *rootKind) share() float64 { return float64(k.whole) / float64(max(k.requests, 1)) }

// Guards against work that is done in vain beside a service that rejects most calls: entries
// admitted all requests, and four in five of those with several calls failed after their work.
// Guards also against retries that one node keeps though another one needs them.
func TestWholeRequestsUnderRejection(t *testing.T) {
	const seeds = 6
	run := func(change func(*treeOptions)) (carried, failed float64, worst float64, shares [4]float64) {
		for seed := range uint64(seeds) {
			o := usualTree(seed)
			change(&o)
			sim := newTree(o)
			sim.run()
			carried += sim.carried() / sim.carriable() / seeds
			admitted, lost := 0, 0
			for i, k := range sim.kinds {
				shares[i] += k.share() / seeds
				if k.calls > 1 {
					admitted += k.requests
					lost += k.failed
				}
			}
			failed += float64(lost) / float64(admitted) / seeds
			worst = max(worst, sim.worstWindow())
		}
		t.Logf("carried %.2f, failed %.3f, worst window %.2f, whole by kind %.2f", carried, failed, worst, shares)
		return carried, failed, worst, shares
	}
	Convey("Without admission hardly any request that fails is refused before its work", t, func() {
		_, failed, worst, _ := run(func(o *treeOptions) { o.admitsAll = true; o.pools = 10 })
		So(failed, ShouldBeGreaterThan, 0.7)
		So(worst, ShouldBeLessThan, 1)
	})
	Convey("With a budget for each node that calls, requests of one call are served less than those of many", t, func() {
		_, _, _, shares := run(func(*treeOptions) {})
		So(shares[0], ShouldBeLessThan, 0.7)
	})
	for name, change := range map[string]func(o *treeOptions) (minCarried float64){
		"ten targets":                             func(o *treeOptions) float64 { o.pools = 10; return 0.8 },
		"four targets":                            func(o *treeOptions) float64 { o.pools = 4; return 0.8 },
		"thirty of a hundred rejected":            func(o *treeOptions) float64 { o.pools = 10; o.rejected = 0.3; return 0.8 },
		"a third of the load and nodes":           func(o *treeOptions) float64 { o.pools = 4; o.scale = 0.7; o.entries, o.callers = 24, 8; return 0.75 },
		"rejections begin soon after the restart": func(o *treeOptions) float64 { o.pools = 10; o.from = 11 * time.Second; return 0.7 },
	} {
		Convey("Nearly all that the budget carries is whole, and little fails: "+name, t, func() {
			minCarried := 0.0
			carried, failed, worst, shares := run(func(o *treeOptions) { minCarried = change(o) })
			So(carried, ShouldBeGreaterThan, minCarried)
			So(failed, ShouldBeLessThan, 0.04)
			So(worst, ShouldBeLessThan, 1)
			So(shares[0], ShouldBeGreaterThan, shares[1]-0.05)
			So(shares[1], ShouldBeGreaterThan, shares[2]-0.05)
			So(shares[3], ShouldBeGreaterThan, 0.999)
		})
	}
}
