package quota

import (
	"math"
	"time"
)

const (
	slotWidth = 50 * time.Millisecond
	slots     = int(MaxValidity/slotWidth) + 2
)

// bucket holds the tokens of one account at its home. The content is level plus what entries
// hold; both together don't exceed the capacity.
type bucket struct {
	limit     Limit
	level     float64
	at        time.Duration
	effective float64    // part of the quota by which the bucket fills since at
	granted   [slots]int // tokens at entries, by the slot at whose beginning they expire
	held      int        // sum of granted
}

func slotOf(t time.Duration) int64 { return int64(t / slotWidth) }

// advance fills the bucket up to now. The content is limited before each expiry of tokens, not
// only at the end: otherwise the refill of that time would come on top of them.
func (b *bucket) advance(now time.Duration, bounds Bounds) {
	for b.held > 0 {
		boundary := time.Duration(slotOf(b.at)+1) * slotWidth
		if boundary > now {
			break
		}
		b.fill(boundary, bounds)
		expired := &b.granted[slotOf(boundary)%int64(slots)]
		b.held -= *expired
		*expired = 0
	}
	b.fill(now, bounds)
}

func (b *bucket) fill(to time.Duration, bounds Bounds) {
	if to > b.at {
		b.level += b.limit.Rate * b.effective * (to - b.at).Seconds()
		b.at = to
	}
	b.clip(bounds)
}

func (b *bucket) clip(bounds Bounds) {
	b.level = min(b.level, max(bounds.capacity(b.limit, b.effective)-float64(b.held), 0))
}

// available returns the number of whole tokens.
func (b *bucket) available() int { return int(math.Floor(b.level + 1e-9)) }

// take takes tokens that are valid for a time.
func (b *bucket) take(tokens int, validity time.Duration) {
	b.level -= float64(tokens)
	b.held += tokens
	b.granted[(slotOf(b.at+validity)+1)%int64(slots)] += tokens
}

// returned puts tokens back whose requests ended without a start.
func (b *bucket) returned(tokens int, bounds Bounds) {
	b.level += float64(max(tokens, 0))
	b.clip(bounds)
}

// release ends the validity of one token before its time.
func (b *bucket) release(expires time.Duration) {
	slot := slotOf(expires) + 1
	if slot > slotOf(b.at) && b.granted[slot%int64(slots)] > 0 {
		b.granted[slot%int64(slots)]--
		b.held--
	}
}

// untilNext returns how long the bucket takes to hold the next token.
func (b *bucket) untilNext() time.Duration {
	return time.Duration((1 - min(b.level, 1)) / (b.limit.Rate * b.effective) * float64(time.Second))
}
