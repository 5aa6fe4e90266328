package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/claim"
	"github.com/gypsumford/gypsumford/fleet"
)

// The benchmarks run in virtual time and report figures of the decisions, not
// of this machine. One way to the platform takes 1 to 3 ms.
const (
	benchOneWayMS = 3
	benchNodes    = 4
	callTimeout   = 2 * time.Second  // of one try
	patience      = 30 * time.Second // for which a caller repeats an order
)

// keyKind tells which keys the callers of a flow use.
type keyKind int

const (
	chosenKeys   keyKind = iota
	issuedKeys           // asked for with each order
	fallbackKeys         // chosen, and an issued one once the platform is out
)

var keyKinds = map[keyKind]string{chosenKeys: "chosen", issuedKeys: "issued", fallbackKeys: "fallback"}

// flow is a stream of orders whose callers repeat what was refused.
type flow struct {
	world  *world
	source *rand.Rand
	kind   keyKind
	orders []*order
}

// order is what became of one order.
type order struct {
	began    time.Time
	ended    time.Time
	refusals int
	lost     bool
	unknown  bool
	last     *ask
}

func newFlow(seed uint64, kind keyKind, config claim.Config) *flow {
	source := rand.New(rand.NewPCG(seed, seed))
	f := &flow{source: source, kind: kind}
	choose := func(_ string, n int) int { return source.IntN(n) }
	f.world = newWorld(0, config, choose, func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) })
	f.world.oneWayMS = benchOneWayMS
	f.world.handled = -1 << 40
	for i := range benchNodes {
		n := &node{world: f.world, number: i}
		n.start()
		f.world.nodes = append(f.world.nodes, n)
	}
	return f
}

// run lets orders begin at the rate per second for d.
func (f *flow) run(rate int, d time.Duration) {
	end := f.world.now.Add(d)
	for f.world.now.Before(end) {
		o := &order{began: f.world.now}
		f.orders = append(f.orders, o)
		f.begin(o)
		gap := f.source.ExpFloat64() * float64(time.Second) / float64(rate)
		f.world.advance(time.Duration(gap))
	}
}

func (f *flow) begin(o *order) {
	if f.kind == issuedKeys {
		f.tryIssued(o)
		return
	}
	f.tryChosen(o, randomKey(f.source, f.world.now))
}

func (f *flow) tryChosen(o *order, key claim.Key) {
	f.try(o, f.home(key.Shard()), key)
}

func (f *flow) tryIssued(o *order) {
	n := f.world.nodes[f.source.IntN(benchNodes)]
	key, err := claim.ParseKey(n.home.Issue(f.world.now, 1)[0])
	if err != nil {
		panic(err)
	}
	f.try(o, n, key)
}

func (f *flow) home(shard int) *node {
	var instances []fleet.Instance
	for _, n := range f.world.nodes {
		instances = append(instances, fleet.Instance{ID: n.id, Service: service, State: fleet.Ready})
	}
	home, _ := claim.HomeOf(service, shard, instances)
	i := slices.IndexFunc(f.world.nodes, func(n *node) bool { return n.id == home.ID })
	return f.world.nodes[i]
}

func (f *flow) try(o *order, n *node, key claim.Key) {
	timeout := min(callTimeout, patience-f.world.now.Sub(o.began))
	f.world.after(0, func() {
		a := f.world.ask(n, key, timeout)
		o.last = a
		a.done = func() { f.ended(o, a) }
		if !a.ended.IsZero() {
			f.ended(o, a)
		}
	})
}

// ended repeats a refused order as long as its caller is patient.
func (f *flow) ended(o *order, a *ask) {
	if !o.ended.IsZero() {
		return
	}
	if a.outcome != call.NotRun {
		o.ended = f.world.now
		o.unknown = a.outcome == call.Unknown
		return
	}
	o.refusals++
	if f.kind == fallbackKeys && a.reason == call.ReasonPlatform {
		f.tryIssued(o)
		return
	}
	pause := max(a.retry, 100*time.Millisecond)
	if f.world.now.Add(pause).Sub(o.began) >= patience {
		o.ended = f.world.now
		o.lost = true
		return
	}
	f.world.after(pause, func() { f.tryChosen(o, a.key) })
}

// BenchmarkOutage reports what becomes of the orders that begin while the
// platform is out, 20 a second.
func BenchmarkOutage(b *testing.B) {
	const rate = 20
	for _, length := range []time.Duration{500 * time.Millisecond, 5 * time.Second, time.Minute, 10 * time.Minute} {
		for kind, name := range keyKinds {
			for _, tolerance := range []time.Duration{time.Nanosecond, claim.DefaultOutageTolerance} {
				b.Run(fmt.Sprintf("%v/%s/tolerance=%v", length, name, tolerance), func(b *testing.B) {
					for range b.N {
						measureOutage(b, newFlow(1, kind, claim.Config{OutageTolerance: tolerance}), rate, length)
					}
				})
			}
		}
	}
}

