package epoch_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/epoch"
)

func TestTracker(t *testing.T) {
	Convey("An epoch that is stated after responses without one begins a new history", t, func() {
		var tracker epoch.Tracker
		So(tracker.Received(tracker.Sent(), epoch.Unknown, false).Finding, ShouldEqual, epoch.Same)
		So(tracker.Received(tracker.Sent(), 1, false).BeginsHistory(), ShouldBeTrue)
		So(tracker.Received(tracker.Sent(), 1, false).Finding, ShouldEqual, epoch.Same)
	})
	Convey("Given a store whose responses state epoch 4", t, func() {
		var tracker epoch.Tracker
		So(tracker.Received(tracker.Sent(), 4, false).Finding, ShouldEqual, epoch.First)
		So(tracker.Received(tracker.Sent(), 4, false).Finding, ShouldEqual, epoch.Same)

		Convey("a higher epoch begins a new history once", func() {
			sent := tracker.Sent()
			So(tracker.Received(sent, 5, false), ShouldResemble, epoch.Change{Finding: epoch.Restored, From: 4, To: 5})
			So(tracker.Received(sent, 5, false).Finding, ShouldEqual, epoch.Same)
			So(tracker.Current(), ShouldEqual, epoch.ID(5))
		})
		Convey("a response of the earlier epoch that arrives after one of the new epoch is late", func() {
			sent := tracker.Sent()
			tracker.Received(sent, 5, false)
			So(tracker.Received(sent, 4, false).Finding, ShouldEqual, epoch.Late)
			So(tracker.Current(), ShouldEqual, epoch.ID(5))
		})
		Convey("a lower epoch in the response to a later request is a new history", func() {
			change := tracker.Received(tracker.Sent(), 2, false)
			So(change.Finding, ShouldEqual, epoch.WentBack)
			So(change.BeginsHistory(), ShouldBeTrue)
			So(tracker.Current(), ShouldEqual, epoch.ID(2))
		})
		Convey("a lower epoch in a response that may be stale is late", func() {
			So(tracker.Received(tracker.Sent(), 3, true).Finding, ShouldEqual, epoch.Late)
			So(tracker.Current(), ShouldEqual, epoch.ID(4))
		})
		Convey("a response without an epoch changes nothing", func() {
			So(tracker.Received(tracker.Sent(), epoch.Unknown, false).Finding, ShouldEqual, epoch.NotStated)
			So(tracker.Current(), ShouldEqual, epoch.ID(4))
		})
	})
}
