package page

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/timeline"
)

// mark is an event that is drawn over all plots.
type mark struct {
	at    time.Time
	kind  timeline.Kind
	text  string
	nodes int // that reported it
}

// Bounds on marks.
const (
	mostMarks  = 40
	markWindow = 5 * time.Second // in which reports of many nodes count as one
)

// marks returns the faults and changes of state, reports of many nodes as one.
func marks(events []timeline.Event) []mark {
	var found []mark
	for i := range events {
		e := &events[i]
		if !marked(e) {
			continue
		}
		text := markText(e)
		same := slices.IndexFunc(found, func(m mark) bool {
			return m.text == text && e.Time.Sub(m.at).Abs() < markWindow
		})
		if same >= 0 {
			found[same].nodes++
			if e.Time.Before(found[same].at) {
				found[same].at = e.Time
			}
			continue
		}
		found = append(found, mark{at: e.Time, kind: e.Kind, text: text, nodes: 1})
	}
	slices.SortStableFunc(found, func(a, b mark) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return found
}

// marked reports whether an event is a fault or a change that is drawn.
func marked(e *timeline.Event) bool {
	switch e.Kind {
	case timeline.PlatformOut, timeline.PlatformBack, timeline.MemberLost, timeline.ConfigAccepted,
		timeline.ConfigRefused, timeline.NodeStopping, timeline.MemberDraining:
		return true
	case timeline.TargetState:
		return e.Detail == fleet.Draining.String()
	}
	return false
}

// markText describes an event so that reports of the same thing by many nodes
// have the same text.
func markText(e *timeline.Event) string {
	switch e.Kind {
	case timeline.MemberLost:
		return "member lost: " + e.Detail
	case timeline.MemberDraining:
		return "member draining: " + e.Detail
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
