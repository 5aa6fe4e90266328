package membership

import (
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

// probe is a ping that was not answered yet.
type probe struct {
	ref      reference
	sequence uint32
	sent     time.Duration
	indirect bool // other members were asked
}

// relay is a ping that the node sent for another one.
type relay struct {
	sequence       uint32
	origin         string // address of who asked
	originSequence uint32
	sent           time.Duration
}

// startProbes begins the probes that are due.
func (t *Table) startProbes(out []Message) []Message {
	if t.self.health == left {
		return out
	}
	gap := t.cfg.ProbeInterval / (Monitored + 1)
	for t.now >= t.nextProbe {
		t.nextProbe += gap
		out = t.probeSlotMember(out)
	}
	for range min(doubtsPerTick, len(t.doubts)) {
		ref := t.doubts[0]
		t.doubts = t.doubts[1:]
		out = t.probeDoubted(out, ref)
	}
	return out
}

// probeDoubted probes a member of whom another node holds the opposite.
func (t *Table) probeDoubted(out []Message, ref reference) []Message {
	r, ok := t.members.get(ref)
	if ok && r.health == dead {
		return t.pingDead(out, ref)
	}
	return t.probe(out, ref)
}

// probeSlotMember probes the member whose turn it is: one of the successors or a
// random one.
func (t *Table) probeSlotMember(out []Message) []Message {
	slot := t.probeSlot
	t.probeSlot = (slot + 1) % (Monitored + 1)
	if slot < Monitored {
		monitored := t.members.successors(t.self.who.ref, slot+1)
		if slot < len(monitored) {
			return t.probe(out, monitored[slot].who.ref)
		}
		return out
	}
	if ref, ok := t.randomDead(); ok {
		return t.pingDead(out, ref)
	}
	if r, ok := t.randomLive(); ok {
		return t.probe(out, r.who.ref)
	}
	return out
}

func (t *Table) randomLive() (record, bool) {
	return t.members.random(t.rng, func(r *record) bool {
		return r.live() && r.who.ref != t.self.who.ref
	})
}

// randomDead returns a dead member in one call of deadRetryShare.
func (t *Table) randomDead() (reference, bool) {
	if len(t.dead) == 0 || t.rng.IntN(deadRetryShare) != 0 {
		return 0, false
	}
	ref := t.dead[t.rng.IntN(len(t.dead))]
	r, ok := t.members.get(ref)
	return ref, ok && r.health == dead
}

// pingDead asks a dead member whether it is. Its answer is a refutation, so the
// node does not wait for one.
func (t *Table) pingDead(out []Message, ref reference) []Message {
	r, _ := t.members.get(ref)
	t.sequence++
	return t.ping(out, &r, t.sequence)
}

// probe pings a member unless a probe of it is under way.
func (t *Table) probe(out []Message, ref reference) []Message {
	r, ok := t.members.get(ref)
	if !ok || !r.live() || ref == t.self.who.ref || len(t.probes) >= maxProbes {
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
	p.To = uint64(r.who.ref)
	p.Sequence = sequence
	if r.health != alive {
		t.addBelief(p, r)
	}
	t.piggyback(p)
	return t.send(out, r.who.address, p)
}

// addBelief adds what the table holds of a member, also that it is dead.
func (t *Table) addBelief(p *pb.Packet, r *record) {
	c := claimOf(r, t.now, t.cfg.Suspicion)
	addClaim(p, &c)
}

// checkProbes repeats probes that were not answered, and suspects the members
// that did not answer at all.
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
		t.suspect(ref)
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

func (t *Table) suspect(ref reference) {
	t.counters.ProbeFailures++
	r, ok := t.members.get(ref)
	if !ok || r.health != alive || t.isolated() {
		return
	}
	before := r
	r.health = suspect
	r.since = t.now
	r.deadline = t.now + t.cfg.Suspicion
	t.store(&before, &r, false)
}

// probeIndirectly pings once more and asks other members to.
func (t *Table) probeIndirectly(out []Message, p *probe) []Message {
	p.indirect = true
	r, ok := t.members.get(p.ref)
	if !ok || !r.live() {
		return out
	}
	out = t.ping(out, &r, p.sequence)
	for range indirectProbes {
		helper, ok := t.randomLive()
		if !ok || helper.who.ref == p.ref {
			continue
		}
		request := t.packet(pb.Kind_KIND_PING_REQUEST)
		request.Sequence = p.sequence
		request.Subject = uint64(p.ref)
		out = t.send(out, helper.who.address, request)
	}
	return out
}

// NoteUnreachable has a member probed now, directly and through others, because a
// connection to it failed.
func (t *Table) NoteUnreachable(now time.Time, id fleet.InstanceID) []Message {
	t.clock(now)
	started := len(t.probes)
	out := t.probe(nil, referenceOf(id))
	if len(t.probes) > started {
		out = t.probeIndirectly(out, &t.probes[started])
	}
	return out
}

func (t *Table) answerPing(out []Message, p *pb.Packet, from string) []Message {
	ack := t.packet(pb.Kind_KIND_ACK)
	ack.Sequence = p.Sequence
	ack.To = p.From
	ack.Subject = uint64(t.self.who.ref)
	if sender, ok := t.members.get(reference(p.From)); ok && sender.health != alive {
		t.addBelief(ack, &sender)
	}
	if slices.Contains(p.References, uint64(t.self.who.ref)) {
		t.addBelief(ack, &t.self)
	}
	t.piggyback(ack)
	return t.send(out, from, ack)
}

// relayPing pings a member for another node. Only members that the table holds
// are pinged, at the address that it holds.
func (t *Table) relayPing(out []Message, p *pb.Packet, from string) []Message {
	r, ok := t.members.get(reference(p.Subject))
	if !ok || len(t.relays) >= maxRelays || t.self.health == left {
		return out
	}
	if r.who.ref == t.self.who.ref {
		return t.answerPing(out, p, from)
	}
	t.sequence++
	t.relays = append(t.relays, relay{
		sequence:       t.sequence,
		origin:         from,
		originSequence: p.Sequence,
		sent:           t.now,
	})
	return t.ping(out, &r, t.sequence)
}

// receiveAck ends the probe that the ack answers, or passes the ack on. An ack by
// another instance than the one probed means that this one has its address.
func (t *Table) receiveAck(out []Message, p *pb.Packet, from string) []Message {
	i := slices.IndexFunc(t.probes, func(probe probe) bool { return probe.sequence == p.Sequence })
	if i < 0 {
		out = t.passOn(out, p)
		return t.maybeSync(out, p, from)
	}
	probed := t.probes[i].ref
	t.probes = slices.Delete(t.probes, i, i+1)
	if r, ok := t.members.get(probed); ok && r.live() && reference(p.Subject) != probed && p.Subject != 0 {
		t.end(&r)
	}
	return t.maybeSync(out, p, from)
}

func (t *Table) passOn(out []Message, p *pb.Packet) []Message {
	i := slices.IndexFunc(t.relays, func(r relay) bool { return r.sequence == p.Sequence })
	if i < 0 {
		return out
	}
	asked := t.relays[i]
	t.relays = slices.Delete(t.relays, i, i+1)
	ack := t.packet(pb.Kind_KIND_ACK)
	ack.Sequence = asked.originSequence
	ack.Subject = p.From
	return t.send(out, asked.origin, ack)
}
