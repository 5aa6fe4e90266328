package quota

import (
	"math"
	"time"
)

// home is what a node keeps for one group as its home.
type home struct {
	bounds      Bounds
	delegations map[string]delegation // by instance
	// earliest is no later than the end of any delegation, so that most calls needn't look.
	earliest  time.Duration
	sum       float64 // of their parts
	effective float64
	at        time.Duration
	// filled is for how long, in seconds, a bucket that isn't kept has been filling.
	filled  float64
	buckets map[string]*bucket
}

// delegation is the part of one instance.
type delegation struct {
	part    Part
	expires time.Duration // 0 for the node's own part, which it withdraws itself
}

// maxFilled bounds home.filled: after that time any bucket is full.
const maxFilled = 1e6

func newHome(bounds Bounds) *home {
	return &home{bounds: bounds, delegations: map[string]delegation{}, buckets: map[string]*bucket{}}
}

// advance ends the delegations whose term has ended, each at its time: a process that was
// frozen must not fill its buckets by parts that others used meanwhile.
func (h *home) advance(now time.Duration) {
	for h.earliest <= now {
		first, instance := time.Duration(math.MaxInt64), ""
		for name, d := range h.delegations {
			if d.expires > 0 && (d.expires < first || d.expires == first && name < instance) {
				first, instance = d.expires, name
			}
		}
		if h.earliest = first; first > now {
			break
		}
		delete(h.delegations, instance)
		h.update(max(first, h.at))
	}
	h.progress(now)
}

func (h *home) progress(now time.Duration) {
	if now > h.at {
		h.filled = min(h.filled+h.effective*(now-h.at).Seconds(), maxFilled)
		h.at = now
	}
}

// delegate replaces the part of an instance; a part of 0 withdraws it.
func (h *home) delegate(now time.Duration, instance string, d delegation) {
	h.advance(now)
	if d.expires > 0 {
		h.earliest = min(h.earliest, d.expires)
	}
	if current, ok := h.delegations[instance]; ok && current.part == d.part || !ok && d.part <= 0 {
		if ok {
			h.delegations[instance] = d
		}
		return
	}
	if d.part <= 0 {
		delete(h.delegations, instance)
	} else {
		h.delegations[instance] = d
	}
	h.update(now)
}

// update brings a change of the parts into force.
func (h *home) update(now time.Duration) {
	h.progress(now)
	sum := Part(0)
	for _, d := range h.delegations {
		sum += d.part
	}
	h.sum = sum.fraction()
	effective := h.bounds.effective(h.sum)
	if effective < h.effective {
		h.filled *= effective / h.effective
	}
	h.effective = effective
	for _, b := range h.buckets {
		b.advance(now, h.bounds)
		b.effective = effective
		b.clip(h.bounds)
	}
}

// bucket returns the account's bucket at now. One that isn't kept has filled since the parts
// came.
func (h *home) bucket(now time.Duration, account string, limit Limit) *bucket {
	h.advance(now)
	b := h.buckets[account]
	if b == nil {
		b = &bucket{limit: limit, at: now, effective: h.effective, level: limit.Rate * h.filled}
		b.clip(h.bounds)
		h.buckets[account] = b
		return b
	}
	b.advance(now, h.bounds)
	return b
}

// prune drops buckets that are as full as they would be if they weren't kept.
func (h *home) prune(now time.Duration) {
	h.advance(now)
	for account, b := range h.buckets {
		b.advance(now, h.bounds)
		full := min(b.limit.Rate*h.filled, h.bounds.capacity(b.limit, h.effective))
		if b.held == 0 && b.level >= full {
			delete(h.buckets, account)
		}
	}
}

// configure brings changed limits into force. The bucket of an account that has no limit any more is
// kept until it is full: the account may get one again, and must not find a full bucket then.
func (h *home) configure(now time.Duration, limits map[string]limitSince) {
	h.advance(now)
	for account, b := range h.buckets {
		b.advance(now, h.bounds)
		if l, ok := limits[account]; ok {
			b.limit = l.Limit
			b.clip(h.bounds)
		}
	}
}
