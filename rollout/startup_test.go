package rollout_test

import (
	"errors"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/rollout"
)

func TestRefusedVersionHidesNoOlderOne(t *testing.T) {
	convey.Convey("A new node that refused the newest version waits for the newest valid one that was reported to it", t, func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		table := rollout.NewTable(rollout.Config{}, "self", "d1", now, 1)
		pass := func([]byte) error { return nil }
		fail := func([]byte) error { return errors.New("invalid") }
		table.PeerResponded(now, "peer", 2)
		table.PlatformResponded(now, 7, false)
		convey.So(table.Offer(now, 1, []byte("old"), pass), convey.ShouldEqual, rollout.Accepted)
		convey.So(table.Offer(now, 7, []byte("invalid"), fail), convey.ShouldEqual, rollout.Invalid)
		convey.So(table.Ready(now), convey.ShouldBeFalse)
		convey.So(table.Offer(now, 2, []byte("valid"), pass), convey.ShouldEqual, rollout.Accepted)
		convey.So(table.Ready(now), convey.ShouldBeTrue)
	})
}

// Guards against a node that takes the inventory of a restored store for the newest one.
func TestVersionFromACopy(t *testing.T) {
	convey.Convey("Given a new node, and a platform whose inventory is from a copy", t, func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		table := rollout.NewTable(rollout.Config{}, "self", "d1", now, 1)
		pass := func([]byte) error { return nil }
		copied, lost := epoch.NewVersion(1, 5), epoch.NewVersion(1, 9)
		table.PlatformResponded(now, copied, true)
		convey.So(table.Offer(now, copied, []byte("copied"), pass), convey.ShouldEqual, rollout.Accepted)
		convey.So(table.Ready(now), convey.ShouldBeFalse)

		convey.Convey("it is ready when its peers have told the newer version that is in force", func() {
			for _, id := range []fleet.InstanceID{"a", "b", "c"} {
				table.PeerResponded(now, id, lost)
			}
			convey.So(table.Ready(now), convey.ShouldBeFalse)
			convey.So(table.Offer(now, lost, []byte("lost"), pass), convey.ShouldEqual, rollout.Accepted)
			convey.So(table.Ready(now), convey.ShouldBeTrue)
			convey.So(table.Offer(now, copied, []byte("copied"), pass), convey.ShouldEqual, rollout.Older)
		})
		convey.Convey("it is ready after a while if there are none", func() {
			for range 40 {
				now = now.Add(350 * time.Millisecond)
				table.Tick(now)
				convey.So(table.Ready(now), convey.ShouldBeFalse)
			}
			for range 3 {
				now = now.Add(350 * time.Millisecond)
				table.Tick(now)
			}
			convey.So(table.Ready(now), convey.ShouldBeTrue)
		})
		convey.Convey("the time in which its process was paused doesn't count", func() {
			table.Tick(now.Add(time.Hour))
			convey.So(table.Ready(now.Add(time.Hour)), convey.ShouldBeFalse)
		})
		convey.Convey("it isn't ready if it has known peers and lost them", func() {
			table.SetFleetSize(5)
			table.SetFleetSize(1)
			convey.So(table.Ready(now.Add(time.Hour)), convey.ShouldBeFalse)
		})
		convey.Convey("a version written after the restore is newer than all before, though its revision isn't", func() {
			convey.So(table.Offer(now, lost, []byte("lost"), pass), convey.ShouldEqual, rollout.Accepted)
			written := epoch.NewVersion(2, 6)
			table.PlatformResponded(now, written, false)
			convey.So(table.Offer(now, written, []byte("written"), pass), convey.ShouldEqual, rollout.Accepted)
			convey.So(table.Ready(now), convey.ShouldBeTrue)
		})
	})
	convey.Convey("Without epochs, a valid document isn't refused for the revision of an invalid one", t, func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		table := rollout.NewTable(rollout.Config{}, "self", "d1", now, 1)
		fail := func([]byte) error { return errors.New("invalid") }
		convey.So(table.Offer(now, 7, []byte("invalid"), fail), convey.ShouldEqual, rollout.Invalid)
		convey.So(table.Offer(now, 7, []byte("valid"), func([]byte) error { return nil }), convey.ShouldEqual, rollout.Accepted)
	})
}
