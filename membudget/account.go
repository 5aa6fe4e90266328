// Package membudget is the memory account of a process: who holds how much of what the process
// keeps for others, who may take more, and whose memory is taken back when it runs short.
//
// Clients that read responses slowly, or that stop before the end of a body and stay, made
// processes exceed the memory of their machine: each part of the code bounded its own buffers, by
// stated lengths or not at all. So all of them take from one account before bytes are buffered.
//
// A holder that takes little may use all of the account, others all but a reserve. So an ordinary
// request finds room while large bodies fill the rest. If there is no room, evictable holders are
// evicted, first the one with the largest product of bytes held and time without progress. To take
// much, only holders are evicted that have made no progress for MinStall. Progress below MinRate
// counts as a part of it, so that a byte now and then doesn't count for a whole buffer.
//
// The account is bounded by Limit, apart from what evicted holders have not released yet. An
// eviction looks at all holders once, whose number is bounded by MaxEvictable and by the account,
// as each holds at least a connection or a body.
package membudget

import (
	"math"
	"time"
)

const (
	// SmallBytes is what a holder may hold with the reserve in use. A connection with one request
	// and response of ordinary size stays below it.
	SmallBytes = 160 << 10
	// reserveShare is the part of the limit that is kept for holders of at most SmallBytes.
	reserveShare = 1.0 / 8
	// MinStall is the time without progress from which a holder is evicted for others that hold
	// much. Steady clients make progress several times in it.
	MinStall = 1 * time.Second
	// minIdle is the time without progress from which a connection is evicted for a new one. It
	// leaves a new connection time to send its first request.
	minIdle = 200 * time.Millisecond
	// MinRate is the rate, in bytes a second, at which progress counts in full.
	MinRate = 4 << 10
)

// Limits bounds an account.
type Limits struct {
	Bytes        int64
	MaxEvictable int // evictable holders, thus connections of clients; 0 for no bound
}

// Holder is one holder of an account. Value is the caller's.
type Holder[T any] struct {
	Value     T
	evictable bool
	evicted   bool
	closed    bool
	waiting   bool  // for others than the client that it belongs to
	held      int64 // bytes
	// mark is when progress was made last; the time without progress counts from it. Progress below
	// MinRate moves it on by a part of the time that has passed.
	mark time.Time
}

// Held returns the bytes held.
func (h *Holder[T]) Held() int64 { return h.held }

// StalledFor returns the time without progress, 0 while the holder waits for others.
func (h *Holder[T]) StalledFor(now time.Time) time.Duration {
	if h.waiting {
		return 0
	}
	return max(now.Sub(h.mark), 0)
}

// Account is not safe for concurrent use.
type Account[T any] struct {
	limits    Limits
	used      int64 // bytes, those of evicted holders excluded
	leaving   int64 // bytes of evicted holders
	evictable map[*Holder[T]]struct{}
}

// New returns an empty account.
func New[T any](limits Limits) *Account[T] {
	return &Account[T]{limits: limits, evictable: map[*Holder[T]]struct{}{}}
}

// Used returns the bytes held, those of evicted holders included.
func (a *Account[T]) Used() int64 { return a.used + a.leaving }

// Holders returns the number of evictable holders.
func (a *Account[T]) Holders() int { return len(a.evictable) }

// MaxBytes returns the most that a single holder may hold.
func (a *Account[T]) MaxBytes() int64 { return a.limits.Bytes - a.reserve() }

func (a *Account[T]) reserve() int64 { return int64(reserveShare * float64(a.limits.Bytes)) }

// Open adds an evictable holder. It returns the holder that must be closed for it, if any. If no
// holder can be added, it returns nil.
func (a *Account[T]) Open(now time.Time, value T) (h, evicted *Holder[T]) {
	if a.limits.MaxEvictable > 0 && len(a.evictable) >= a.limits.MaxEvictable {
		if evicted = a.longestStalled(now); evicted == nil {
			return nil, nil
		}
		a.evict(evicted)
	}
	h = &Holder[T]{Value: value, evictable: true, mark: now}
	a.evictable[h] = struct{}{}
	return h, evicted
}

