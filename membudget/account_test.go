package membudget

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const mib = 1 << 20

func names(list []*Holder[string]) (values []string) {
	for _, h := range list {
		values = append(values, h.Value)
	}
	return values
}

// open opens a holder that holds so many bytes.
func open(a *Account[string], now time.Time, name string, bytes int64) *Holder[string] {
	h, _ := a.Open(now, name)
	granted, evicted := a.Take(now, h, bytes)
	So(granted, ShouldBeTrue)
	So(evicted, ShouldBeEmpty)
	return h
}

func TestWhoIsEvicted(t *testing.T) {
	Convey("The holder of most for longest without progress comes first", t, func() {
		a := New[string](Limits{Bytes: 16 * mib})
		open(a, start, "little, long", 1*mib)
		open(a, start.Add(8*time.Second), "much, for some time", 6*mib)
		open(a, start.Add(9900*time.Millisecond), "much, just now", 7*mib)
		now := start.Add(10 * time.Second)
		asker, _ := a.Open(now, "asker")
		granted, evicted := a.Take(now, asker, 2*mib)
		So(granted, ShouldBeTrue)
		So(names(evicted), ShouldResemble, []string{"much, for some time"})
		Convey("and further ones only if that isn't enough", func() {
			granted, evicted := a.Take(now, asker, 5*mib)
			So(granted, ShouldBeTrue)
			So(names(evicted), ShouldResemble, []string{"little, long"})
		})
		Convey("Its bytes count no more, also when it releases them", func() {
			used := a.used
			a.Release(evicted[0], 6*mib)
			So(a.used, ShouldEqual, used)
			So(a.Used(), ShouldEqual, used)
			granted, _ := a.Take(now, evicted[0], 1)
			So(granted, ShouldBeFalse)
		})
	})
	Convey("A holder that makes steady progress isn't evicted for one that holds much", t, func() {
		a := New[string](Limits{Bytes: 16 * mib})
		steady := open(a, start, "steady", 13*mib)
		now := start
		for range 100 {
			now = now.Add(500 * time.Millisecond)
			a.Progress(now, steady, MinRate)
		}
		asker, _ := a.Open(now, "asker")
		granted, evicted := a.Take(now, asker, 4*mib)
		So(granted, ShouldBeFalse)
		So(evicted, ShouldBeEmpty)
	})
	Convey("A byte now and then isn't progress", t, func() {
		a := New[string](Limits{Bytes: 16 * mib})
		trickling := open(a, start, "trickling", 13*mib)
		now := start
		for range 100 {
			now = now.Add(500 * time.Millisecond)
			a.Progress(now, trickling, 1)
		}
		So(trickling.StalledFor(now), ShouldBeGreaterThan, 49*time.Second)
		asker, _ := a.Open(now, "asker")
		granted, evicted := a.Take(now, asker, 4*mib)
		So(granted, ShouldBeTrue)
		So(names(evicted), ShouldResemble, []string{"trickling"})
	})
	Convey("A holder that waits for others than its client isn't evicted, and the time doesn't count", t, func() {
		a := New[string](Limits{Bytes: 16 * mib})
		waiting := open(a, start, "waiting", 13*mib)
		a.SetWaiting(start, waiting, true)
		now := start.Add(time.Minute)
		asker, _ := a.Open(now, "asker")
		granted, _ := a.Take(now, asker, 4*mib)
		So(granted, ShouldBeFalse)
		a.SetWaiting(now, waiting, false)
		So(waiting.StalledFor(now), ShouldEqual, 0)
	})
	Convey("A small request finds room where a large one doesn't", t, func() {
		a := New[string](Limits{Bytes: 16 * mib})
		h := a.OpenFixed(start, "body")
		granted, _ := a.Take(start, h, a.MaxBytes())
		So(granted, ShouldBeTrue)
		large := a.OpenFixed(start, "large")
		granted, _ = a.Take(start, large, SmallBytes+1)
		So(granted, ShouldBeFalse)
		small, _ := a.Open(start, "small")
		granted, _ = a.Take(start, small, SmallBytes)
		So(granted, ShouldBeTrue)
	})
	Convey("Beyond the bound of connections, the one that is idle for longest makes room", t, func() {
		a := New[string](Limits{Bytes: 16 * mib, MaxEvictable: 2})
		open(a, start, "older", 1)
		busy := open(a, start, "busy", 1)
		a.SetWaiting(start, busy, true)
		_, evicted := a.Open(start.Add(time.Second), "newer")
		So(evicted.Value, ShouldEqual, "older")
		Convey("and without an idle one, no further one is accepted", func() {
			h, evicted := a.Open(start.Add(time.Second), "too many")
			So(h, ShouldBeNil)
			So(evicted, ShouldBeNil)
			So(a.Holders(), ShouldEqual, 2)
		})
	})
}

// TestAccountStaysWithinItsLimits guards against bytes that are counted twice, never, or beyond the
// limit, whatever the order of events.
func TestAccountStaysWithinItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: rapid.Int64Range(1, 4*mib).Draw(t, "limit"), MaxEvictable: rapid.IntRange(0, 5).Draw(t, "connections")}
		a := New[string](limits)
		now := start
		var all []*Holder[string]
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				if h, evicted := a.Open(now, ""); h != nil {
					all = append(all, h)
				} else if evicted != nil {
					t.Fatal("evicted without an effect")
				}
			},
			"fixed": func(*rapid.T) { all = append(all, a.OpenFixed(now, "")) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"use": func(t *rapid.T) {
				if len(all) == 0 {
					return
				}
				h := rapid.SampledFrom(all).Draw(t, "holder")
				bytes := rapid.Int64Range(0, mib).Draw(t, "bytes")
				switch rapid.IntRange(0, 6).Draw(t, "event") {
				case 0:
					held := h.Held()
					granted, evicted := a.Take(now, h, bytes)
					if granted != (h.Held() == held+bytes) && bytes > 0 || !granted && len(evicted) > 0 {
						t.Fatalf("granted %v: held %d before, %d now, %d evicted", granted, held, h.Held(), len(evicted))
					}
					for _, victim := range evicted {
						if victim == h || victim.waiting || !victim.evictable {
							t.Fatal("evicted a holder that mustn't be")
						}
					}
				case 1:
					a.Release(h, bytes)
				case 2:
					a.SetWaiting(now, h, rapid.Bool().Draw(t, "waiting"))
				case 3:
					a.Progress(now, h, bytes)
				case 4:
					a.Close(h)
				case 6:
					a.Restart(now, h)
				case 5:
					to := rapid.SampledFrom(all).Draw(t, "to")
					if a.used+h.Held() <= limits.Bytes {
						a.Move(h, to, bytes)
					}
				}
			},
			"": func(t *rapid.T) {
				var used, leaving int64
				for _, h := range all {
					if h.evicted {
						leaving += h.held
					} else {
						used += h.held
					}
					if h.held < 0 || h.StalledFor(now) < 0 {
						t.Fatalf("negative: %+v", h)
					}
				}
				if used != a.used || leaving != a.leaving {
					t.Fatalf("counted %d and %d, held %d and %d", a.used, a.leaving, used, leaving)
				}
				if a.used > limits.Bytes {
					t.Fatalf("%d bytes held, the limit is %d", a.used, limits.Bytes)
				}
				if limits.MaxEvictable > 0 && a.Holders() > limits.MaxEvictable {
					t.Fatalf("%d connections", a.Holders())
				}
			},
		})
	})
}