func measureOutage(b *testing.B, f *flow, rate int, length time.Duration) {
	f.run(rate, 10*time.Second)
	f.world.platform.down = true
	before := len(f.orders)
	calls := f.world.platform.asked
	f.run(rate, length)
	calls = f.world.platform.asked - calls
	f.world.platform.down = false
	up := f.world.now
	during := f.orders[before:]
	f.run(rate, patience+10*time.Second)

	var refused, refusals, lost, unknown int
	var longest, back time.Duration
	for _, o := range during {
		refusals += o.refusals
		if o.refusals > 0 {
			refused++
		}
		if o.lost {
			lost++
			continue
		}
		if o.unknown {
			unknown++
		}
		longest = max(longest, o.ended.Sub(o.began))
	}
	for _, a := range f.world.asks {
		if a.outcome == call.NotRun && a.ended.After(up) {
			back = max(back, a.ended.Sub(up))
		}
	}
	b.ReportMetric(float64(len(during)), "orders")
	b.ReportMetric(float64(refused), "refused-orders")
	b.ReportMetric(float64(refusals), "refusals")
	b.ReportMetric(float64(lost), "lost-orders")
	b.ReportMetric(float64(unknown), "unknown-orders")
	b.ReportMetric(longest.Seconds(), "longest-s")
	b.ReportMetric(back.Seconds(), "last-refusal-after-s")
	b.ReportMetric(float64(calls)/length.Seconds(), "platform-calls/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkClaim reports what a claim of a chosen key costs at several rates of
// orders of one service.
func BenchmarkClaim(b *testing.B) {
	for _, rate := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("orders/s=%d", rate), func(b *testing.B) {
			for range b.N {
				measureClaims(b, newFlow(1, chosenKeys, claim.Config{}), rate)
			}
		})
	}
}

func measureClaims(b *testing.B, f *flow, rate int) {
	length := max(20*time.Second, time.Duration(1000/rate)*time.Second)
	f.run(rate, length/4)
	before := f.stats()
	asks := len(f.world.asks)
	f.run(rate, length)
	after := f.stats()
	f.world.advance(callTimeout)

	var waits []time.Duration
	for _, a := range f.world.asks[asks:] {
		if a.ran {
			waits = append(waits, a.handed.Sub(a.asked))
		}
	}
	slices.Sort(waits)
	millis := func(share float64) float64 {
		return float64(waits[int(share*float64(len(waits)-1))].Microseconds()) / 1000
	}
	writes := float64(after.Writes - before.Writes)
	b.ReportMetric(millis(0.5), "p50-ms")
	b.ReportMetric(millis(0.99), "p99-ms")
	b.ReportMetric(writes/length.Seconds(), "writes/s")
	b.ReportMetric(float64(after.Reads-before.Reads)/length.Seconds(), "reads/s")
	b.ReportMetric(float64(after.WrittenClaims-before.WrittenClaims)/writes, "claims/write")
	b.ReportMetric(float64(after.WrittenBytes-before.WrittenBytes)/writes/1024, "KiB/write")
	b.ReportMetric(0, "ns/op")
}

// stats sums the counts of all homes.
func (f *flow) stats() claim.Stats {
	var sum claim.Stats
	for _, n := range f.world.nodes {
		s := n.home.Stats()
		sum.Writes += s.Writes
		sum.Reads += s.Reads
		sum.WrittenClaims += s.WrittenClaims
		sum.WrittenBytes += s.WrittenBytes
	}
	return sum
}

// BenchmarkHome reports the processor time and memory that one claim takes at a
// home whose shard holds so many claims, from Ask to the answer.
func BenchmarkHome(b *testing.B) {
	for _, held := range []int{0, 600, 6000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			h := claim.NewHome(claim.Config{CommitBurst: 1 << 30}, "a", service, epoch)
			source := rand.New(rand.NewPCG(1, 1))
			platform := &fakePlatform{objects: map[int]object{}}
			answer := &claim.Answer{Status: 200, Body: make([]byte, 200)}
			next := claim.WaiterID(0)
			claimOne := func() {
				next++
				actions := h.Ask(epoch, next, shardKey(source, epoch), epoch.Add(time.Second))
				for len(actions) > 0 {
					actions = carryOut(h, platform, actions[0], answer)
				}
			}
			for range held {
				claimOne()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range min(b.N, claim.MaxEntries-held) {
				claimOne()
			}
		})
	}
}

// carryOut does what the home asks for at once and without faults.
func carryOut(h *claim.Home, p *fakePlatform, a claim.Action, answer *claim.Answer) []claim.Action {
	switch a.Kind {
	case claim.Read:
		o := p.objects[a.Shard]
		return h.ReadDone(epoch, a.Shard, o.version, o.value, claim.ReadOK)
	case claim.Write:
		result, version := p.put(a)
		return h.WriteDone(epoch, a.Shard, a.Token, result, version)
	case claim.Run:
		return h.Ran(epoch, a.Key, claim.RunResult{Outcome: call.Completed, Answer: answer})
	}
	return nil
}
