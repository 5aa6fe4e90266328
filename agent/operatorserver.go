package agent

import (
	"context"
	"expvar"
	"slices"
	"strings"

	"github.com/twitchtv/twirp"

	"github.com/gypsumford/gypsumford/agent/metrics"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/rpc/operator"
	"github.com/gypsumford/gypsumford/timeline"
	"github.com/gypsumford/gypsumford/timeline/eventpb"
)

const (
	// maxListedMembers caps the members in one response.
	maxListedMembers = 25_000
	// maxListedEvents caps the events in one response.
	maxListedEvents = 10_000
)

// operatorServer serves the requests of gypsumctl.
type operatorServer struct {
	agent *Agent
}

// Status returns the state of the node and, if requested, the members of the fleet.
func (s *operatorServer) Status(_ context.Context, r *operator.StatusRequest) (*operator.StatusReply, error) {
	a := s.agent
	reply := &operator.StatusReply{
		Node: string(a.self.ID), PeerAddress: a.self.PeerAddress, CallAddress: a.callAddress(),
		FailureDomain: string(a.self.FailureDomain), Region: string(a.self.Region),
		ConfigVersion: uint64(a.config.version()), Target: s.target(), Classes: s.classes(),
		MemberTotal: uint32(a.members.len()), UptimeSeconds: a.now().Sub(a.started).Seconds(),
		Ready: a.serving(),
	}
	if r.WithMembers {
		reply.Members = s.members(int(r.MemberLimit))
	}
	return reply, nil
}

func (s *operatorServer) target() *operator.TargetStatus {
	service, address, state := s.agent.target.get()
	if service == "" {
		return nil
	}
	stats := s.agent.delivery.stats()
	level := s.agent.levelStatus()
	return &operator.TargetStatus{
		Service: service, Address: address, State: state.String(), Slots: uint32(s.agent.slotsOf(service)),
		Limit: uint32(stats.Limit), Running: uint32(stats.Running), Queued: uint32(stats.Queued),
		AdmittedShare: level.share, StrictestClass: level.class,
	}
}

func (s *operatorServer) classes() []*operator.ClassCount {
	config := s.agent.config.get()
	if config == nil {
		return nil
	}
	var counts []*operator.ClassCount
	for _, class := range append(slices.Clone(config.inventory.Classes), unranked) {
		counts = append(counts, s.class(class))
	}
	return counts
}

func (s *operatorServer) class(class string) *operator.ClassCount {
	outcomes := s.agent.metrics.Outcomes
	count := &operator.ClassCount{
		Class:     class,
		Completed: metrics.Value(outcomes, class+"/"+call.Completed.String()),
		Unknown:   metrics.Value(outcomes, class+"/"+call.Unknown.String()),
	}
	s.agent.metrics.Refusals.Do(func(kv expvar.KeyValue) {
		if reason, ok := strings.CutPrefix(kv.Key, class+"/"); ok {
			refused := metrics.Value(s.agent.metrics.Refusals, kv.Key)
			count.Refusals = append(count.Refusals, &operator.Refusal{Reason: reason, Count: refused})
		}
	})
	return count
}

func (s *operatorServer) members(limit int) []*operator.Member {
	if limit <= 0 || limit > maxListedMembers {
		limit = maxListedMembers
	}
	all := s.agent.members.all()
	slices.SortFunc(all, func(x, y fleet.Instance) int { return strings.Compare(string(x.ID), string(y.ID)) })
	all = all[:min(len(all), limit)]
	list := make([]*operator.Member, 0, len(all))
	for _, m := range all {
		list = append(list, &operator.Member{
			Node: string(m.ID), PeerAddress: m.PeerAddress, FailureDomain: string(m.FailureDomain),
			Region: string(m.Region), Service: m.Service, State: m.State.String(), Incarnation: m.Incarnation,
		})
	}
	return list
}

// Timeline returns events from the node's timeline.
func (s *operatorServer) Timeline(_ context.Context, r *operator.TimelineRequest) (*operator.TimelineReply, error) {
	filter, ok := eventpb.FilterOf(r)
	if !ok {
		return nil, twirp.InvalidArgument.Errorf("kind %q: unknown", r.Kind)
	}
	limit := int(r.Limit)
	if limit <= 0 || limit > maxListedEvents {
		limit = maxListedEvents
	}
	events, dropped := s.agent.ring.after(r.After, filter, limit)
	return &operator.TimelineReply{
		Node: string(s.agent.self.ID), Events: eventpb.FromEvents(events), Dropped: dropped,
	}, nil
}

// Drain drains the node's target.
func (s *operatorServer) Drain(_ context.Context, r *operator.DrainRequest) (*operator.DrainReply, error) {
	s.agent.ring.record(timeline.Event{Kind: timeline.TargetState, Detail: "drain asked by " + r.By})
	s.agent.target.drain()
	_, _, state := s.agent.target.get()
	running := uint32(s.agent.delivery.stats().Running)
	return &operator.DrainReply{State: state.String(), Running: running}, nil
}
