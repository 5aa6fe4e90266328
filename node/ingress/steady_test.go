package ingress

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

// Guards against the eviction of a client that sends a body slowly but steadily: its progress showed
// only once 64 KiB were complete.
func TestSteadySender(t *testing.T) {
	Convey("Every read of a body is progress", t, func() {
		start := time.Now()
		var elapsed atomic.Int64
		budget := memory.NewBudget(4<<20, 0, func() time.Time { return start.Add(time.Duration(elapsed.Load())) })
		evicted := make(chan memory.Eviction, 1)
		client := budget.NewClient(func(e memory.Eviction) { evicted <- e })
		So(client.Open(), ShouldBeTrue)
		So(client.Take(200<<10), ShouldBeTrue)
		body := progressReader{strings.NewReader(strings.Repeat("x", 60_000)), client}
		for range 5 { // 12,000 bytes a second, for less than a part
			elapsed.Add(int64(time.Second))
			_, err := io.ReadFull(body, make([]byte, 12_000))
			So(err, ShouldBeNil)
		}
		other := budget.NewClient(func(memory.Eviction) {})
		So(other.Open(), ShouldBeTrue)
		So(other.Take(budget.MaxBytes()-100<<10), ShouldBeFalse)
		So(evicted, ShouldBeEmpty)
		Convey("and a client that stops is evicted for others", func() {
			elapsed.Add(int64(2 * time.Second))
			So(other.Take(budget.MaxBytes()-100<<10), ShouldBeTrue)
			So((<-evicted).StalledFor, ShouldEqual, 2*time.Second)
		})
	})
}
