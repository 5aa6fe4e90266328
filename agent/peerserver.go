package agent

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/rpc/peer"
)

// peerServer answers what nodes ask of each other beside calls and probes.
type peerServer struct {
	agent *Agent
}

// PullConfig returns the configuration in force if it is newer than the asker's.
func (s *peerServer) PullConfig(_ context.Context, r *peer.PullConfigRequest) (*peer.PullConfigReply, error) {
	version, document := s.agent.configurations.newer(r.Version)
	return &peer.PullConfigReply{Version: version, Document: document}, nil
}

// ExchangeMembers takes in the asker's whole table and returns the own one.
func (s *peerServer) ExchangeMembers(_ context.Context, r *peer.ExchangeMembersRequest) (*peer.ExchangeMembersReply, error) {
	packet, err := s.agent.members.merge(r.Packet)
	if err != nil {
		return nil, twirp.InvalidArgument.Errorf("packet: %v", err)
	}
	return &peer.ExchangeMembersReply{Packet: packet}, nil
}

// IssueKeys issues keys that only this process can run.
func (s *peerServer) IssueKeys(_ context.Context, r *peer.IssueKeysRequest) (*peer.IssueKeysReply, error) {
	if r.Count < 1 || r.Count > maxIssuedKeys {
		return nil, twirp.InvalidArgument.Errorf("count: want a number from 1 to %d", maxIssuedKeys)
	}
	keys, err := s.agent.keyHome.issue(r.Service, int(r.Count))
	if err != nil {
		return nil, twirp.FailedPrecondition.Errorf("%v", err)
	}
	return &peer.IssueKeysReply{Node: string(s.agent.self.ID), Keys: keys}, nil
}

// issueKeys issues keys here, or at a node of the service.
func (a *Agent) issueKeys(ctx context.Context, service string, count int) ([]string, fleet.InstanceID, error) {
	if keys, err := a.keyHome.issue(service, count); err == nil {
		return keys, a.self.ID, nil
	}
	failure := twirp.Unavailable.Errorf("no live target offers service %q", service)
	for _, instance := range a.directory.service(service) {
		if !instance.State.Takes() {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		client := peer.NewPeerProtobufClient("http://"+instance.PeerAddress, a.controlHTTP)
		reply, err := client.IssueKeys(ctx, &peer.IssueKeysRequest{Service: service, Count: uint32(count)})
		cancel()
		if err == nil {
			return reply.Keys, fleet.InstanceID(reply.Node), nil
		}
	}
	return nil, "", failure
}
