package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Groups is the number of groups of accounts. Each group has a home of its own, which bounds
// the load of one home; an instance renews its delegation to each of them.
const Groups = 8

// GroupOf returns the group of an account.
func GroupOf(account string) int { return int(xxhash.Sum64String(account) % Groups) }

// Limit is the quota of one account. Its rate is above 0.
type Limit struct {
	Rate  float64 // requests per second, over all nodes
	Burst float64 // requests
}

const (
	// MaxValidity bounds how long tokens at an entry are valid. Parts change hands only when
	// tokens of their former home have expired.
	MaxValidity = 500 * time.Millisecond
	minValidity = 100 * time.Millisecond
	// needValidity bounds how long tokens are valid that were granted to requests which wait.
	// With a slot of a bucket it is no longer than the grace, whose refill makes up for what
	// they hold up.
	needValidity = 150 * time.Millisecond
	// graceFraction is the fraction of the overage that extends a bucket's capacity. With
	// reclaimFraction it stays below the overage of 0.1: 1.05 x (5 s + 0.2 s) < 1.1 x 5 s.
	graceFraction = 0.4
	// reclaimFraction is the fraction of the overage by which a home that holds the majority
	// of the parts raises their sum, up to 1.
	reclaimFraction = 0.5
	// slackFraction is the fraction of the slack that a home with the majority of the parts
	// adds to a bucket's capacity. It makes up for what slots round, and lets a quota
	// below one request be used.
	slackFraction = 0.1
)

// Bounds states how far quotas may be exceeded in each window.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// grace is the time whose refill extends the capacity of a bucket beyond the burst.
func (b Bounds) grace() time.Duration {
	return time.Duration(graceFraction * b.Overage * float64(b.Window))
}

// effective returns the part of the quotas that a home may grant by the sum of the parts that it
// holds.
func (b Bounds) effective(sum float64) float64 {
	if isMajority(sum) {
		sum *= 1 + reclaimFraction*b.Overage
	}
	return min(sum, 1)
}

// isMajority reports whether no other home can hold as many parts. The sum is above one
// half by more than the instances may disagree on their number.
func isMajority(sum float64) bool { return sum > 0.52 }

// capacity returns how many tokens a home may hold, including those at entries.
func (b Bounds) capacity(l Limit, effective float64) float64 {
	capacity := effective * (l.Burst + l.Rate*b.grace().Seconds())
	if isMajority(effective) {
		capacity += b.Slack * slackFraction
	}
	return capacity
}

// validity returns how long tokens for requests that wait are valid, and how long further ones are. While they
// are, they count as content of the bucket, so a longer time would hold up its refill.
func (b Bounds) validity(l Limit) (need, ahead time.Duration) {
	full := time.Duration(l.Burst/l.Rate*float64(time.Second)) + b.grace()
	ahead = min(max(full/2, minValidity), MaxValidity)
	return min(ahead, needValidity), ahead
}

// Part is a part of all quotas, in units of 1/wholeQuota. It is a whole number so that sums
// don't depend on their order.
type Part int64

const wholeQuota = 1e12

// partOf returns the part of one of so many instances.
func partOf(instances int) Part {
	if instances <= 0 {
		return 0
	}
	return Part(wholeQuota / int64(instances))
}

func (p Part) fraction() float64 { return float64(p) / wholeQuota }
