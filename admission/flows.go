package admission

import (
	"math"
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// rankCount is the number of ranks of one class.
const rankCount = 1 << 24

// Parameters of the demand estimate.
const (
	// countedFraction is the fraction of the admitted ranks in which arrivals are
	// counted. Entry nodes that have not yet received a raised level, or that use the
	// level of a stricter target of the same service, still admit all of these.
	countedFraction = 0.5
	demandSamples   = 64                     // arrivals that an estimate covers
	minDemandTime   = 100 * time.Millisecond // shortest time constant of an estimate
	maxDemandTime   = time.Second            // longest time constant of an estimate
)

// flow is the demand of one caller in one class.
type flow struct {
	admittedFraction float64   // fraction of the ranks that the level admits
	countedBelow     call.Rank // ranks below it are counted
	arrivals         int       // arrivals with a rank below countedBelow since the last tick
	demand           rate      // calls per second over all ranks, admitted or not
}

// caller is the state of one caller, or of all callers that share the first entry.
type caller struct {
	weight float64
	flows  [call.MaxClasses]flow
	level  call.Level
}

// callerTable is the table of callers of one target. The first entry is shared by
// all callers that have none of their own.
type callerTable struct {
	index    map[string]int32
	entries  []*caller
	weights  map[string]float64 // of the callers in the configuration
	unlisted int                // number of entries of callers that the configuration doesn't list
}

func newCallerTable(shares []CallerShare) callerTable {
	c := callerTable{index: make(map[string]int32, MaxCallers)}
	c.entries = append(c.entries, newCaller(1))
	c.setShares(shares)
	return c
}

// setShares replaces the weights and keeps the state of each caller.
func (c *callerTable) setShares(shares []CallerShare) {
	c.weights = make(map[string]float64, len(shares))
	for _, share := range shares {
		c.weights[share.Name] = float64(max(share.Share, 1))
	}
	c.unlisted = 0
	for name, at := range c.index {
		weight, listed := c.weights[name]
		if !listed {
			weight = 1
			c.unlisted++
		}
		c.entries[at].weight = weight
	}
}

// find returns the caller's entry, and adds it if there is room. Callers that the
// configuration doesn't list get at most MaxUnlistedCallers entries, so arbitrary
// names in calls can't displace the listed callers.
func (c *callerTable) find(name string) *caller {
	if at, ok := c.index[name]; ok {
		return c.entries[at]
	}
	weight, listed := c.weights[name]
	if len(c.entries) == MaxCallers || !listed && c.unlisted == MaxUnlistedCallers {
		return c.entries[0]
	}
	if !listed {
		weight = 1
		c.unlisted++
	}
	c.index[name] = int32(len(c.entries))
	added := newCaller(weight)
	c.entries = append(c.entries, added)
	return added
}

func newCaller(weight float64) *caller {
	added := &caller{weight: weight, level: call.AdmitAll}
	for class := range added.flows {
		added.flows[class].setAdmittedFraction(1)
	}
	return added
}

// recordArrival counts a call in its class if its rank is below countedBelow.
func (c *caller) recordArrival(p call.Priority) {
	f := c.flow(p)
	if p.Rank() < f.countedBelow {
		f.arrivals++
	}
}

// admitsClass reports whether the level admits any calls of the class.
func (c *caller) admitsClass(class call.Class) bool {
	return c.level.Admits(call.PriorityOf(class, 0))
}

// flow returns the caller's flow in the class of the priority.
func (c *caller) flow(p call.Priority) *flow {
	return &c.flows[classIndex(p)]
}

// classIndex returns the class of a priority as an index into a table of classes.
func classIndex(p call.Priority) int { return min(int(p.Class()), call.MaxClasses-1) }

// classShift is the position of the class in a refusal key, in bits.
const classShift = 56

// refusalKey returns the key by which waiting calls are refused, highest first.
// The rank is divided by the caller's admitted fraction, so calls of a caller that
// exceeds its share are refused first.
func (c *caller) refusalKey(p call.Priority) uint64 {
	admitted := max(c.flow(p).admittedFraction, 1.0/64)
	stretched := uint64(float64(p.Rank()) / admitted)
	return uint64(p.Class())<<classShift | stretched
}

// setAdmittedFraction sets the fraction of the ranks that the level admits.
func (f *flow) setAdmittedFraction(fraction float64) {
	f.admittedFraction = fraction
	f.countedBelow = call.Rank(fraction * countedFraction * rankCount)
}

// tick updates the demand with the arrivals of the last interval. While slots are
// idle the estimate decays fast, since it may stem from a surge that has ended.
func (f *flow) tick(seconds float64, idle bool) {
	exposure := float64(f.countedBelow) / rankCount * seconds
	events := float64(f.arrivals)
	f.arrivals = 0
	if exposure == 0 {
		return
	}
	if f.demand.jumped(events, exposure) {
		f.demand.add(events, exposure, jumpDecay)
		return
	}
	perSecond := f.demand.value() * exposure / seconds
	timeConstant := maxDemandTime.Seconds()
	switch {
	case idle:
		timeConstant = minDemandTime.Seconds()
	case perSecond > 0:
		timeConstant = min(timeConstant, max(minDemandTime.Seconds(), demandSamples/perSecond))
	}
	f.demand.add(events, exposure, math.Exp(-seconds/timeConstant))
}
