package limiter

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// served returns how many of the first count requests that a full target starts are each
// account's. An account has sent as many requests as stated, one after the other in turns.
func served(weights map[string]float64, sent map[string]int, count int) map[string]int {
	now := time.Unix(1000, 0)
	l := New(2)
	running := &Item{Deadline: now.Add(time.Hour)}
	l.Arrive(now, running)
	for i := range 1000 {
		for _, account := range []string{"", "a", "b", "c"} {
			if i < sent[account] {
				l.Arrive(now, &Item{Priority: 1, Deadline: now.Add(time.Hour), Account: account, Weight: weights[account]})
			}
		}
	}
	started := map[string]int{}
	for range count {
		l.Done(running, 30*time.Millisecond)
		if running = l.Next(now); running == nil {
			break
		}
		started[running.Account]++
	}
	return started
}

// Guards against an account that fills the queue of a target and leaves others behind it.
func TestQueueIsSharedByAccounts(t *testing.T) {
	Convey("An account that sends eight times as much as others gets what they leave", t, func() {
		started := served(map[string]float64{"a": 10, "b": 10}, map[string]int{"a": 400, "b": 50}, 120)
		So(started["b"], ShouldEqual, 50)
		So(started["a"], ShouldEqual, 70)
	})
	Convey("While all have requests, they are served by weight", t, func() {
		started := served(map[string]float64{"a": 10, "b": 30, "c": 20}, map[string]int{"a": 500, "b": 500, "c": 500}, 300)
		So(started["a"], ShouldBeBetween, 45, 55)
		So(started["b"], ShouldBeBetween, 145, 155)
		So(started["c"], ShouldBeBetween, 95, 105)
	})
	Convey("Names without a weight gain little, and nothing is kept once the queue is empty", t, func() {
		now := time.Unix(1000, 0)
		l := New(2)
		l.Arrive(now, &Item{Deadline: now.Add(time.Hour)})
		var items []*Item
		for i := range 1000 {
			item := &Item{Priority: 1, Deadline: now.Add(time.Hour), Account: fmt.Sprint(i)}
			l.Arrive(now, item)
			items = append(items, item)
		}
		for _, item := range items {
			l.Remove(item)
		}
		So(len(l.order[1].previous), ShouldEqual, 0)
	})
	Convey("Without accounts the order is that of arrival", t, func() {
		now := time.Unix(1000, 0)
		l := New(2)
		running := &Item{Deadline: now.Add(time.Hour)}
		l.Arrive(now, running)
		var items []*Item
		for range 100 {
			item := &Item{Priority: 1, Deadline: now.Add(time.Hour)}
			l.Arrive(now, item)
			items = append(items, item)
		}
		for _, item := range items {
			l.Done(running, time.Millisecond)
			running = l.Next(now)
			So(running, ShouldEqual, item)
		}
	})
}

// Guards against an account that is served last although nothing of it has run: requests that left
// the queue, as their callers did or their time ended, must not count against later ones.
func TestRequestsThatLeaveTheQueueAreNotCharged(t *testing.T) {
	Convey("An account whose earlier requests have left is served beside others", t, func() {
		now := time.Unix(1000, 0)
		l := New(2)
		running := &Item{Deadline: now.Add(time.Hour)}
		l.Arrive(now, running)
		arrive := func(account string) *Item {
			item := &Item{Priority: 1, Deadline: now.Add(time.Hour), Account: account, Weight: 10}
			So(l.Arrive(now, item), ShouldEqual, Wait)
			return item
		}
		for range 20 {
			arrive("b")
		}
		var left []*Item
		for range 50 {
			left = append(left, arrive("a"))
		}
		for _, item := range left {
			So(l.Remove(item), ShouldBeTrue)
		}
		first := arrive("a")
		gone := arrive("a")
		last, before := arrive("a"), 0
		So(l.Remove(gone), ShouldBeTrue)
		So(first.tag, ShouldBeLessThan, last.tag)
		for running = nil; running != last; before++ {
			l.Done(&Item{}, time.Millisecond)
			running = l.Next(now)
		}
		So(before, ShouldBeLessThanOrEqualTo, 5)
	})
}
