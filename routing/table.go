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

// NewTable returns an empty table for a node in the failure domain and region.
// The seed determines which subset of many instances is used, and all random
// choices.
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

// SetService sets the parameters of one service.
func (t *Table) SetService(name string, cfg ServiceConfig) {
	if s := t.service(name); s != nil {
		s.config = cfg
	}
}

// SetInstances replaces the instances of a service. The state of those that stay
// is retained. Instances that take no calls are left out.
func (t *Table) SetInstances(now time.Time, name string, instances []fleet.Instance) {
	s := t.service(name)
	if s == nil {
		return
	}
	chosen := t.subset(name, instances)
	old := make(map[fleet.InstanceID]*target)
	for tier := range s.tiers {
		for _, target := range s.tiers[tier] {
			old[target.instance.ID] = target
			delete(t.targets, target.instance.ID)
		}
		s.tiers[tier] = s.tiers[tier][:0]
	}
	s.inFlight = 0
	s.totalSlots = 0
	s.slowTargets = 0
	s.targetCount = len(chosen)
	s.slownessSum = 0
	for _, instance := range chosen {
		current, ok := old[instance.ID]
		if !ok {
			current = &target{service: s, slowness: 1}
			if s.populated && s.config.ColdStart > 0 {
				current.coldSince = now
			}
		}
		current.instance = instance
		t.targets[instance.ID] = current
		tier := t.tierOf(instance)
		s.tiers[tier] = append(s.tiers[tier], current)
		s.inFlight += current.inFlight
		s.slownessSum += current.slowness
		if current.slow {
			s.slowTargets++
		}
		s.totalSlots += s.slotsOf(instance)
	}
	s.populated = s.populated || len(chosen) > 0
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
	hash     uint64
}

