// Package eventpb converts events and filters between package timeline and the messages
// of the operators' protocol.
package eventpb

import (
	"math"
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/rpc/operator"
	"github.com/gypsumford/gypsumford/timeline"
)

// FromEvents converts events to messages.
func FromEvents(events []timeline.Event) []*operator.Event {
	messages := make([]*operator.Event, 0, len(events))
	for i := range events {
		messages = append(messages, fromEvent(&events[i]))
	}
	return messages
}

// ToEvents converts messages to events. It leaves out messages of a kind that this
// version doesn't know and returns their number as unknown.
func ToEvents(messages []*operator.Event) (events []timeline.Event, unknown int) {
	events = make([]timeline.Event, 0, len(messages))
	for _, message := range messages {
		kind, ok := timeline.ParseKind(message.GetKind())
		if !ok || kind == timeline.NoKind {
			unknown++
			continue
		}
		events = append(events, toEvent(message, kind))
	}
	return events, unknown
}

// FilterOf returns the filter that a request states. ok is false if the request names
// a kind that doesn't exist, which is an error of the client.
func FilterOf(request *operator.TimelineRequest) (filter timeline.Filter, ok bool) {
	kind, ok := timeline.ParseKind(request.GetKind())
	return timeline.Filter{
		Request: call.RequestID(request.GetRequest()),
		Service: request.GetService(),
		Kind:    kind,
	}, ok
}

func fromEvent(e *timeline.Event) *operator.Event {
	return &operator.Event{
		Sequence:  e.Sequence,
		Lamport:   e.Lamport,
		UnixNanos: e.Time.UnixNano(),
		Node:      string(e.Node),
		Kind:      e.Kind.String(),
		Request:   string(e.Request),
		Service:   e.Service,
		Operation: e.Operation,
		Class:     e.Class,
		Detail:    e.Detail,
		Value:     e.Value,
	}
}

func toEvent(m *operator.Event, kind timeline.Kind) timeline.Event {
	return timeline.Event{
		Sequence:  m.GetSequence(),
		Lamport:   m.GetLamport(),
		Time:      time.Unix(0, m.GetUnixNanos()).UTC(),
		Node:      fleet.InstanceID(m.GetNode()),
		Kind:      kind,
		Request:   call.RequestID(m.GetRequest()),
		Service:   m.GetService(),
		Operation: m.GetOperation(),
		Class:     m.GetClass(),
		Detail:    m.GetDetail(),
		Value:     finite(m.GetValue()),
	}
}

// finite returns the value, or 0 for NaN and infinities, which JSON and plots can't show.
func finite(value float64) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return 0
	}
	return value
}
