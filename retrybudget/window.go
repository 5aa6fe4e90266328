package retrybudget

import "time"

const (
	// bucketsPerWindow is even, as operators count requests from half a window before.
	bucketsPerWindow = 40
	// bucketsKept covers the window before the one that has just begun.
	bucketsKept = 2 * bucketsPerWindow
	// growthShare is the part that counts of a node's requests in a window beyond those in the
	// one before. They may have come from another node, which counts them in its window before.
	growthShare = 0.6
	// spendBuckets are the buckets of spendTime.
	spendBuckets = bucketsPerWindow * 4 / 5
	// recentBuckets is the time over which importance is compared. Over
	// a whole one, retries that were refused to important requests would be kept for nobody.
	recentBuckets = bucketsPerWindow * 2 / 5
)

// totals are the counts of one bucket.
type totals struct{ requests, granted float64 }

// byLevel are the retries of one bucket by level, as the sum of their charges.
type byLevel struct {
	granted [levels]float32
	wanted  [levels]float32 // requested, granted or not
}

// counter holds the counts of one service.
type counter struct {
	totals       [bucketsKept]totals
	recent       [recentBuckets]byLevel
	newestNumber int64 // number of the newest bucket since the epoch
}

// bucketNumber returns the number of the bucket that the time falls in.
func bucketNumber(at time.Time, window time.Duration) int64 {
	return at.UnixNano() / max(int64(window)/bucketsPerWindow, 1)
}

// at returns the counts of the bucket that the time falls in, nil if they aren't kept any more.
func (c *counter) at(at time.Time, window time.Duration) *totals {
	number := bucketNumber(at, window)
	if number > c.newestNumber || number <= c.newestNumber-bucketsKept {
		return nil
	}
	return &c.totals[number%bucketsKept]
}

// advance starts new buckets up to now.
func (c *counter) advance(now time.Time, window time.Duration) {
	number := bucketNumber(now, window)
	for c.newestNumber < number {
		c.newestNumber = max(c.newestNumber+1, number-bucketsKept)
		*c.newest() = totals{}
		*c.newestByLevel() = byLevel{}
	}
}

func (c *counter) newest() *totals { return &c.totals[c.newestNumber%bucketsKept] }

func (c *counter) newestByLevel() *byLevel { return &c.recent[c.newestNumber%recentBuckets] }

// headroom returns how many more retries the ratio and the slack allow now, and how many
// they allow in a window that has begun within spendTime: while requests are refused, windows
// that begin later allow less. Operators check every window by the requests in
// it, in the one before it or in the one half a window before it, whichever has most. The
// requests still to come count for nothing.
func (c *counter) headroom(ratio, slack float64) (remaining, whole float64) {
	var requests, granted [bucketsKept + 1]float64 // sums of the buckets before, oldest first
	for i := range bucketsKept {
		t := &c.totals[(c.newestNumber+1+int64(i))%bucketsKept]
		requests[i+1] = requests[i] + t.requests
		granted[i+1] = granted[i] + t.granted
	}
	for from := bucketsPerWindow; from < bucketsKept; from++ {
		const half = bucketsPerWindow / 2
		before := requests[from] - requests[from-bucketsPerWindow]
		until := min(from+half, bucketsKept)
		sent := before
		for _, other := range [...]float64{requests[bucketsKept] - requests[from], requests[until] - requests[from-half]} {
			sent = max(sent, before+growthShare*(other-before))
		}
		allowed := ratio*sent + slack
		left := allowed - (granted[bucketsKept] - granted[from])
		if from >= bucketsKept-spendBuckets {
			whole = max(whole, allowed)
		}
		if from == bucketsPerWindow || left < remaining {
			remaining = left
		}
	}
	return remaining, whole
}

// reserved returns the recent retries that the level may not use: what more important levels
// requested, and what this and less important levels were granted.
func (c *counter) reserved(level int) float64 {
	sum := 0.0
	for i := range c.recent {
		b := &c.recent[i]
		for l := range level {
			sum += float64(b.wanted[l])
		}
		for l := level; l < levels; l++ {
			sum += float64(b.granted[l])
		}
	}
	return sum
}
