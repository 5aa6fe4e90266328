package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBucketContent guards against tokens that come on top of those which entries hold: what the
// bucket and entries hold together must not exceed the capacity, and grow no faster than the
// refill.
func TestBucketContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{rapid.Float64Range(0.5, 700).Draw(t, "rate"), rapid.Float64Range(0, 700).Draw(t, "burst")}
		b := &bucket{limit: limit, effective: rapid.Float64Range(0.01, 1).Draw(t, "part")}
		capacity := simBounds.capacity(limit, b.effective)
		type grant struct {
			tokens  int
			expires time.Duration
		}
		var grants []grant
		atEntries := func(now time.Duration) (sum float64) {
			for _, g := range grants {
				if g.expires > now {
					sum += float64(g.tokens)
				}
			}
			return sum
		}
		now, granted := time.Duration(0), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(400*time.Millisecond)).Draw(t, "pause"))
			b.advance(now, simBounds)
			if content := b.level + atEntries(now); content > capacity+1e-6 && b.level > 0 {
				t.Fatalf("content %.3f, capacity %.3f", content, capacity)
			}
			valid := time.Duration(rapid.Int64Range(0, int64(MaxValidity)).Draw(t, "valid"))
			tokens := max(min(rapid.IntRange(0, 200).Draw(t, "tokens"), b.available()), 0)
			b.take(tokens, valid)
			grants = append(grants, grant{tokens, now + valid})
			granted += float64(tokens)
			if most := limit.Rate*b.effective*now.Seconds() + 1e-6; granted > most {
				t.Fatalf("granted %.0f of at most %.3f since the bucket was empty", granted, most)
			}
		}
	})
}

// TestFrozenHome guards against a home that fills its buckets for the time in which it was frozen
// by parts that others have used meanwhile.
func TestFrozenHome(t *testing.T) {
	h := newHome(simBounds)
	limit := Limit{100, 1e5}
	h.delegate(0, "i", delegation{part: wholeQuota / 4, expires: time.Second})
	h.delegate(0, "j", delegation{part: wholeQuota / 4, expires: time.Hour})
	h.bucket(0, "a", limit)
	for _, account := range []string{"a", "b"} { // kept, and not kept
		if got := h.bucket(time.Minute, account, limit).level; got > 50+25*59+0.01 {
			t.Errorf("%s: %.1f tokens, want those of a half of the quota for 1 s and a fourth for 59 s", account, got)
		}
	}
}

// TestRenewalsThatDontCount guards against renewals that bring a part back which has left: one
// that was sent earlier and arrives later, and one with a time of another process's clock.
func TestRenewalsThatDontCount(t *testing.T) {
	const now = time.Minute
	h := NewTable(0, "home", 2, simBounds)
	renewal := func(sent time.Duration, process int64, stamp time.Duration, groups uint32) {
		h.Receive(now, &Message{From: "i", Incarnation: 1, Sent: sent, Renewal: &Renewal{
			Incarnation: process, Stamp: stamp, Term: 10 * time.Second, Part: wholeQuota, Groups: groups}})
	}
	holds := func() bool { return h.homes[3].sum > 0 }
	renewal(1, 2, now, 1<<3)
	if !holds() {
		t.Fatal("a valid renewal doesn't count")
	}
	renewal(3, 2, now, 0)
	renewal(2, 2, now, 1<<3)
	if holds() {
		t.Error("a renewal counts that was sent before the part was withdrawn")
	}
	renewal(4, 1, now, 1<<3)
	if holds() {
		t.Error("a renewal counts that states a time of the earlier process")
	}
	renewal(5, 2, now-10*time.Second, 1<<3)
	if holds() {
		t.Error("a renewal counts whose term has ended on its way")
	}
}
