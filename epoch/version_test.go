package epoch_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/epoch"
)

func TestVersion(t *testing.T) {
	Convey("Versions are ordered by the epoch in which they were written, then by revision", t, func() {
		So(epoch.NewVersion(2, 6), ShouldBeGreaterThan, epoch.NewVersion(1, 9))
		So(epoch.NewVersion(1, 9), ShouldBeGreaterThan, epoch.NewVersion(1, 6))
		So(epoch.NewVersion(1, 1), ShouldBeGreaterThan, epoch.NewVersion(epoch.Unknown, 1<<39))
	})
	Convey("A version of an unknown epoch is its revision", t, func() {
		So(uint64(epoch.NewVersion(epoch.Unknown, 9)), ShouldEqual, 9)
		So(epoch.NewVersion(epoch.Unknown, 9).String(), ShouldEqual, "9")
	})
	Convey("The text of a version can be parsed", t, func() {
		for _, v := range []epoch.Version{epoch.NewVersion(3, 12), epoch.NewVersion(0, 12), epoch.NewVersion(1<<24-1, 1<<40-1)} {
			parsed, err := epoch.ParseVersion(v.String())
			So(err, ShouldBeNil)
			So(parsed, ShouldEqual, v)
		}
		for _, text := range []string{"", "-", "1-", "-1", "1-2-3", "a", "16777216-1", "1-1099511627776"} {
			_, err := epoch.ParseVersion(text)
			So(err, ShouldNotBeNil)
		}
	})
}