// subset returns the instances that the node sends to. If there are more than
// MaxTargets, each tier gets up to half of the places that the closer tiers left,
// and places that are still free go to the closest tiers. The order within a tier
// depends only on this node's seed and the instance's ID, so a change of the list
// changes little of the subset.
func (t *Table) subset(name string, instances []fleet.Instance) []fleet.Instance {
	candidates := make([]candidate, 0, len(instances))
	for _, instance := range instances {
		if instance.Service != name || !instance.State.TakesCalls() {
			continue
		}
		hash := mix(xxhash.Sum64String(string(instance.ID)) ^ t.seed)
		candidates = append(candidates, candidate{instance, t.tierOf(instance), hash})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if byTier := cmp.Compare(a.tier, b.tier); byTier != 0 {
			return byTier
		}
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	if len(candidates) > t.cfg.MaxTargets {
		candidates = t.limitCandidates(candidates)
	}
	chosen := make([]fleet.Instance, len(candidates))
	for i, c := range candidates {
		chosen[i] = c.instance
	}
	return chosen
}

// limitCandidates reduces sorted candidates to MaxTargets.
func (t *Table) limitCandidates(candidates []candidate) []candidate {
	var counts [tierCount]int
	for _, c := range candidates {
		counts[c.tier]++
	}
	var quotas [tierCount]int
	remaining := t.cfg.MaxTargets
	for tier := range quotas {
		quotas[tier] = min(counts[tier], (remaining+1)/2)
		remaining -= quotas[tier]
	}
	for tier := range quotas {
		extra := min(remaining, counts[tier]-quotas[tier])
		quotas[tier] += extra
		remaining -= extra
	}
	picked := make([]candidate, 0, t.cfg.MaxTargets)
	for _, c := range candidates {
		if quotas[c.tier] > 0 {
			quotas[c.tier]--
			picked = append(picked, c)
		}
	}
	return picked
}

// mix spreads a hash over all bits; it is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Choose returns the instance that a call should be sent to. It returns false
// when no instance can take it.
func (t *Table) Choose(now time.Time, name string, options ChooseOptions) (fleet.Instance, bool) {
	s, ok := t.services[name]
	if !ok {
		return fleet.Instance{}, false
	}
	if options.Prefer != "" {
		preferred, ok := t.targets[options.Prefer]
		if ok && preferred.service == s && preferred.available(now) && !slices.Contains(options.Exclude, options.Prefer) {
			return preferred.instance, true
		}
	}
	best := t.chooseAvailable(now, s, options.Exclude)
	if best == nil {
		best = chooseUsable(now, s, options.Exclude)
	}
	if best == nil {
		return fleet.Instance{}, false
	}
	return best.instance, true
}

// pick is an instance that may be chosen, with its load estimate.
type pick struct {
	target   *target
	estimate loadEstimate
}

// chooseAvailable draws from the tiers, closest first, until a drawn instance has
// room. It returns the best of the drawn instances, or nil if there is none.
func (t *Table) chooseAvailable(now time.Time, s *service, exclude []fleet.InstanceID) *target {
	var best pick
	for tier := range s.tiers {
		drawn := t.drawTwo(now, s.tiers[tier], exclude)
		if drawn.target == nil {
			continue
		}
		if best.target == nil || drawn.estimate.score() < best.estimate.score() {
			best = drawn
		}
		if drawn.estimate.hasRoom() {
			return best.target
		}
	}
	if s.slowTargets > 0 && best.target != nil {
		return slowIfBetter(now, s, best, exclude)
	}
	return best.target
}

// slowIfBetter returns an instance that is ejected as slow if its score is still
// better than that of best. It is called when none of the drawn instances has
// room.
func slowIfBetter(now time.Time, s *service, best pick, exclude []fleet.InstanceID) *target {
	bestScore := best.estimate.score()
	for tier := range s.tiers {
		for _, target := range s.tiers[tier] {
			if target.slow && target.usable(now, exclude) && target.estimate(now).score() < bestScore {
				return target
			}
		}
	}
	return best.target
}

// drawTwo returns the better of two available instances drawn at random. One that
// is due for a probe comes first. The pick is empty if no instance is available.
func (t *Table) drawTwo(now time.Time, targets []*target, exclude []fleet.InstanceID) pick {
	first, index := t.draw(now, targets, exclude, -1)
	if first == nil {
		return pick{}
	}
	a := pick{first, first.estimate(now)}
	second, _ := t.draw(now, targets, exclude, index)
	if second == nil || first.probing() {
		return a
	}
	b := pick{second, second.estimate(now)}
	if second.probing() || b.estimate.score() < a.estimate.score() {
		return b
	}
	return a
}

// draw returns the first instance from a random index on that is available and
// not excluded, and its index. It passes over the index skip; -1 skips none.
func (t *Table) draw(now time.Time, targets []*target, exclude []fleet.InstanceID, skip int) (*target, int) {
	if len(targets) == 0 {
		return nil, -1
	}
	start := t.random.IntN(len(targets))
	for offset := range targets {
		index := start + offset
		if index >= len(targets) {
			index -= len(targets)
		}
		if index == skip || !targets[index].available(now) || slices.Contains(exclude, targets[index].instance.ID) {
			continue
		}
		return targets[index], index
	}
	return nil, -1
}

// chooseUsable returns the best of the usable instances, or nil if there is none.
// It is called when no instance is available, so all usable ones are slow.
func chooseUsable(now time.Time, s *service, exclude []fleet.InstanceID) *target {
	var best pick
	for tier := range s.tiers {
		for _, target := range s.tiers[tier] {
			if !target.usable(now, exclude) {
				continue
			}
			estimate := target.estimate(now)
			if best.target == nil || estimate.score() < best.estimate.score() {
				best = pick{target, estimate}
			}
		}
	}
	return best.target
}

// Begin records that a call is sent to an instance.
func (t *Table) Begin(now time.Time, id fleet.InstanceID) {
	target, ok := t.targets[id]
	if !ok {
		return
	}
	target.begin(now)
	target.service.inFlight++
	target.service.sent++
	target.service.hedgeTokens = min(hedgeBurst, target.service.hedgeTokens+hedgeFraction)
}

// End records the result of a call that Begin recorded.
func (t *Table) End(now time.Time, id fleet.InstanceID, s Sample) {
	target, ok := t.targets[id]
	if !ok {
		return
	}
	service := target.service
	service.inFlight = max(service.inFlight-1, 0)
	if s.Reason == call.ReasonOverload || s.Reason == call.ReasonShed {
		service.lastOverload = now
	}
	ratio := 0.0
	if s.Outcome == call.Completed && s.Latency > 0 {
		service.lastCompleted = now
		ratio = service.observe(s.Operation, s.Latency)
	}
	if s.Outcome == call.Unknown && !s.ConnectFailed {
		ratio = service.minRatio(s.Operation, s.Latency)
	}
	target.end(now, s, ratio)
	if s.ConnectFailed {
		target.recordConnectFailure(now, t.random.Float64())
		return
	}
	if !s.Cancelled {
		target.connectFailures = 0
	}
}

// HedgeAfter returns the time without a reply after which a repeatable read may
// be sent to a second instance. It returns false while MayHedge does, and while
// too few calls of the operation have completed to know its latency.
func (t *Table) HedgeAfter(now time.Time, name, operation string) (time.Duration, bool) {
	s, ok := t.services[name]
	if !ok {
		return 0, false
	}
	return s.hedgeAfter(now, operation)
}

// MayHedge reports whether a hedge may be sent now: the service is neither
// overloaded nor stalled, and hedges have not used up their fraction of the
// calls. Check it again when the time that HedgeAfter returned has passed.
func (t *Table) MayHedge(now time.Time, name string) bool {
	s, ok := t.services[name]
	return ok && s.mayHedge(now)
}

// Hedged records that a hedge was sent.
func (t *Table) Hedged(name string) {
	if s, ok := t.services[name]; ok {
		s.hedgeTokens = max(0, s.hedgeTokens-1)
	}
}
