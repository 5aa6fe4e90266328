package agent

import (
	"context"

	"github.com/gypsumford/gypsumford/agent/bus"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/timeline"
)

// announce publishes a change on the bus.
func (a *Agent) announce(announcement bus.Announcement) {
	announcement.Time = a.now()
	if err := a.bus.Publish(announcement); err != nil {
		a.log.V(1).Info("announcement lost", "what", announcement.What, "error", err.Error())
	}
}

// watchAdmission returns a function that announces what has changed in the state of
// admission since its last call.
func (a *Agent) watchAdmission() func() {
	var last admissionState
	return func() {
		current := a.delivery.admissionState()
		service, _, _ := a.target.get()
		if service == "" {
			return
		}
		if current.limit != last.limit {
			a.announce(bus.Announcement{
				Topic: bus.TopicLimit, What: "limit-changed", Service: service, Value: float64(current.limit),
			})
		}
		if current.refuses != last.refuses || current.class != last.class {
			a.announceLevel(service, current)
		}
		last = current
	}
}

func (a *Agent) announceLevel(service string, current admissionState) {
	change := bus.Announcement{Topic: bus.TopicLimit, What: "level-changed", Service: service, Value: 1}
	if current.refuses {
		status := a.levelStatus()
		change.Detail, change.Value = status.class, status.share
	}
	a.announce(change)
}

// levelStatus is the level for unnamed callers, as shown to operators.
type levelStatus struct {
	class string  // class that is refused in part, "" if none is
	share float64 // admitted fraction of that class's ranks, 0 to 1
}

func (a *Agent) levelStatus() levelStatus {
	level := a.delivery.level("")
	if level == call.AdmitAll {
		return levelStatus{share: 1}
	}
	boundary := call.Priority(level)
	return levelStatus{
		class: a.config.get().className(boundary.Class()),
		share: float64(boundary.Rank()) / float64(call.RankCount),
	}
}

// subscribe records announced changes on the timeline and in the log.
func (a *Agent) subscribe(ctx context.Context) error {
	for _, topic := range bus.Topics() {
		if err := a.bus.Subscribe(ctx, topic, a.recordAnnouncement); err != nil {
			return err
		}
	}
	return nil
}

// eventKinds maps announced changes to the kinds of timeline events.
var eventKinds = map[string]timeline.Kind{
	"config-accepted":   timeline.ConfigAccepted,
	"config-refused":    timeline.ConfigRefused,
	"member-starting":   timeline.MemberJoined,
	"member-ready":      timeline.MemberReady,
	"member-draining":   timeline.MemberDraining,
	"member-suspect":    timeline.MemberSuspect,
	"member-dead":       timeline.MemberLost,
	"member-left":       timeline.MemberLost,
	"target-state":      timeline.TargetState,
	"limit-changed":     timeline.LimitChanged,
	"level-changed":     timeline.LevelChanged,
	"config-lost":       timeline.ConfigLost,
	"platform-out":      timeline.PlatformOut,
	"platform-back":     timeline.PlatformBack,
	"platform-restored": timeline.PlatformRestored,
}

func (a *Agent) recordAnnouncement(change bus.Announcement) {
	a.log.Info(change.What, "topic", change.Topic, "subject", change.Subject,
		"service", change.Service, "detail", change.Detail, "value", change.Value)
	detail := change.Subject
	if change.Detail != "" {
		detail = change.Detail
	}
	kind, isEvent := eventKinds[change.What]
	if !isEvent {
		return // only logged
	}
	a.ring.record(timeline.Event{
		Kind: kind, Service: change.Service, Detail: detail, Value: change.Value,
	})
}
