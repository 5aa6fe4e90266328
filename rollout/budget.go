package rollout

import "time"

// budget limits the bytes of documents that a node takes over time. It never delays
// by more than PullDelayLimit, however large a document is.
type budget struct {
	rate   float64 // bytes a second
	most   float64 // bytes that can be saved up
	least  float64 // bytes, negative
	left   float64
	filled time.Time
}

func newBudget(cfg Config, now time.Time) budget {
	rate := float64(cfg.PullBytesPerSecond)
	most := float64(cfg.PullBurstBytes)
	return budget{
		rate:   rate,
		most:   most,
		least:  -rate * cfg.PullDelayLimit.Seconds(),
		left:   most,
		filled: now,
	}
}

func (b *budget) fill(now time.Time) {
	if passed := now.Sub(b.filled); passed > 0 {
		b.left = min(b.most, b.left+b.rate*passed.Seconds())
		b.filled = now
	}
}

func (b *budget) spend(now time.Time, bytes int) {
	b.fill(now)
	b.left = max(b.least, b.left-float64(bytes))
}

func (b *budget) allows(now time.Time) bool {
	b.fill(now)
	return b.left >= 0
}
