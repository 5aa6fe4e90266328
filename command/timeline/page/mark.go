package page

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/timeline"
)

// mark is a fault or change that is drawn as a vertical line over all panels.
type mark struct {
	at    time.Time // of the first report
	kind  timeline.Kind
	text  string
	nodes int // number of reports
}

const (
	maxMarks   = 40
	markWindow = 5 * time.Second // events with the same text within it are one mark
)

// marks returns the faults and changes in the order of time. Events with the same
// text, which many nodes report, are merged into one mark.
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

// marked reports whether an event is drawn as a mark.
func marked(e *timeline.Event) bool {
	switch e.Kind {
	case timeline.PlatformOut, timeline.PlatformBack, timeline.PlatformRestored, timeline.ConfigLost,
		timeline.MemberLost, timeline.ConfigAccepted,
		timeline.ConfigRefused, timeline.NodeStopping, timeline.MemberDraining:
		return true
	case timeline.TargetState:
		return e.Detail == fleet.Draining.String()
	}
	return false
}

// markText describes an event. Reports of the same fault or change by several nodes
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
	case timeline.PlatformRestored:
		return "platform restored from a copy"
	case timeline.ConfigLost:
		return "inventory lost: " + e.Detail
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

// markColour returns the colour of faults, of recoveries, or of other changes, such
// as those by operators.
func markColour(kind timeline.Kind) string {
	switch kind {
	case timeline.PlatformOut, timeline.PlatformRestored, timeline.ConfigLost, timeline.MemberLost, timeline.ConfigRefused:
		return "#b3261e"
	case timeline.PlatformBack:
		return "#1b7f4b"
	default:
		return "#6b6b6b"
	}
}
