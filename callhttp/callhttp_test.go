package callhttp

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/call"
)

func TestFields(t *testing.T) {
	Convey("One error names every invalid header", t, func() {
		header := http.Header{}
		header.Set(HeaderTimeout, "soon")
		header.Set(HeaderCaller, strings.Repeat("x", MaxNameBytes+1))
		_, err := ReadFields(header)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, HeaderTimeout)
		So(err.Error(), ShouldContainSubstring, HeaderCaller)
	})
	Convey("Retry-After is rounded up to whole seconds", t, func() {
		header := http.Header{}
		WriteRetryAfter(header, 1001*time.Millisecond)
		So(header.Get(HeaderRetryAfter), ShouldEqual, "2")
		So(ReadRetryAfter(header), ShouldEqual, 1001*time.Millisecond)
	})
}

func TestEnvelope(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("An envelope is unchanged after it was written and read", t, func() {
		sent := Envelope{Instance: "node-1", Lamport: 7, Call: call.Call{
			Request: "r1", Caller: "parish", Deadline: now.Add(250 * time.Millisecond),
			Class: 2, Rank: call.RankOf("r1"), Grant: 12, Depth: 3,
		}}
		header := http.Header{}
		WriteEnvelope(header, now, &sent)
		got, err := ReadEnvelope(header, now)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, sent)
	})
	Convey("A missing number is an error", t, func() {
		_, err := ReadEnvelope(http.Header{}, now)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, HeaderGrant)
	})
}

func TestCopyHeader(t *testing.T) {
	Convey("Only end-to-end headers are copied", t, func() {
		src := http.Header{}
		src.Set("Content-Type", "text/plain")
		src.Set("Connection", "close, X-Secret")
		src.Set("X-Secret", "1")
		src.Set(HeaderGrant, "1000")
		dst := http.Header{}
		CopyHeader(dst, src)
		So(dst, ShouldResemble, http.Header{"Content-Type": {"text/plain"}})
	})
}

func TestLoad(t *testing.T) {
	Convey("A load is unchanged after it was written and parsed, and invalid text gives no load", t, func() {
		load, ok := ParseLoad(Load{Running: 3, Limit: 70, Queued: 12}.String())
		So(ok, ShouldBeTrue)
		So(load, ShouldResemble, Load{Running: 3, Limit: 70, Queued: 12})
		for _, bad := range []string{"", "1/2", "1/2/x", "-1/2/3"} {
			_, ok := ParseLoad(bad)
			So(ok, ShouldBeFalse)
		}
	})
}
