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
	Convey("The outcome of a request is that of its root call, whatever its child calls and other attempts do", t, func() {
		requests := requestsOf([]timeline.Event{
			event("r1", "entry", timeline.Received, "root"),
			event("r1", "other", timeline.Refused, "root"),
			event("r1", "target", timeline.Completed, "child"),
			event("r1", "target", timeline.Completed, "root"),
			event("r2", "entry", timeline.Received, "root"),
			event("r2", "entry", timeline.Refused, "child"),
			event("r3", "entry", timeline.Received, "root"),
			event("r3", "entry", timeline.Refused, "root"),
			event("r4", "entry", timeline.Received, "root"),
			withDetail(event("r4", "target", timeline.Completed, "root"), "502"),
			event("r5", "entry", timeline.Received, "root"),
			withDetail(event("r5", "target", timeline.Completed, "root"), "200"),
			withDetail(event("r5", "other", timeline.Completed, "root"), "503"),
		})
		outcomes := make([]outcome, 0, len(requests))
		for _, r := range requests {
			outcomes = append(outcomes, r.outcome)
		}
		So(outcomes, ShouldResemble, []outcome{completed, undetermined, refused, failed, completed})
	})
}

func withDetail(e timeline.Event, detail string) timeline.Event {
	e.Detail = detail
	return e
}
