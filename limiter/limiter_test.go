package limiter

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

func item(priority int, left time.Duration) *Item {
	return &Item{Priority: priority, Deadline: start.Add(left)}
}

func TestLimiter(t *testing.T) {
	Convey("A target is kept just short of full", t, func() {
		l := New(20)
		for range 19 {
			So(l.Arrive(start, item(0, time.Second)), ShouldEqual, Run)
		}
		So(l.Arrive(start, item(0, time.Second)), ShouldEqual, Wait)
	})
	Convey("The more important goes first, then the one that came first", t, func() {
		l := New(1)
		l.Arrive(start, item(0, time.Second))
		low, first, second := item(2, time.Second), item(1, time.Second), item(1, time.Second)
		for _, i := range []*Item{low, first, second} {
			So(l.Arrive(start, i), ShouldEqual, Wait)
		}
		So(l.Next(), ShouldBeNil)
		for _, want := range []*Item{first, second, low} {
			l.Done(10 * time.Millisecond)
			So(l.Next(), ShouldEqual, want)
		}
	})
	Convey("A request that would miss its deadline in the queue is refused at once", t, func() {
		l := New(1)
		l.Arrive(start, item(0, time.Second))
		So(l.Arrive(start, item(0, 60*time.Millisecond)), ShouldEqual, Refuse)
		So(l.Arrive(start, item(0, 500*time.Millisecond)), ShouldEqual, Wait)
	})
	Convey("A request that leaves the queue takes no slot", t, func() {
		l := New(1)
		l.Arrive(start, item(0, time.Second))
		waiting := item(0, time.Second)
		l.Arrive(start, waiting)
		So(l.Leave(waiting), ShouldBeTrue)
		So(l.Leave(waiting), ShouldBeFalse)
		l.Done(time.Millisecond)
		So(l.Next(), ShouldBeNil)
		So(l.Running(), ShouldEqual, 0)
	})
	Convey("A target that states no slots isn't limited", t, func() {
		l := New(0)
		for range 1000 {
			So(l.Arrive(start, item(0, time.Second)), ShouldEqual, Run)
		}
	})
}
