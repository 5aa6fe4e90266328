package agent

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/rpc/peer"
)

// peerServer serves the control requests of other nodes.
type peerServer struct {
	agent *Agent
}

// PullConfig returns the version in force, and its document if it is newer than the
// peer's.
func (s *peerServer) PullConfig(_ context.Context, r *peer.PullConfigRequest) (*peer.PullConfigReply, error) {
	version, document := s.agent.configurations.newerDocument(epoch.Version(r.Version))
	return &peer.PullConfigReply{Version: uint64(version), Document: document}, nil
}

// ExchangeMembers merges the peer's table and returns the records that it lacks.
func (s *peerServer) ExchangeMembers(_ context.Context, r *peer.ExchangeMembersRequest) (*peer.ExchangeMembersReply, error) {
	packet, err := s.agent.members.merge(r.Packet)
	if err != nil {
		return nil, twirp.InvalidArgument.Errorf("packet: %v", err)
	}
	return &peer.ExchangeMembersReply{Packet: packet}, nil
}
