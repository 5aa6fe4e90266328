package changelog

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestChangeLogIsBounded(t *testing.T) {
	Convey("The log keeps the newest entries, reads them back, and knows how far it reaches", t, func() {
		var log Log
		for after := range uint64(3 * MaxEntries) {
			log = log.Add(Entry{After: after + 1, By: "anna"})
		}
		text := Join(log, []byte("classes: []\n"))
		again, body := Split(text)
		So(string(body), ShouldEqual, "classes: []\n")
		So(again.Entries, ShouldResemble, log.Entries)
		So(len(again.Entries), ShouldEqual, MaxEntries)
		_, complete := again.Since(1)
		So(complete, ShouldBeFalse)
		_, complete = again.Since(3 * MaxEntries)
		So(complete, ShouldBeTrue)
	})
}
