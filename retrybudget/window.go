package retrybudget

import (
	"math"
	"time"
)

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
	sums         levelSums // of recent
	newestNumber int64     // number of the newest bucket since the epoch
	// windows are the sums over all buckets but the newest one, valid until another bucket
	// changes. Nearly all calls change the newest one alone.
	windows      [bucketsPerWindow]windowSums
	windowsValid bool
}

// levelSums are retries by level. They are computed again with each new bucket, so that errors of
// rounding don't accumulate.
type levelSums struct{ granted, wanted [levels]float64 }

// windowSums are the sums of a window that begins with one of the kept buckets, without the newest
// bucket.
type windowSums struct {
	before  float64 // requests in the window before it
	after   float64 // requests in it
	between float64 // requests in the window half a window before it
	granted float64 // retries in it
}

// bucketNumber returns the number of the bucket that the time falls in.
func bucketNumber(at time.Time, window time.Duration) int64 {
	return at.UnixNano() / max(int64(window)/bucketsPerWindow, 1)
}

// at returns the counts of the bucket that the time falls in, to be changed, or nil if they aren't
// kept any more.
func (c *counter) at(at time.Time, window time.Duration) *totals {
	number := bucketNumber(at, window)
	if number > c.newestNumber || number <= c.newestNumber-bucketsKept {
		return nil
	}
	if number < c.newestNumber {
		c.windowsValid = false // the caller changes the bucket
	}
	return &c.totals[number%bucketsKept]
}

// advance starts new buckets up to now.
func (c *counter) advance(now time.Time, window time.Duration) {
	number := bucketNumber(now, window)
	if c.newestNumber >= number {
		return
	}
	for c.newestNumber < number {
		c.newestNumber = max(c.newestNumber+1, number-bucketsKept)
		*c.newest() = totals{}
		*c.newestByLevel() = byLevel{}
	}
	c.windowsValid = false
	c.sums = levelSums{}
	for i := range c.recent {
		for l := range levels {
			c.sums.granted[l] += float64(c.recent[i].granted[l])
			c.sums.wanted[l] += float64(c.recent[i].wanted[l])
		}
	}
}

// want records that a retry of the level was requested.
func (c *counter) want(level int, cost float64) {
	c.newestByLevel().wanted[level] += float32(cost)
	c.sums.wanted[level] += float64(float32(cost))
}

// grant records that a retry of the level was granted.
func (c *counter) grant(level int, cost float64) {
	c.newest().granted += cost
	c.newestByLevel().granted[level] += float32(cost)
	c.sums.granted[level] += float64(float32(cost))
}

func (c *counter) newest() *totals { return &c.totals[c.newestNumber%bucketsKept] }

func (c *counter) newestByLevel() *byLevel { return &c.recent[c.newestNumber%recentBuckets] }

// headroom returns how many more retries the ratio and the slack allow now, and how many
// they allow in a window that has begun within spendTime: while requests are refused, windows
// that begin later allow less. Operators check every window by the requests in
// it, in the one before it or in the one half a window before it, whichever has most. The
// requests still to come count for nothing.
func (c *counter) headroom(ratio, slack float64) (remaining, whole float64) {
	if !c.windowsValid {
		c.sumWindows()
	}
	newest := *c.newest()
	remaining = math.Inf(1)
	for i := range c.windows {
		w := &c.windows[i]
		more := w.after + newest.requests - w.before
		between := w.between - w.before
		if i >= bucketsPerWindow/2 {
			between += newest.requests // that window ends with the newest bucket
		}
		if between > more {
			more = between
		}
		sent := w.before
		if more > 0 {
			sent += growthShare * more
		}
		allowed := ratio*sent + slack
		if i >= bucketsPerWindow-spendBuckets && allowed > whole {
			whole = allowed
		}
		if left := allowed - w.granted - newest.granted; left < remaining {
			remaining = left
		}
	}
	return remaining, whole
}

// sumWindows computes the sums of all windows.
func (c *counter) sumWindows() {
	const half, closed = bucketsPerWindow / 2, bucketsKept - 1
	var requests, granted [bucketsKept]float64 // sums of the buckets before, oldest first
	for i := range closed {
		t := &c.totals[(c.newestNumber+1+int64(i))%bucketsKept]
		requests[i+1] = requests[i] + t.requests
		granted[i+1] = granted[i] + t.granted
	}
	for i := range c.windows {
		from := bucketsPerWindow + i
		c.windows[i] = windowSums{
			before:  requests[from] - requests[from-bucketsPerWindow],
			after:   requests[closed] - requests[from],
			between: requests[min(from+half, closed)] - requests[from-half],
			granted: granted[closed] - granted[from],
		}
	}
	c.windowsValid = true
}

// reserved returns the recent retries that the level may not use: what more important levels
// requested, and what this and less important levels were granted.
func (c *counter) reserved(level int) float64 {
	sum := 0.0
	for _, wanted := range c.sums.wanted[:level] {
		sum += wanted
	}
	for _, granted := range c.sums.granted[level:] {
		sum += granted
	}
	return sum
}
