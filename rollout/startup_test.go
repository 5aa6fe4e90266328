package rollout_test

import (
	"errors"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/rollout"
)

func TestRefusedVersionHidesNoOlderOne(t *testing.T) {
	convey.Convey("A new node that refused the newest version waits for the newest valid one that was reported to it", t, func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		table := rollout.NewTable(rollout.Config{}, "self", "d1", now, 1)
		pass := func([]byte) error { return nil }
		fail := func([]byte) error { return errors.New("invalid") }
		table.PeerResponded(now, "peer", 2)
		table.PlatformResponded(now, 7)
		convey.So(table.Offer(now, 1, []byte("old"), pass), convey.ShouldEqual, rollout.Accepted)
		convey.So(table.Offer(now, 7, []byte("invalid"), fail), convey.ShouldEqual, rollout.Invalid)
		convey.So(table.Ready(now), convey.ShouldBeFalse)
		convey.So(table.Offer(now, 2, []byte("valid"), pass), convey.ShouldEqual, rollout.Accepted)
		convey.So(table.Ready(now), convey.ShouldBeTrue)
	})
}
