package changelog

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/epoch"
)

// revision returns a revision of epoch 4.
func revision(number uint64) epoch.Revision { return epoch.Revision{Epoch: 4, Number: number} }

// Guards against a log that is read as if revisions of a lost history were those of this one.
func TestRevisionsOfAnotherEpoch(t *testing.T) {
	Convey("The log doesn't reach back to a revision of another epoch", t, func() {
		log := Log{Revision: revision(13)}.Add(Entry{After: revision(12), By: "anna"})
		_, complete := log.Since(revision(12))
		So(complete, ShouldBeTrue)
		_, complete = log.Since(epoch.Revision{Epoch: 3, Number: 12})
		So(complete, ShouldBeFalse)
	})
	Convey("Lines without an epoch, as earlier versions write them, are of an unknown one", t, func() {
		log, _ := Split([]byte("#: version 13\n#: after 12 by anna at 2026-03-01T09:30:00Z\nclasses: []\n"))
		So(log.Revision, ShouldResemble, epoch.Revision{Number: 13})
		So(log.Entries[0].After, ShouldResemble, epoch.Revision{Number: 12})
	})
	Convey("The epoch of the version line is parsed as it was written", t, func() {
		log, _ := Split(Join(Log{Revision: revision(13)}, nil))
		So(log.Revision, ShouldResemble, revision(13))
	})
}

func TestChangeLogIsBounded(t *testing.T) {
	Convey("The log holds the newest entries, is parsed as it was written, and reports how far back it reaches", t, func() {
		var log Log
		for after := range uint64(3 * MaxEntries) {
			log = log.Add(Entry{After: revision(after + 1), By: "anna"})
		}
		text := Join(log, []byte("classes: []\n"))
		parsed, body := Split(text)
		So(string(body), ShouldEqual, "classes: []\n")
		So(parsed.Entries, ShouldResemble, log.Entries)
		So(len(parsed.Entries), ShouldEqual, MaxEntries)
		_, complete := parsed.Since(revision(1))
		So(complete, ShouldBeFalse)
		_, complete = parsed.Since(revision(3 * MaxEntries))
		So(complete, ShouldBeTrue)
	})
}
