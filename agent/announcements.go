package agent

import (
	"context"

	"github.com/gypsumford/gypsumford/agent/bus"
	"github.com/gypsumford/gypsumford/timeline"
)

// announce publishes a change to those who act on it.
func (a *Agent) announce(announcement bus.Announcement) {
	announcement.Time = a.now()
	if err := a.bus.Publish(announcement); err != nil {
		a.log.V(1).Info("announcement lost", "what", announcement.What, "error", err.Error())
	}
}

// subscribe writes announced changes to the time line and to the log.
func (a *Agent) subscribe(ctx context.Context) error {
	for _, topic := range bus.Topics() {
		if err := a.bus.Subscribe(ctx, topic, a.recordChange); err != nil {
			return err
		}
	}
	return nil
}

// eventKinds maps announced changes to the kinds of the time line.
var eventKinds = map[string]timeline.Kind{
	"config-accepted": timeline.ConfigAccepted,
	"config-refused":  timeline.ConfigRefused,
	"member-starting": timeline.MemberJoined,
	"member-ready":    timeline.MemberJoined,
	"member-draining": timeline.TargetState,
	"member-suspect":  timeline.MemberSuspect,
	"member-dead":     timeline.MemberLost,
	"member-left":     timeline.MemberLost,
	"target-state":    timeline.TargetState,
	"limit-changed":   timeline.LimitChanged,
	"level-changed":   timeline.LevelChanged,
	"platform-out":    timeline.PlatformOut,
	"platform-back":   timeline.PlatformBack,
}

func (a *Agent) recordChange(change bus.Announcement) {
	a.log.Info(change.What, "topic", change.Topic, "subject", change.Subject,
		"service", change.Service, "detail", change.Detail, "value", change.Value)
	detail := change.Subject
	if change.Detail != "" {
		detail = change.Detail
	}
	a.ring.record(timeline.Event{
		Kind: eventKinds[change.What], Service: change.Service, Detail: detail, Value: change.Value,
	})
}
