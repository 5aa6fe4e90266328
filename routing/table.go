package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
)

// Table chooses targets for one node.
type Table struct {
	cfg      Config
	domain   fleet.FailureDomain
	region   fleet.Region
	seed     uint64
	random   *rand.Rand
	services map[string]*service
	targets  map[fleet.InstanceID]*target
}

// NewTable returns an empty table for a node in this failure domain. The seed
// decides which subset of many instances is used, and all chance.
func NewTable(cfg Config, domain fleet.FailureDomain, region fleet.Region, seed uint64) *Table {
	if cfg.MaxTargets <= 0 {
		cfg.MaxTargets = DefaultMaxTargets
	}
	return &Table{
		cfg: cfg, domain: domain, region: region, seed: seed,
		random:   rand.New(rand.NewPCG(seed, 0)),
		services: make(map[string]*service),
		targets:  make(map[fleet.InstanceID]*target),
	}
}

// service returns the named service, or nil when the table is full.
func (t *Table) service(name string) *service {
	if s, ok := t.services[name]; ok {
		return s
	}
	if len(t.services) >= MaxServices {
		return nil
	}
	s := newService(name)
	t.services[name] = s
	return s
}

// SetService sets the rules of one service.
func (t *Table) SetService(name string, cfg ServiceConfig) {
	if s := t.service(name); s != nil {
		s.config = cfg
	}
}

// SetInstances replaces the instances of a service. What is known of those that
// stay is kept. Instances that take no calls are left out.
func (t *Table) SetInstances(now time.Time, name string, list []fleet.Instance) {
	s := t.service(name)
	if s == nil {
		return
	}
	chosen := t.subset(name, list)
	old := make(map[fleet.InstanceID]*target)
	for tier := range s.tiers {
		for _, known := range s.tiers[tier] {
			old[known.instance.ID] = known
			delete(t.targets, known.instance.ID)
		}
		s.tiers[tier] = s.tiers[tier][:0]
	}
	s.inFlight = 0
	s.slots = 0
	s.slow = 0
	s.targets = len(chosen)
	s.slowness = 0
	for _, instance := range chosen {
		known, ok := old[instance.ID]
		if !ok {
			known = &target{service: s, slowness: 1}
			if s.known && s.config.ColdStart > 0 {
				known.coldSince = now
			}
		}
		known.instance = instance
		t.targets[instance.ID] = known
		tier := t.tierOf(instance)
		s.tiers[tier] = append(s.tiers[tier], known)
		s.inFlight += known.inFlight
		s.slowness += known.slowness
		if known.slow {
			s.slow++
		}
		s.slots += s.slotsOf(instance)
	}
	s.known = s.known || len(chosen) > 0
}

func (s *service) slotsOf(instance fleet.Instance) int {
	if instance.Slots > 0 {
		return instance.Slots
	}
	return s.config.Slots
}

func (t *Table) tierOf(instance fleet.Instance) int {
	switch {
	case instance.FailureDomain == t.domain:
		return tierDomain
	case instance.Region == t.region:
		return tierRegion
	default:
		return tierRest
	}
}

// candidate is an instance that may become part of the subset.
type candidate struct {
	instance fleet.Instance
	tier     int
	order    uint64
}

