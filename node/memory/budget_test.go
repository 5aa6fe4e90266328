package memory

import (
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	Convey("A body at the operators' limit fits on the machines that the project is made for", t, func() {
		for _, memoryMB := range []int64{184, 284, 536} {
			b := NewBudget(memoryMB<<20, 4100, time.Now)
			c := b.NewClient(func(Eviction) {})
			So(c.Open(), ShouldBeTrue)
			So(c.Take(64<<20), ShouldBeTrue)
			So(b.Used(), ShouldBeLessThan, memoryMB<<20*6/10)
		}
	})
	Convey("Leases and connections give back all that they took", t, func() {
		b := NewBudget(184<<20, 4100, time.Now)
		c := b.NewClient(func(Eviction) {})
		So(c.Open(), ShouldBeTrue)
		l := b.Lease(1 << 20)
		So(l.Grow(1<<20), ShouldBeTrue)
		So(c.Receive(l), ShouldEqual, 2<<20)
		So(b.Used(), ShouldEqual, 2<<20+ConnectionBytes)
		l.Release()
		So(b.Used(), ShouldEqual, 2<<20+ConnectionBytes)
		c.Release(2 << 20)
		c.Close()
		So(b.Used(), ShouldEqual, 0)
		So(b.Connections(), ShouldEqual, 0)
	})
	Convey("A lease that is dropped is given back by the garbage collector", t, func() {
		b := NewBudget(184<<20, 4100, time.Now)
		b.Lease(1 << 20).ReleaseWhenUnreachable()
		for deadline := time.Now().Add(10 * time.Second); b.Used() > 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			runtime.GC()
		}
		So(b.Used(), ShouldEqual, 0)
	})
	Convey("Connections of callers leave descriptors to peers, the target and files", t, func() {
		b := NewBudget(536<<20, 1000, time.Now)
		closed := 0
		for range 500 {
			b.NewClient(func(Eviction) { closed++ }).Open()
		}
		So(b.Connections(), ShouldEqual, 400)
	})
}
