package startup_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/startup"
)

func TestGate(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	Convey("It is open at the first start of the fleet", t, func() {
		So(startup.NewGate(true).Open(now, 0), ShouldBeTrue)
	})
	Convey("Given a node that starts later", t, func() {
		gate := startup.NewGate(false)
		So(gate.Open(now, 5), ShouldBeFalse)
		Convey("answers without a configuration don't open it", func() {
			gate.Answered("a")
			gate.Answered("b")
			So(gate.Open(now.Add(time.Hour), 5), ShouldBeFalse)
		})
		Convey("with a configuration", func() {
			gate.ConfigurationKnown(now)
			Convey("it needs the answers of two others", func() {
				gate.Answered("a")
				gate.Answered("a")
				So(gate.Open(now, 5), ShouldBeFalse)
				gate.Answered("b")
				So(gate.Open(now, 5), ShouldBeTrue)
			})
			Convey("it needs the answer of the only other", func() {
				gate.Answered("a")
				So(gate.Open(now, 1), ShouldBeTrue)
			})
			Convey("a store that lists no other opens it only when the others had time to appear", func() {
				So(gate.Open(now.Add(time.Second), 0), ShouldBeFalse)
				So(gate.Open(now.Add(2*time.Second), 0), ShouldBeTrue)
			})
			Convey("others that don't answer don't keep it closed, and it stays open", func() {
				So(gate.Open(now.Add(2*time.Second), 5), ShouldBeTrue)
				So(gate.Open(now, 5), ShouldBeTrue)
			})
		})
	})
}
