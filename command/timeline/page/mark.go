package page

import (
	"fmt"

	"github.com/gypsumford/gypsumford/timeline"
)

// markText describes an event so that reports of the same thing by many nodes
// have the same text.
func markText(e *timeline.Event) string {
	switch e.Kind {
	case timeline.MemberLost:
		return "member lost: " + e.Detail
	case timeline.ConfigAccepted:
		return fmt.Sprintf("inventory version %.0f in force", e.Value)
	case timeline.ConfigRefused:
		return fmt.Sprintf("inventory version %.0f refused: %s", e.Value, e.Detail)
	case timeline.PlatformOut:
		return "platform out"
	case timeline.PlatformBack:
		return "platform back"
	case timeline.NodeStopping:
		return fmt.Sprintf("node %s stops", e.Node)
	case timeline.TargetState:
		return fmt.Sprintf("target of %s is %s", e.Node, e.Detail)
	default:
		return e.Kind.String() + " " + e.Detail
	}
}

// markColour tells faults from repairs and from changes that were asked for.
func markColour(kind timeline.Kind) string {
	switch kind {
	case timeline.PlatformOut, timeline.MemberLost, timeline.ConfigRefused:
		return "#b3261e"
	case timeline.PlatformBack:
		return "#1b7f4b"
	default:
		return "#6b6b6b"
	}
}
