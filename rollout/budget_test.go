package rollout_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/rollout"
)

// pullVersions simulates a peer that gets a new version each interval. It returns
// the number of documents that the node pulled and the longest time from the
// appearance of a version at the peer until it, or a newer one, was in force.
func pullVersions(documentBytes int, interval time.Duration, versions uint64) (pulled int, maxDelay time.Duration) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := rollout.NewTable(rollout.Config{}, "self", "d1", start, 1)
	document := make([]byte, documentBytes)
	for now := start; now.Before(start.Add(interval * time.Duration(versions))); now = now.Add(100 * time.Millisecond) {
		newest := epoch.NewVersion(1, uint64(now.Sub(start)/interval)+1)
		appeared := start.Add(interval * time.Duration(table.Version().Number())) // of the next version
		table.RecordPeerVersion(now, "peer", "10.0.0.1:1", newest)
		for range table.Tick(now) {
			table.Offer(now, newest, document, func([]byte) error { return nil })
			pulled++
			maxDelay = max(maxDelay, now.Sub(appeared))
		}
	}
	return pulled, maxDelay
}

func TestPullsStayWithinBytes(t *testing.T) {
	convey.Convey("Small documents are all pulled without delay", t, func() {
		pulled, maxDelay := pullVersions(2_000, time.Second, 100)
		convey.So(pulled, convey.ShouldEqual, 100)
		convey.So(maxDelay, convey.ShouldBeLessThan, time.Second)
	})
	convey.Convey("Of large documents in quick succession, the node skips all but the newest", t, func() {
		const changes, documentBytes = 1000, 40_000
		interval := 5760 * time.Millisecond
		pulled, maxDelay := pullVersions(documentBytes, interval, changes)
		bytesPerSecond := float64(pulled*documentBytes) / (interval * changes).Seconds()
		convey.So(bytesPerSecond, convey.ShouldBeLessThan, 3_600)
		convey.So(maxDelay, convey.ShouldBeLessThan, 13*time.Second)
	})
	convey.Convey("The delay of the largest documents is limited", t, func() {
		_, maxDelay := pullVersions(1<<20, time.Minute, 20)
		convey.So(maxDelay, convey.ShouldBeLessThan, 13*time.Second)
	})
}
