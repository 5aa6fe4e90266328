package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// One version of the software survived a request that crashed the other. Each run that it survived
// cleared the request, which then crashed further targets of the other version, without end.
func TestRunOnOtherSoftwareRefutesNothing(t *testing.T) {
	bad := fingerprint("bad")
	mixed := append(candidatesOf("v1", "a", "b"), candidatesOf("v2", "c", "d")...)
	ranOnV2 := func(table *Table) {
		var own Report
		own.Add(nil, table.Clear(bad, Software{"s", "v2"})...)
		table.Merge(after(time.Second), "c", own)
	}
	for name, order := range map[string]bool{"after the crash is known": false, "before the crash is known": true} {
		Convey("A run on v2, reported "+name+", doesn't clear the crash on v1", t, func() {
			table := NewTable()
			report := crashed(1, start, "v1", "bad")
			if order {
				witness := NewTable()
				witness.Merge(start, "a", report)
				var own Report
				own.Add(nil, witness.Clear(bad, Software{"s", "v2"})...)
				table.Merge(after(time.Second), "c", own)
				table.Merge(after(time.Second), "a", report)
			} else {
				table.Merge(start, "a", report)
				ranOnV2(table)
			}
			p := table.Place(after(2*time.Second), bad, "s", 4, mixed)
			So(p.Status, ShouldEqual, Suspect)
			Convey("and it runs freely at all targets of v2, and at no others", func() {
				So(p.Allows(mixed, "a"), ShouldBeFalse)
				So(p.Allows(mixed, "b"), ShouldBeFalse)
				So(p.Spares(mixed, "c"), ShouldBeTrue)
				So(p.Spares(mixed, "d"), ShouldBeTrue)
			})
			Convey("on probation where no target of v2 is left", func() {
				old := candidatesOf("v1", "a", "b")
				p := table.Place(after(2*time.Second), bad, "s", 4, old)
				So(p.Status, ShouldEqual, Suspect)
				So(p.Spares(old, "a"), ShouldBeFalse)
				So(p.Allows(old, "a"), ShouldBeTrue)
			})
			Convey("until v2 crashes, too", func() {
				table.Merge(after(3*time.Second), "c", crashed(1, after(3*time.Second), "v2", "bad"))
				p := table.Place(after(4*time.Second), bad, "s", 4, mixed)
				So(p.Spared, ShouldBeEmpty)
			})
			Convey("and a further run on v2 has nothing new to report", func() {
				So(table.Clear(bad, Software{"s", "v2"}), ShouldBeEmpty)
			})
			Convey("while a run on v1 does", func() {
				var own Report
				own.Add(nil, table.Clear(bad, Software{"s", "v1"})...)
				table.Merge(after(3*time.Second), "b", own)
				So(table.Place(after(4*time.Second), bad, "s", 4, mixed).Status, ShouldEqual, Free)
			})
		})
	}
	Convey("In quarantine, it runs at targets that are known to bear it", t, func() {
		table := NewTable()
		for i, instance := range []string{"a", "b", "e"} {
			table.Merge(start, instance, crashed(int64(i), start, "v1", "bad"))
		}
		So(table.Place(after(time.Second), bad, "s", 4, mixed).Only, ShouldEqual, -1)
		ranOnV2(table)
		p := table.Place(after(2*time.Second), bad, "s", 4, mixed)
		So(p.Status, ShouldEqual, Quarantined)
		So(p.Allows(mixed, "c"), ShouldBeTrue)
		So(p.Allows(mixed, "a"), ShouldBeFalse)
	})
	Convey("A target without a known version is never spared", t, func() {
		table := NewTable()
		table.Merge(start, "a", crashed(1, start, "v1", "bad"))
		var own Report
		own.Add(nil, table.Clear(bad, Software{"s", ""})...)
		table.Merge(after(time.Second), "c", own)
		So(table.Place(after(2*time.Second), bad, "s", 4, candidatesOf("", "c")).Spared, ShouldBeEmpty)
	})
}
