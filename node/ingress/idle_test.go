package ingress

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

// Guards against an ordinary request that is refused while others hold most of the memory, because its
// connection was idle before: that time counted as time without progress.
func TestRequestAfterAnIdleTime(t *testing.T) {
	Convey("Given an idle connection, and a client that fills the memory later", t, func() {
		start := time.Now()
		var elapsed atomic.Int64
		budget := memory.NewBudget(2<<20, 0, func() time.Time { return start.Add(time.Duration(elapsed.Load())) })
		f := newFixtureWith(t, Limits{}, func(f *fixture) { f.server.UseBudget(budget) })
		f.release("1")
		c := f.dial()
		So(f.holds(memory.ConnectionBytes), ShouldBeTrue)
		elapsed.Store(int64(10 * time.Second))
		evicted := make(chan memory.Eviction, 1)
		other := budget.NewClient(func(e memory.Eviction) { evicted <- e })
		So(other.Open(), ShouldBeTrue)
		So(other.Take(200<<10), ShouldBeTrue)
		small := budget.NewClient(func(memory.Eviction) {})
		So(small.Open(), ShouldBeTrue)
		So(small.Take(16<<10), ShouldBeTrue)
		elapsed.Add(int64(100 * time.Millisecond))
		Convey("a request on the idle connection is served, and the other client is closed", func() {
			c.get("1")
			status, body, _ := c.readResponse()
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, "1:")
			So((<-evicted).Held, ShouldEqual, 200<<10+memory.ConnectionBytes)
		})
	})
}
