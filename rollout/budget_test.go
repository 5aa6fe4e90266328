package rollout_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/rollout"
)

// follow has versions appear at a peer, one each gap, and returns how many documents
// the node took and the longest time from a version's appearance until it, or a newer
// one, was in force.
func follow(documentBytes int, gap time.Duration, versions uint64) (taken int, longest time.Duration) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := rollout.NewTable(rollout.Config{}, "self", "d1", start, 1)
	document := make([]byte, documentBytes)
	for now := start; now.Before(start.Add(gap * time.Duration(versions))); now = now.Add(100 * time.Millisecond) {
		newest := uint64(now.Sub(start)/gap) + 1
		appeared := start.Add(gap * time.Duration(table.Version())) // of the next version
		table.PeerVersion(now, "peer", "10.0.0.1:1", newest)
		for range table.Tick(now) {
			table.Offer(now, newest, document, func([]byte) error { return nil })
			taken++
			longest = max(longest, now.Sub(appeared))
		}
	}
	return taken, longest
}

func TestPullsStayWithinBytes(t *testing.T) {
	convey.Convey("Small documents are all taken at once", t, func() {
		taken, longest := follow(2_000, time.Second, 100)
		convey.So(taken, convey.ShouldEqual, 100)
		convey.So(longest, convey.ShouldBeLessThan, time.Second)
	})
	convey.Convey("Large documents that follow each other are skipped but for the newest", t, func() {
		const changes, documentBytes = 1000, 40_000
		gap := 5760 * time.Millisecond
		taken, longest := follow(documentBytes, gap, changes)
		bytesPerSecond := float64(taken*documentBytes) / (gap * changes).Seconds()
		convey.So(bytesPerSecond, convey.ShouldBeLessThan, 3_600)
		convey.So(longest, convey.ShouldBeLessThan, 13*time.Second)
	})
	convey.Convey("The largest documents are delayed by a limited time", t, func() {
		_, longest := follow(1<<20, time.Minute, 20)
		convey.So(longest, convey.ShouldBeLessThan, 13*time.Second)
	})
}
