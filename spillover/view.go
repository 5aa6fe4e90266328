package spillover

const (
	// contentionThreshold and contentionSlope are those of package balance: responses slow
	// down above that share of slots in use.
	contentionThreshold, contentionSlope = 0.6, 1.5
	// shortageThreshold is the share of slots in use above which a request delays those
	// behind it, and shortageSlope the cost of that, per share of slots. A request with short
	// messages begins to leave at about 0.97, before requests are refused at the entry (1.1).
	// With 0.95, 4 entries beside 12 targets and 28 beside 6 served 0.907 in place of 0.939.
	shortageThreshold, shortageSlope = 0.9, 10.0
	// maxUsed bounds the share of slots in use: a longer queue says no more.
	maxUsed = 1.6
	// assumedUsed is the share of slots in use that is assumed of a domain of which nothing
	// is known, to decide whether a probe may show a gain.
	assumedUsed = 0.8
	// remoteMargin is added to the share of slots in use in another domain: until the request
	// arrives there, other nodes may have decided alike.
	remoteMargin = 0.1
	// The cost of a crossing, as a multiple of the route's mean latency. A factor of
	// 1+minCrossing to 1+maxCrossing on the score of targets elsewhere, growing with the bytes
	// of the route's requests and responses, was the best of those measured
	// (docs/MEASUREMENTS.md). It prices a kilobyte at crossingPerKilobyte of the route's mean
	// latency; in comparison, the delay of the links is short.
	minCrossing         = 1.2
	crossingPerKilobyte = 0.45
	maxCrossing         = 4.0
)

// Crossing returns the cost of sending a request to another failure domain and the response
// back, of so many bytes together, as a multiple of the route's mean latency.
func Crossing(bytes float64) float64 {
	const kilobyte = 1 << 10
	return min(minCrossing+crossingPerKilobyte*bytes/kilobyte, maxCrossing)
}

// View is what a node knows of the targets of a service in one failure domain.
type View struct {
	Domain   string
	Targets  int     // that can be reached
	Capacity float64 // what they complete, relative to the other domains
	Time     float64 // of a request on an idle target, as a multiple of the route's mean
	Used     float64 // share of their slots that requests use which run or wait there
	// Reports is the number of reports that Used is the mean of, each with a weight that
	// falls from 1 with its age. 0 if nothing was heard recently.
	Reports float64
}

// costAt returns the cost of one more request in the domain while the share of its slots is
// in use, as a multiple of the route's mean latency.
func (v *View) costAt(used float64) float64 {
	used = min(used, maxUsed)
	return v.Time*(1+contentionSlope*max(used-contentionThreshold, 0)) + shortageSlope*max(used-shortageThreshold, 0)
}

// gainOf returns the gain of sending a request to the other domain, before the cost of the
// crossing.
func (v *View) gainOf(other *View, otherUsed float64) float64 {
	return v.costAt(v.Used) - other.costAt(otherUsed)
}
