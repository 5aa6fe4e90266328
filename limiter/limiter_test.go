package limiter

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

func item(priority int, timeout time.Duration) *Item {
	return &Item{Priority: priority, Deadline: start.Add(timeout)}
}

func TestLimiter(t *testing.T) {
	Convey("Fewer requests run than the target has slots", t, func() {
		l := New(20)
		for range 19 {
			So(l.Arrive(start, item(0, time.Second)), ShouldEqual, Run)
		}
		So(l.Arrive(start, item(0, time.Second)), ShouldEqual, Wait)
	})
	Convey("More important requests run first, and those of the same priority in order of arrival", t, func() {
		l := New(1)
		running := item(0, time.Second)
		l.Arrive(start, running)
		low, first, second := item(2, time.Second), item(1, time.Second), item(1, time.Second)
		for _, i := range []*Item{low, first, second} {
			So(l.Arrive(start, i), ShouldEqual, Wait)
		}
		So(l.Next(start), ShouldBeNil)
		for _, want := range []*Item{first, second, low} {
			l.Done(running, 10*time.Millisecond)
			So(l.Next(start), ShouldEqual, want)
			running = want
		}
	})
	Convey("A request that would miss its deadline in the queue is refused at once", t, func() {
		l := New(1)
		l.Arrive(start, item(0, time.Second))
		So(l.Arrive(start, item(0, 60*time.Millisecond)), ShouldEqual, Refuse)
		So(l.Arrive(start, item(0, 500*time.Millisecond)), ShouldEqual, Wait)
	})
	Convey("A request that is removed from the queue uses no slot", t, func() {
		l := New(1)
		running := item(0, time.Second)
		l.Arrive(start, running)
		waiting := item(0, time.Second)
		l.Arrive(start, waiting)
		So(l.Remove(waiting), ShouldBeTrue)
		So(l.Remove(waiting), ShouldBeFalse)
		l.Done(running, time.Millisecond)
		So(l.Next(start), ShouldBeNil)
		So(l.Running(), ShouldEqual, 0)
	})
	Convey("A target that reports no slots isn't limited", t, func() {
		l := New(0)
		for range 1000 {
			So(l.Arrive(start, item(0, time.Second)), ShouldEqual, Run)
		}
	})
	Convey("The pressure of a priority counts the requests in flight of that priority and of more important ones", t, func() {
		l := New(3) // of which two are used
		first, second := item(2, time.Second), item(0, time.Second)
		for _, i := range []*Item{first, second, item(1, time.Second), item(2, time.Second)} {
			l.Arrive(start, i)
		}
		pressures := l.Pressures(start)
		So(pressures[:4], ShouldResemble, []float64{0.5, 1, 2, 2})
		l.Done(first, time.Millisecond)
		So(l.Next(start).Priority, ShouldEqual, 1)
		pressures = l.Pressures(start)
		So(pressures[:4], ShouldResemble, []float64{0.5, 1, 1.5, 1.5})
	})
}
