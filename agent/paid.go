package agent

import (
	"context"
	"slices"

	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/agent/link"
	"github.com/gypsumford/gypsumford/agent/metrics"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/claim"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/inventory"
)

// maxHomeTries bounds the homes that one node asks about one key.
const maxHomeTries = 3

// paidRouter brings calls of at-most-once operations to the home of their key.
type paidRouter struct {
	self       fleet.InstanceID
	directory  *directory
	dispatcher *dispatcher
	link       *link.Link
	home       *keyHome // keys whose home is this node
	ring       *ringTable
	metrics    *metrics.Set
}

// route brings the call to the home of its key.
func (p *paidRouter) route(ctx context.Context, r *exchange.Request, op *inventory.Operation) *exchange.Reply {
	key, err := claim.ParseKey(r.Call.Key)
	if err != nil {
		p.metrics.BadInput.Add("key", 1)
		return exchange.Refuse(call.ReasonKey, 0, r.Call.Grant)
	}
	key = key.For(r.Call.Caller, r.Call.Operation)
	ctx, cancel := context.WithDeadline(ctx, r.Call.Deadline.Add(answerGrace))
	reply := p.routeKey(ctx, r, op, key)
	reply.Body = closeAfter(reply.Body, cancel)
	return reply
}

// routeKey asks the key's home. When a home can't be reached or is lost, the
// next one may be asked: the claim keeps the key from running twice.
func (p *paidRouter) routeKey(ctx context.Context, r *exchange.Request, op *inventory.Operation, key claim.Key) *exchange.Reply {
	var excluded []fleet.InstanceID
	lost := false
	var reply *exchange.Reply
	for range maxHomeTries {
		home, ok := p.homeOf(r.Call.Service, key, excluded)
		if !ok {
			break
		}
		reply = p.ask(ctx, home, r, op, key)
		if reply.Outcome == call.Completed {
			return reply
		}
		lost = lost || reply.Outcome == call.Unknown
		if ctx.Err() != nil || !mayAskNextHome(reply) {
			break
		}
		excluded = append(excluded, home.ID)
	}
	return p.conclude(r, key, reply, lost)
}

// mayAskNextHome reports whether another home may know more: this one was not
// reached, is leaving, or was lost before it answered.
func mayAskNextHome(reply *exchange.Reply) bool {
	return reply.ConnectFailed || reply.Draining || reply.NoAnswer || reply.Reason == call.ReasonNoTarget
}

// conclude is the answer to a call that no home completed.
func (p *paidRouter) conclude(r *exchange.Request, key claim.Key, reply *exchange.Reply, lost bool) *exchange.Reply {
	_, issued := key.Issuer()
	if lost || (issued && (reply == nil || reply.ConnectFailed)) {
		return exchange.Lost() // only the issuer knows whether the key ran
	}
	if reply == nil {
		return exchange.Refuse(call.ReasonNoTarget, noTargetRetryAfter, r.Call.Grant)
	}
	return reply
}

// homeOf returns the instance that decides over the key.
func (p *paidRouter) homeOf(service string, key claim.Key, excluded []fleet.InstanceID) (fleet.Instance, bool) {
	if issuer, ok := key.Issuer(); ok {
		home, known := p.directory.instance(issuer)
		return home, known && !slices.Contains(excluded, issuer)
	}
	candidates := make([]fleet.Instance, 0, 16)
	for _, instance := range p.directory.service(service) {
		if !slices.Contains(excluded, instance.ID) {
			candidates = append(candidates, instance)
		}
	}
	return claim.HomeOf(service, key.Shard(), candidates)
}

func (p *paidRouter) ask(ctx context.Context, home fleet.Instance, r *exchange.Request, op *inventory.Operation, key claim.Key) *exchange.Reply {
	if home.ID == p.self {
		return p.home.serve(ctx, r, op, key)
	}
	reply := p.link.Peer(ctx, home, link.HomePath, r, p.ring.lamport())
	p.ring.observe(reply.Lamport)
	p.dispatcher.levels.observe(p.dispatcher.now(), &r.Call, reply.Level)
	if reply.ConnectFailed {
		p.dispatcher.unreachable(home.ID)
	}
	return reply
}
