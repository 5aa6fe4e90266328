package admission

import (
	"math"
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// rankSpan is the number of ranks of one class.
const rankSpan = 1 << 24

// Parameters of the estimate of demand.
const (
	// countedPart is the part of the admitted ranks in which arrivals are
	// counted. Entry nodes that haven't yet followed a rise, or that follow a
	// stricter target of the same service, still admit all of these.
	countedPart  = 0.5
	flowSamples  = 64                     // arrivals that an estimate looks back on
	flowMemory   = 100 * time.Millisecond // shortest time that it looks back
	flowMemoryMx = time.Second            // longest time that it looks back
)

// flow is the demand of one caller in one class.
type flow struct {
	admitted float64 // fraction of the ranks that the level admits
	counted  call.Rank
	arrivals int  // below the counted rank, since the last tick
	demand   rate // calls per second in all ranks, admitted or not
}

// caller is one business as the queue sees it.
type caller struct {
	weight float64
	flows  [call.MaxClasses]flow
	level  call.Level
}

// callers is the table of callers of one target. The first entry is shared by
// all that have none of their own.
type callers struct {
	index    map[string]int32
	list     []*caller
	weight   map[string]float64 // of the listed callers
	unlisted int                // entries of callers that aren't listed
}

func newCallers(shares []CallerShare) callers {
	c := callers{index: make(map[string]int32, MaxCallers)}
	c.list = append(c.list, newCaller(1))
	c.setShares(shares)
	return c
}

// setShares takes new weights and keeps what is known of each caller.
func (c *callers) setShares(shares []CallerShare) {
	c.weight = make(map[string]float64, len(shares))
	for _, share := range shares {
		c.weight[share.Name] = float64(max(share.Share, 1))
	}
	c.unlisted = 0
	for name, at := range c.index {
		weight, listed := c.weight[name]
		if !listed {
			weight = 1
			c.unlisted++
		}
		c.list[at].weight = weight
	}
}

// find returns the caller's entry. Callers that aren't listed have a part of the
// table, so that no names that calls may carry push the listed ones out.
func (c *callers) find(name string) *caller {
	if at, ok := c.index[name]; ok {
		return c.list[at]
	}
	weight, listed := c.weight[name]
	if len(c.list) == MaxCallers || !listed && c.unlisted == MaxUnlistedCallers {
		return c.list[0]
	}
	if !listed {
		weight = 1
		c.unlisted++
	}
	c.index[name] = int32(len(c.list))
	added := newCaller(weight)
	c.list = append(c.list, added)
	return added
}

func newCaller(weight float64) *caller {
	added := &caller{weight: weight, level: call.AdmitAll}
	for class := range added.flows {
		added.flows[class].admit(1)
	}
	return added
}

// arrive counts one call.
func (c *caller) arrive(p call.Priority) {
	f := c.flow(p)
	if p.Rank() < f.counted {
		f.arrivals++
	}
}

// admitsClass reports whether the level admits any calls of the class.
func (c *caller) admitsClass(class call.Class) bool {
	return c.level.Admits(call.PriorityOf(class, 0))
}

func (c *caller) flow(p call.Priority) *flow {
	return &c.flows[classOf(p)]
}

// classOf returns the class of a priority as an index of a table.
func classOf(p call.Priority) int { return min(int(p.Class()), call.MaxClasses-1) }

// classShift is the place of the class in the orders of waiting calls.
const classShift = 56

// refusalOrder returns the call's place among those to refuse; the highest goes
// first. The rank is stretched by the part of the caller's demand that the level
// admits, so a caller that asks for more than its share is refused first.
func (c *caller) refusalOrder(p call.Priority) uint64 {
	admitted := max(c.flow(p).admitted, 1.0/64)
	stretched := uint64(float64(p.Rank()) / admitted)
	return uint64(p.Class())<<classShift | stretched
}

// admit sets the fraction of the ranks that the level admits.
func (f *flow) admit(fraction float64) {
	f.admitted = fraction
	f.counted = call.Rank(fraction * countedPart * rankSpan)
}

// tick brings the estimate up to date with the arrivals of the last interval.
// While slots are idle, an estimate that few arrivals confirm is kept for a short
// time only, as it may stem from a surge that has ended.
func (f *flow) tick(seconds float64, idle bool) {
	exposure := float64(f.counted) / rankSpan * seconds
	events := float64(f.arrivals)
	f.arrivals = 0
	if exposure == 0 {
		return
	}
	if f.demand.jumped(events, exposure) {
		f.demand.add(events, exposure, jumpKeep)
		return
	}
	perSecond := f.demand.value() * exposure / seconds
	memory := flowMemoryMx.Seconds()
	switch {
	case idle:
		memory = flowMemory.Seconds()
	case perSecond > 0:
		memory = min(memory, max(flowMemory.Seconds(), flowSamples/perSecond))
	}
	f.demand.add(events, exposure, math.Exp(-seconds/memory))
}