// subset returns the instances that are sent to. Of many, each tier gets half of
// the places that the closer ones left, in an order that only this node's seed
// and the instance decide; so a change of the list changes little.
func (t *Table) subset(name string, list []fleet.Instance) []fleet.Instance {
	candidates := make([]candidate, 0, len(list))
	for _, instance := range list {
		if instance.Service != name || !instance.State.Takes() {
			continue
		}
		order := mix(xxhash.Sum64String(string(instance.ID)) ^ t.seed)
		candidates = append(candidates, candidate{instance, t.tierOf(instance), order})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if byTier := cmp.Compare(a.tier, b.tier); byTier != 0 {
			return byTier
		}
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	if len(candidates) > t.cfg.MaxTargets {
		candidates = t.bound(candidates)
	}
	chosen := make([]fleet.Instance, len(candidates))
	for i, c := range candidates {
		chosen[i] = c.instance
	}
	return chosen
}

// bound reduces sorted candidates to MaxTargets.
func (t *Table) bound(candidates []candidate) []candidate {
	var counts [tierCount]int
	for _, c := range candidates {
		counts[c.tier]++
	}
	var places [tierCount]int
	left := t.cfg.MaxTargets
	for tier := range places {
		places[tier] = min(counts[tier], (left+1)/2)
		left -= places[tier]
	}
	for tier := range places {
		more := min(left, counts[tier]-places[tier])
		places[tier] += more
		left -= more
	}
	picked := make([]candidate, 0, t.cfg.MaxTargets)
	for _, c := range candidates {
		if places[c.tier] > 0 {
			places[c.tier]--
			picked = append(picked, c)
		}
	}
	return picked
}

// mix spreads a hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Choose returns the instance that a call should be sent to. It returns false
// when no instance can take it.
func (t *Table) Choose(now time.Time, name string, ask Ask) (fleet.Instance, bool) {
	s, ok := t.services[name]
	if !ok {
		return fleet.Instance{}, false
	}
	if ask.Prefer != "" {
		preferred, ok := t.targets[ask.Prefer]
		if ok && preferred.service == s && preferred.available(now) && !slices.Contains(ask.Exclude, ask.Prefer) {
			return preferred.instance, true
		}
	}
	best := t.chooseAvailable(now, s, ask.Exclude)
	if best == nil {
		best = chooseAny(now, s, ask.Exclude)
	}
	if best == nil {
		return fleet.Instance{}, false
	}
	return best.instance, true
}

// pick is an instance that may be chosen, as it was judged.
type pick struct {
	target *target
	view   view
}

// chooseAvailable goes through the tiers until one has room.
func (t *Table) chooseAvailable(now time.Time, s *service, exclude []fleet.InstanceID) *target {
	var best pick
	for tier := range s.tiers {
		drawn := t.drawTwo(now, s.tiers[tier], exclude)
		if drawn.target == nil {
			continue
		}
		if best.target == nil || drawn.view.cost() < best.view.cost() {
			best = drawn
		}
		if drawn.view.hasRoom() {
			return best.target
		}
	}
	if s.slow > 0 && best.target != nil {
		return orSlow(now, s, best, exclude)
	}
	return best.target
}

// orSlow returns a slow instance if even that promises an earlier answer than
// the best of the others, all of which are full.
func orSlow(now time.Time, s *service, best pick, exclude []fleet.InstanceID) *target {
	limit := best.view.cost()
	for tier := range s.tiers {
		for _, known := range s.tiers[tier] {
			if known.slow && known.usable(now, exclude) && known.view(now).cost() < limit {
				return known
			}
		}
	}
	return best.target
}

// drawTwo returns the better of two available instances drawn at random, if
// there are any.
func (t *Table) drawTwo(now time.Time, list []*target, exclude []fleet.InstanceID) pick {
	first, at := t.draw(now, list, exclude, -1)
	if first == nil {
		return pick{}
	}
	a := pick{first, first.view(now)}
	second, _ := t.draw(now, list, exclude, at)
	if second == nil || first.probing() {
		return a
	}
	b := pick{second, second.view(now)}
	if second.probing() || b.view.cost() < a.view.cost() {
		return b
	}
	return a
}

// draw returns an available instance from a random place on, other than the one
// at the given place.
func (t *Table) draw(now time.Time, list []*target, exclude []fleet.InstanceID, other int) (*target, int) {
	if len(list) == 0 {
		return nil, -1
	}
	start := t.random.IntN(len(list))
	for step := range list {
		at := start + step
		if at >= len(list) {
			at -= len(list)
		}
		if at == other || !list[at].available(now) || slices.Contains(exclude, list[at].instance.ID) {
			continue
		}
		return list[at], at
	}
	return nil, -1
}

// chooseAny is for the case that all instances are set aside: it returns the
// best of those that are only slow.
func chooseAny(now time.Time, s *service, exclude []fleet.InstanceID) *target {
	var best pick
	for tier := range s.tiers {
		for _, known := range s.tiers[tier] {
			if !known.usable(now, exclude) {
				continue
			}
			seen := known.view(now)
			if best.target == nil || seen.cost() < best.view.cost() {
				best = pick{known, seen}
			}
		}
	}
	return best.target
}

// Begin counts a call that is sent to an instance.
func (t *Table) Begin(now time.Time, id fleet.InstanceID) {
	known, ok := t.targets[id]
	if !ok {
		return
	}
	known.begin(now)
	known.service.inFlight++
	known.service.begun++
	known.service.hedges = min(hedgeBurst, known.service.hedges+hedgePart)
}

// End takes what came of a call that Begin counted.
func (t *Table) End(now time.Time, id fleet.InstanceID, s Sample) {
	known, ok := t.targets[id]
	if !ok {
		return
	}
	service := known.service
	service.inFlight = max(service.inFlight-1, 0)
	if s.Reason == call.ReasonOverload || s.Reason == call.ReasonShed {
		service.overload = now
	}
	ratio := 0.0
	if s.Outcome == call.Completed && s.Latency > 0 {
		service.completed = now
		ratio = service.observe(s.Operation, s.Latency)
	}
	if s.Outcome == call.Unknown && !s.ConnectFailed {
		ratio = service.leastRatio(s.Operation, s.Latency)
	}
	known.end(now, s, ratio)
	if s.ConnectFailed {
		known.connectFailed(now, t.random.Float64())
		return
	}
	if !s.Cancelled {
		known.failures = 0
	}
}

// HedgeAfter returns after how long without an answer a repeatable read may be
// sent to a second instance. It returns false while the service is overloaded,
// nothing is known of the operation, or hedges have used up their part of the
// calls.
func (t *Table) HedgeAfter(now time.Time, name, operation string) (time.Duration, bool) {
	s, ok := t.services[name]
	if !ok {
		return 0, false
	}
	return s.hedgeAfter(now, operation)
}

// MayHedge reports whether a hedge may be sent now; it is to be asked again when
// the time that HedgeAfter returned has passed.
func (t *Table) MayHedge(now time.Time, name string) bool {
	s, ok := t.services[name]
	return ok && s.mayHedge(now)
}

// Hedged counts a hedge that was sent.
func (t *Table) Hedged(name string) {
	if s, ok := t.services[name]; ok {
		s.hedges = max(0, s.hedges-1)
	}
}