func (a *Account[T]) longestStalled(now time.Time) *Holder[T] {
	var longest *Holder[T]
	stall := minIdle
	for h := range a.evictable {
		if s := h.StalledFor(now); s >= stall {
			longest, stall = h, s
		}
	}
	return longest
}

// OpenFixed adds a holder that is never evicted, for what others than clients have sent.
func (a *Account[T]) OpenFixed(now time.Time, value T) *Holder[T] {
	return &Holder[T]{Value: value, mark: now}
}

// Take lets the holder hold more bytes. If there is no room, it returns false and changes nothing.
// The holders in evicted must be closed; their bytes count no more.
func (a *Account[T]) Take(now time.Time, h *Holder[T], bytes int64) (granted bool, evicted []*Holder[T]) {
	if h.evicted || h.closed {
		return false, nil
	}
	limit, minStall := a.limits.Bytes, time.Duration(0)
	if h.held+bytes > SmallBytes {
		limit, minStall = a.MaxBytes(), MinStall
	}
	if h.held+bytes > limit {
		return false, nil
	}
	if missing := a.used + bytes - limit; missing > 0 {
		if evicted = a.choose(now, h, missing, minStall); evicted == nil {
			return false, nil
		}
		for _, victim := range evicted {
			a.evict(victim)
		}
	}
	h.held += bytes
	a.used += bytes
	return true, evicted
}

// choose returns holders to evict that hold as many bytes as are missing, or nil if there are none.
func (a *Account[T]) choose(now time.Time, asker *Holder[T], missing int64, minStall time.Duration) []*Holder[T] {
	var chosen []*Holder[T]
	last := math.Inf(1)
	for missing > 0 {
		var worst *Holder[T]
		score := 0.0
		for h := range a.evictable {
			if s := h.score(now); h != asker && s > score && s < last && h.StalledFor(now) >= minStall {
				worst, score = h, s
			}
		}
		if worst == nil || score <= asker.score(now) {
			return nil
		}
		chosen, last = append(chosen, worst), score
		missing -= worst.held
	}
	return chosen
}

// score is the product of bytes held and time without progress.
func (h *Holder[T]) score(now time.Time) float64 {
	if !h.evictable {
		return 0
	}
	return float64(h.held) * h.StalledFor(now).Seconds()
}

func (a *Account[T]) evict(h *Holder[T]) {
	delete(a.evictable, h)
	h.evicted = true
	a.used -= h.held
	a.leaving += h.held
}

// Release gives back bytes that the holder holds.
func (a *Account[T]) Release(h *Holder[T], bytes int64) {
	bytes = min(bytes, h.held)
	h.held -= bytes
	if h.evicted {
		a.leaving -= bytes
	} else {
		a.used -= bytes
	}
}

// Move moves bytes from one holder to another, which then holds them even if it couldn't take
// them. It returns false, and moves nothing, if the other one was evicted or closed.
func (a *Account[T]) Move(from, to *Holder[T], bytes int64) bool {
	if to.evicted || to.closed {
		return false
	}
	bytes = min(bytes, from.held)
	a.Release(from, bytes)
	to.held += bytes
	a.used += bytes
	return true
}

// Progress records that the client of the holder has sent or read that many bytes.
func (a *Account[T]) Progress(now time.Time, h *Holder[T], bytes int64) {
	if now.Sub(h.mark) > time.Hour {
		h.mark = now.Add(-time.Hour)
	}
	h.mark = h.mark.Add(time.Duration(float64(bytes) / MinRate * float64(time.Second)))
	if h.mark.After(now) {
		h.mark = now
	}
}

// Restart begins the time without progress anew, when the client of an idle holder sends again. The
// idle time would otherwise count against its next request.
func (a *Account[T]) Restart(now time.Time, h *Holder[T]) { h.mark = now }

// SetWaiting states whether the holder waits for others than its client. While it does it isn't
// evicted, and the time doesn't count.
func (a *Account[T]) SetWaiting(now time.Time, h *Holder[T], waiting bool) {
	if h.waiting && !waiting {
		h.mark = now
	}
	h.waiting = waiting
}

// Close removes a holder. What it still holds counts until it is released.
func (a *Account[T]) Close(h *Holder[T]) {
	h.closed = true
	delete(a.evictable, h)
}
