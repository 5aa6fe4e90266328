package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

// Receive takes a datagram that came from the address from. Bad datagrams are
// counted and return an error that matches ErrTooLarge or ErrMalformed; a table
// that is full returns ErrFull, with the rest of the packet used.
func (t *Table) Receive(now time.Time, from string, data []byte) ([]Message, error) {
	t.clock(now)
	p, err := decodePacket(data)
	if err != nil {
		t.counters.BadPackets++
		return nil, err
	}
	claims, err := claimsOf(p)
	if err != nil {
		t.counters.BadPackets++
		return nil, err
	}
	if reference(p.From) == t.self.who.ref {
		t.counters.OwnPackets++
		return nil, nil
	}
	t.counters.PacketsReceived++
	t.lastHeard = t.now
	wanted, err := t.applyAll(claims)
	out := t.noteSender(p, from, &wanted)
	out = t.answer(out, p, from)
	out = t.answerWanted(out, p, from)
	out = t.ask(out, from, wanted)
	if t.urgent {
		out = t.spread(out)
	}
	return out, err
}

// noteSender reads what a packet says of its sender, and tells a sender that the
// table holds for suspect or dead, so that it can object.
func (t *Table) noteSender(p *pb.Packet, from string, wanted *[]reference) []Message {
	sender, known := t.members.get(reference(p.From))
	if !known {
		if p.Kind != pb.Kind_KIND_GOSSIP { // which answers a question, so the next one would follow
			*wanted = append(*wanted, reference(p.From))
		}
		return nil
	}
	t.noteConfigVersion(&sender, p.ConfigVersion)
	if sender.health == alive || sender.health == left || p.Kind == pb.Kind_KIND_PING {
		return nil // the answer to a ping carries the claim
	}
	if !t.mayReply() {
		return nil
	}
	reply := t.packet(pb.Kind_KIND_GOSSIP)
	t.addBelief(reply, &sender)
	t.addBelief(reply, &t.self) // else two nodes that hold each other for dead answer each other forever
	return t.send(nil, from, reply)
}

// mayReply counts the packets beside the answers to probes and comparisons, so that
// two nodes can't keep each other busy whatever they disagree on.
func (t *Table) mayReply() bool {
	t.replies++
	return t.replies <= repliesPerTick
}

func (t *Table) answer(out []Message, p *pb.Packet, from string) []Message {
	switch p.Kind {
	case pb.Kind_KIND_PING:
		return t.answerPing(out, p, from)
	case pb.Kind_KIND_ACK:
		return t.receiveAck(out, p, from)
	case pb.Kind_KIND_PING_REQUEST:
		return t.relayPing(out, p, from)
	case pb.Kind_KIND_SYNC_TOP:
		return t.answerSyncTop(out, p, from)
	case pb.Kind_KIND_SYNC_GROUPS:
		return t.answerSyncGroups(out, p, from)
	case pb.Kind_KIND_SYNC_LEAVES:
		return t.answerSyncLeaves(out, p, from)
	case pb.Kind_KIND_SYNC_DONE:
		t.finishSync(p)
	}
	return out
}

// ask requests the full records of members that a packet named.
func (t *Table) ask(out []Message, from string, wanted []reference) []Message {
	if len(wanted) == 0 || !t.mayReply() {
		return out
	}
	slices.Sort(wanted)
	wanted = slices.Compact(wanted)
	request := t.packet(pb.Kind_KIND_GOSSIP)
	for _, ref := range wanted[:min(len(wanted), maxWantedInPacket)] {
		request.Wanted = append(request.Wanted, uint64(ref))
	}
	return t.send(out, from, request)
}

// answerWanted sends the records that a packet asked for, as far as they fit into
// one packet.
func (t *Table) answerWanted(out []Message, p *pb.Packet, from string) []Message {
	if len(p.Wanted) == 0 {
		return out
	}
	reply := t.packet(pb.Kind_KIND_GOSSIP)
	room := maxPacketBytes - headerBytes
	for _, ref := range p.Wanted[:min(len(p.Wanted), maxWantedInPacket)] {
		r, ok := t.members.get(reference(ref))
		if !ok || r.health == dead {
			continue
		}
		c := fullClaimOf(&r, t.now, t.cfg.Suspicion)
		room -= claimBytes(&c)
		if room < 0 {
			break
		}
		addClaim(reply, &c)
	}
	if len(reply.Members) == 0 {
		return out
	}
	return t.send(out, from, reply)
}

// packet returns a packet with what each one carries.
func (t *Table) packet(kind pb.Kind) *pb.Packet {
	return &pb.Packet{
		Kind:          kind,
		From:          uint64(t.self.who.ref),
		ConfigVersion: t.configVersion,
		Digest:        t.members.digest,
	}
}

func (t *Table) send(out []Message, to string, p *pb.Packet) []Message {
	data, err := proto.Marshal(p)
	if err != nil {
		t.counters.EncodeErrors++
		return out
	}
	t.counters.PacketsSent++
	t.counters.BytesSent += uint64(len(data))
	return append(out, Message{To: to, Data: data})
}
