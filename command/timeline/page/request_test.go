package page

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/timeline"
)

func TestRequests(t *testing.T) {
	event := func(request call.RequestID, node fleet.InstanceID, kind timeline.Kind, operation string) timeline.Event {
		return timeline.Event{Request: request, Node: node, Kind: kind, Service: "search", Operation: operation, Class: "lookups"}
	}
	Convey("A request ends as its root call does, whatever its child calls and other tries do", t, func() {
		requests := requestsOf([]timeline.Event{
			event("r1", "entry", timeline.Received, "root"),
			event("r1", "other", timeline.Refused, "root"),
			event("r1", "target", timeline.Completed, "child"),
			event("r1", "target", timeline.Completed, "root"),
			event("r2", "entry", timeline.Received, "root"),
			event("r2", "entry", timeline.Refused, "child"),
			event("r3", "entry", timeline.Received, "root"),
			event("r3", "entry", timeline.Refused, "root"),
		})
		ends := make([]ending, 0, len(requests))
		for _, r := range requests {
			ends = append(ends, r.end)
		}
		So(ends, ShouldResemble, []ending{completed, open, refused})
	})
}
