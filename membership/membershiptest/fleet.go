package membershiptest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/rollout"
)

const (
	wheelMs        = 8192 // length of the timing wheel
	tickMs         = int(membership.TickInterval / time.Millisecond)
	platformMs     = 5           // duration of a read from the platform
	joinRetry      = time.Second // between two attempts of a node to join
	peersAtStart   = 3           // peers that a starting node pulls from with each tick
	maxSlowReplyMs = 4000        // longest additional delay of a slow reply
)

// Options configures a Fleet.
type Options struct {
	Nodes    int
	Domains  int // failure domains, assigned to nodes in turn
	Regions  int // assigned to failure domains in turn
	Services int // assigned to nodes in turn
	Seed     uint64
	// Joined makes all nodes know each other at the start. Otherwise each starts alone
	// and joins.
	Joined bool
	// Members and Rollout configure the tables.
	Members membership.Config
	Rollout rollout.Config
}

// Fleet is a set of nodes with their network and platform. Its fields may be changed
// between calls of Run.
type Fleet struct {
	Now      time.Time
	Nodes    []*Node
	Platform Platform

	// Delay returns the delay of a datagram or call between two nodes, without jitter.
	Delay func(from, to *Node) time.Duration
	// Jitter is the upper limit of the random delay that is added.
	Jitter time.Duration
	// Loss and Duplicate are the fractions of datagrams that are lost and duplicated.
	Loss      float64
	Duplicate float64
	// SeedObjects makes the nodes refresh the seed objects and join through them.
	SeedObjects bool
	// SlowReplies is the fraction of replies with a configuration that take up to
	// maxSlowReplyMs longer.
	SlowReplies float64
	// Partitioned reports whether nothing passes between two nodes; nil means never.
	Partitioned func(a, b *Node) bool
	// Check checks each offered document; nil accepts all.
	Check func([]byte) error
	// OnAccept is called when a node accepts a version, unless it is nil.
	OnAccept func(n *Node, version epoch.Version)

	options   Options
	rng       *rand.Rand
	events    *timingWheel
	byAddress map[string]int // index of the node
	restarts  int            // part of the ids of new instances
	elapsedMs int
}

// New returns a fleet whose nodes are running.
func New(o Options) *Fleet {
	f := &Fleet{
		Now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		Delay:     func(from, to *Node) time.Duration { return time.Millisecond },
		options:   o,
		rng:       rand.New(rand.NewPCG(o.Seed, 1)),
		events:    newTimingWheel(wheelMs),
		byAddress: map[string]int{},
		Platform:  Platform{seeds: map[string][]byte{}},
	}
	instances := make([]fleet.Instance, o.Nodes)
	for i := range instances {
		instances[i] = f.instance(i)
	}
	var base *membership.Base
	if o.Joined {
		base = membership.NewBase(instances)
	}
	domains := map[fleet.FailureDomain][]fleet.InstanceID{}
	for _, instance := range instances {
		domains[instance.FailureDomain] = append(domains[instance.FailureDomain], instance.ID)
	}
	for i, instance := range instances {
		f.Nodes = append(f.Nodes, &Node{index: i})
		f.byAddress[instance.PeerAddress] = i
		f.start(i, instance, base)
		if o.Joined {
			f.Nodes[i].Rollout.SetDomainMembers(f.Now, domains[instance.FailureDomain])
			f.Nodes[i].Rollout.SetFleetSize(o.Nodes)
			continue
		}
		f.Nodes[i].starting = true
	}
	return f
}

func (f *Fleet) instance(i int) fleet.Instance {
	domain := i % max(1, f.options.Domains)
	region := domain % max(1, f.options.Regions)
	return fleet.Instance{
		ID:            fleet.InstanceID(fmt.Sprintf("%08d-%04d-7000-8000-000000000000", i, f.restarts)),
		PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
		FailureDomain: fleet.FailureDomain(fmt.Sprintf("d%02d", domain)),
		Region:        fleet.Region(fmt.Sprintf("r%02d", region)),
		Service:       fmt.Sprintf("service-%03d", i%max(1, f.options.Services)),
		Slots:         70,
		State:         fleet.Ready,
	}
}

