package changelog

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestChangeLogIsBounded(t *testing.T) {
	Convey("The log holds the newest entries, is parsed as it was written, and reports how far back it reaches", t, func() {
		var log Log
		for after := range uint64(3 * MaxEntries) {
			log = log.Add(Entry{After: after + 1, By: "anna"})
		}
		text := Join(log, []byte("classes: []\n"))
		parsed, body := Split(text)
		So(string(body), ShouldEqual, "classes: []\n")
		So(parsed.Entries, ShouldResemble, log.Entries)
		So(len(parsed.Entries), ShouldEqual, MaxEntries)
		_, complete := parsed.Since(1)
		So(complete, ShouldBeFalse)
		_, complete = parsed.Since(3 * MaxEntries)
		So(complete, ShouldBeTrue)
	})
}
