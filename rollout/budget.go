package rollout

import "time"

// budget is a token bucket that limits the bytes of documents that a node accepts
// over time. Its debt is bounded, so that it never delays a pull by more than
// PullDelayLimit, however large the last document was.
type budget struct {
	rate      float64 // bytes per second
	capacity  float64 // bytes
	minimum   float64 // bytes; negative, as a document may exceed what is available
	available float64 // bytes
	updated   time.Time
}

func newBudget(cfg Config, now time.Time) budget {
	rate := float64(cfg.PullBytesPerSecond)
	capacity := float64(cfg.PullBurstBytes)
	return budget{
		rate:      rate,
		capacity:  capacity,
		minimum:   -rate * cfg.PullDelayLimit.Seconds(),
		available: capacity,
		updated:   now,
	}
}

func (b *budget) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.available = min(b.capacity, b.available+b.rate*elapsed.Seconds())
		b.updated = now
	}
}

func (b *budget) spend(now time.Time, bytes int) {
	b.refill(now)
	b.available = max(b.minimum, b.available-float64(bytes))
}

func (b *budget) allows(now time.Time) bool {
	b.refill(now)
	return b.available >= 0
}