func (f *Fleet) start(i int, instance fleet.Instance, base *membership.Base) {
	n := f.Nodes[i]
	n.Instance = instance
	n.Running = true
	n.Paused = false
	n.reading = false
	n.joinAfter = f.Now
	n.buffered = nil
	seed := f.rng.Uint64()
	if base != nil {
		n.Members = membership.NewTableFrom(f.options.Members, instance, f.Now, seed, base)
	} else {
		n.Members = membership.NewTable(f.options.Members, instance, f.Now, seed)
	}
	n.Rollout = rollout.NewTable(f.options.Rollout, instance.ID, instance.FailureDomain, f.Now, seed)
}

// Run advances virtual time by d.
func (f *Fleet) Run(d time.Duration) {
	for range int(d / time.Millisecond) {
		f.step()
	}
}

// RunUntil advances virtual time in steps of half a TickInterval until done returns
// true, and returns the time that passed. It returns false if done is still false after
// limit.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := f.Now
	for f.Now.Sub(start) < limit {
		if done() {
			return f.Now.Sub(start), true
		}
		f.Run(membership.TickInterval / 2)
	}
	return limit, done()
}

func (f *Fleet) step() {
	f.Now = f.Now.Add(time.Millisecond)
	f.elapsedMs++
	for _, e := range f.events.step() {
		if e.run != nil {
			e.run()
			continue
		}
		f.deliver(e.datagram)
	}
	for i := f.elapsedMs % tickMs; i < len(f.Nodes); i += tickMs {
		if f.Nodes[i].active() {
			f.tick(f.Nodes[i])
		}
	}
}

func (f *Fleet) deliver(d datagram) {
	n := f.Nodes[d.to]
	if !n.Running {
		return
	}
	if n.Paused {
		if len(n.buffered) < maxBuffered {
			n.buffered = append(n.buffered, d)
		}
		return
	}
	n.BytesReceived += uint64(len(d.data) + headerBytes)
	n.PacketsReceived++
	out, _ := n.Members.Receive(f.Now, f.Nodes[d.from].Instance.PeerAddress, d.data)
	f.send(n, out)
}

func (f *Fleet) send(n *Node, messages []membership.Message) {
	for _, m := range messages {
		n.BytesSent += uint64(len(m.Data) + headerBytes)
		n.PacketsSent++
		to, ok := f.byAddress[m.To]
		if !ok || f.rng.Float64() < f.Loss || f.partitioned(n, f.Nodes[to]) {
			continue
		}
		e := event{datagram: datagram{from: n.index, to: to, data: m.Data}}
		f.events.add(f.delayMs(n, f.Nodes[to]), e)
		if f.Duplicate > 0 && f.rng.Float64() < f.Duplicate {
			f.events.add(f.delayMs(n, f.Nodes[to]), e)
		}
	}
}

func (f *Fleet) partitioned(a, b *Node) bool { return f.Partitioned != nil && f.Partitioned(a, b) }

func (f *Fleet) delayMs(from, to *Node) int {
	delay := f.Delay(from, to)
	if f.Jitter > 0 {
		delay += time.Duration(f.rng.Int64N(int64(f.Jitter)))
	}
	return int(delay / time.Millisecond)
}

// tick does the periodic work of one node's daemon.
func (f *Fleet) tick(n *Node) {
	f.send(n, n.Members.Tick(f.Now))
	for _, peer := range n.Members.NewerConfigPeers() {
		n.Rollout.RecordPeerVersion(f.Now, peer.Instance, peer.Address, peer.Version)
	}
	changes := n.Members.Changes()
	n.Changes += len(changes)
	if f.domainChanged(n, changes) {
		n.Rollout.SetDomainMembers(f.Now, n.Members.DomainMembers())
	}
	if len(changes) > 0 {
		n.Rollout.SetFleetSize(n.Members.Len())
	}
	if address, ok := n.Members.ExchangePeer(); ok {
		if peer, known := f.byAddress[address]; known {
			f.exchange(n.Members, n.index, peer)
		}
	}
	f.join(n)
	f.readPlatform(n)
	f.pullAtStart(n)
	f.refreshSeeds(n)
	for _, pull := range n.Rollout.Tick(f.Now) {
		f.pull(n, pull)
	}
}

func (f *Fleet) domainChanged(n *Node, changes []membership.Change) bool {
	for _, change := range changes {
		if change.Instance.FailureDomain == n.Instance.FailureDomain {
			return true
		}
	}
	return false
}
