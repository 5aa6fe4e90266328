package membership

import (
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

// probe is a ping that has no ack yet.
type probe struct {
	ref      reference
	sequence uint32
	sent     time.Duration
	indirect bool // other members were requested to ping, too
}

// relay is a ping that the node sent on behalf of another one.
type relay struct {
	sequence          uint32
	requester         string // address of the node that requested it
	requesterSequence uint32
	sent              time.Duration
}

// startProbes starts the probes that are due, and some of disputed members.
func (t *Table) startProbes(out []Message) []Message {
	if t.self.health == left {
		return out
	}
	gap := t.cfg.ProbeInterval / (MonitoredSuccessors + 1)
	for t.now >= t.nextProbe {
		t.nextProbe += gap
		out = t.probeNext(out)
	}
	for range min(disputedPerTick, len(t.disputed)) {
		ref := t.disputed[0]
		t.disputed = t.disputed[1:]
		out = t.probeDisputed(out, ref)
	}
	return out
}

// probeDisputed pings a disputed member (see markDisputed).
func (t *Table) probeDisputed(out []Message, ref reference) []Message {
	r, ok := t.members.get(ref)
	if ok && r.health == dead {
		return t.pingDead(out, ref)
	}
	return t.probe(out, ref)
}

// probeNext probes the member whose turn it is: each of the successors, then a random
// member, which may be a dead one.
func (t *Table) probeNext(out []Message) []Message {
	turn := t.probeTurn
	t.probeTurn = (turn + 1) % (MonitoredSuccessors + 1)
	if turn < MonitoredSuccessors {
		monitored := t.members.successors(t.self.identity.ref, turn+1)
		if turn < len(monitored) {
			return t.probe(out, monitored[turn].identity.ref)
		}
		return out
	}
	if ref, ok := t.randomDead(); ok {
		return t.pingDead(out, ref)
	}
	if r, ok := t.randomLive(); ok {
		return t.probe(out, r.identity.ref)
	}
	return out
}

func (t *Table) randomLive() (record, bool) {
	return t.members.random(t.rng, func(r *record) bool {
		return r.live() && r.identity.ref != t.self.identity.ref
	})
}

// randomDead returns a random dead member in one of deadProbeEvery calls, and none in
// the others.
func (t *Table) randomDead() (reference, bool) {
	if len(t.dead) == 0 || t.rng.IntN(deadProbeEvery) != 0 {
		return 0, false
	}
	ref := t.dead[t.rng.IntN(len(t.dead))]
	r, ok := t.members.get(ref)
	return ref, ok && r.health == dead
}

// pingDead pings a dead member. If the member is alive, it refutes the claim in the
// ping, so the node needs no ack and doesn't record a probe.
func (t *Table) pingDead(out []Message, ref reference) []Message {
	r, _ := t.members.get(ref)
	t.sequence++
	return t.ping(out, &r, t.sequence)
}

// probe pings a live member unless a probe of it is in flight.
func (t *Table) probe(out []Message, ref reference) []Message {
	r, ok := t.members.get(ref)
	if !ok || !r.live() || ref == t.self.identity.ref || len(t.probes) >= maxProbes {
		return out
	}
	if slices.ContainsFunc(t.probes, func(p probe) bool { return p.ref == ref }) {
		return out
	}
	t.counters.Probes++
	t.sequence++
	t.probes = append(t.probes, probe{ref: ref, sequence: t.sequence, sent: t.now})
	return t.ping(out, &r, t.sequence)
}

func (t *Table) ping(out []Message, r *record, sequence uint32) []Message {
	p := t.packet(pb.Kind_KIND_PING)
	p.To = uint64(r.identity.ref)
	p.Sequence = sequence
	if r.health != alive {
		t.addClaimAbout(p, r)
	}
	t.piggyback(p)
	return t.send(out, r.identity.address, p)
}

// addClaimAbout adds a claim about a member to a packet, even if the member is dead,
// which is otherwise never sent.
func (t *Table) addClaimAbout(p *pb.Packet, r *record) {
	c := claimOf(r, t.now, t.cfg.SuspicionTimeout)
	addClaim(p, &c)
}

// checkProbes probes indirectly after directTimeout without an ack, and suspects the
// member after probeTimeout.
func (t *Table) checkProbes(out []Message) []Message {
	var failed []reference
	t.probes = slices.DeleteFunc(t.probes, func(p probe) bool {
		if t.now-p.sent < probeTimeout {
			return false
		}
		failed = append(failed, p.ref)
		return true
	})
	for _, ref := range failed {
		t.markSuspect(ref)
	}
	for i := range t.probes {
		p := &t.probes[i]
		if !p.indirect && t.now-p.sent >= directTimeout {
			out = t.probeIndirectly(out, p)
		}
	}
	t.relays = slices.DeleteFunc(t.relays, func(r relay) bool { return t.now-r.sent > relayLifetime })
	return out
}

func (t *Table) markSuspect(ref reference) {
	t.counters.ProbeFailures++
	r, ok := t.members.get(ref)
	if !ok || r.health != alive || t.isolated() {
		return
	}
	before := r
	r.health = suspect
	r.healthSince = t.now
	r.suspicionEnd = t.now + t.cfg.SuspicionTimeout
	t.store(&before, &r, false)
}

// probeIndirectly pings a member again and requests indirectProbes other members to
// ping it.
func (t *Table) probeIndirectly(out []Message, p *probe) []Message {
	p.indirect = true
	r, ok := t.members.get(p.ref)
	if !ok || !r.live() {
		return out
	}
	out = t.ping(out, &r, p.sequence)
	for range indirectProbes {
		relayer, ok := t.randomLive()
		if !ok || relayer.identity.ref == p.ref {
			continue
		}
		request := t.packet(pb.Kind_KIND_PING_REQUEST)
		request.Sequence = p.sequence
		request.Subject = uint64(p.ref)
		out = t.send(out, relayer.identity.address, request)
	}
	return out
}

// ProbeNow probes a member at once, directly and through others. The daemon calls it
// when a connection to the member fails.
func (t *Table) ProbeNow(now time.Time, id fleet.InstanceID) []Message {
	t.setNow(now)
	started := len(t.probes)
	out := t.probe(nil, referenceOf(id))
	if len(t.probes) > started {
		out = t.probeIndirectly(out, &t.probes[started])
	}
	return out
}

// sendAck replies to a ping. If the sender is not alive in this node's table, the ack
// carries the claim about it, so that the sender can refute it. If the ping carried a
// claim about this node, the ack also carries this node's own claim.
func (t *Table) sendAck(out []Message, p *pb.Packet, from string) []Message {
	ack := t.packet(pb.Kind_KIND_ACK)
	ack.Sequence = p.Sequence
	ack.To = p.From
	ack.Subject = uint64(t.self.identity.ref)
	if sender, ok := t.members.get(reference(p.From)); ok && sender.health != alive {
		t.addClaimAbout(ack, &sender)
	}
	if slices.Contains(p.References, uint64(t.self.identity.ref)) {
		t.addClaimAbout(ack, &t.self)
	}
	t.piggyback(ack)
	return t.send(out, from, ack)
}

// relayPing pings a member on behalf of another node. It pings only members that the
// table holds, at their address in the table.
func (t *Table) relayPing(out []Message, p *pb.Packet, from string) []Message {
	r, ok := t.members.get(reference(p.Subject))
	if !ok || len(t.relays) >= maxRelays || t.self.health == left {
		return out
	}
	if r.identity.ref == t.self.identity.ref {
		return t.sendAck(out, p, from)
	}
	t.sequence++
	t.relays = append(t.relays, relay{
		sequence:          t.sequence,
		requester:         from,
		requesterSequence: p.Sequence,
		sent:              t.now,
	})
	return t.ping(out, &r, t.sequence)
}

// handleAck ends the probe that the ack belongs to, or relays the ack. An ack from
// another instance than the one probed means that this instance has replaced it at
// the address.
func (t *Table) handleAck(out []Message, p *pb.Packet, from string) []Message {
	i := slices.IndexFunc(t.probes, func(probe probe) bool { return probe.sequence == p.Sequence })
	if i < 0 {
		out = t.relayAck(out, p)
		return t.maybeSync(out, p, from)
	}
	probed := t.probes[i].ref
	t.probes = slices.Delete(t.probes, i, i+1)
	if r, ok := t.members.get(probed); ok && r.live() && reference(p.Subject) != probed && p.Subject != 0 {
		t.markLeft(&r)
	}
	return t.maybeSync(out, p, from)
}

// relayAck sends an ack of a relayed ping to the node that requested the ping.
func (t *Table) relayAck(out []Message, p *pb.Packet) []Message {
	i := slices.IndexFunc(t.relays, func(r relay) bool { return r.sequence == p.Sequence })
	if i < 0 {
		return out
	}
	relayed := t.relays[i]
	t.relays = slices.Delete(t.relays, i, i+1)
	ack := t.packet(pb.Kind_KIND_ACK)
	ack.Sequence = relayed.requesterSequence
	ack.Subject = p.From
	return t.send(out, relayed.requester, ack)
}
