package call

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPriority(t *testing.T) {
	Convey("A priority keeps its class and its rank", t, func() {
		p := PriorityOf(3, 0xabcdef)
		So(p.Class(), ShouldEqual, Class(3))
		So(p.Rank(), ShouldEqual, Rank(0xabcdef))
	})
	Convey("Every rank of a class precedes every rank of the next class", t, func() {
		So(PriorityOf(0, 1<<rankBits-1), ShouldBeLessThan, PriorityOf(1, 0))
	})
	Convey("AdmitAll admits the least important priority", t, func() {
		So(AdmitAll.Admits(PriorityOf(MaxClasses-1, 1<<rankBits-1)), ShouldBeTrue)
	})
}

func TestNamesRoundTrip(t *testing.T) {
	Convey("Each outcome and reason is parsed from its text", t, func() {
		for _, outcome := range []Outcome{Unknown, NotRun, Completed} {
			parsed, ok := ParseOutcome(outcome.String())
			So(ok, ShouldBeTrue)
			So(parsed, ShouldEqual, outcome)
		}
		for _, reason := range Reasons() {
			parsed, ok := ParseReason(reason.String())
			So(ok, ShouldBeTrue)
			So(parsed, ShouldEqual, reason)
		}
	})
}
