package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumford/gypsumford/epoch"
	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

// Receive handles a datagram from the given address and returns the messages to
// send. For a bad datagram, which is counted, the error matches ErrTooLarge or
// ErrMalformed. If the table is full and refused a member, it matches ErrFull; the
// rest of the packet was applied.
func (t *Table) Receive(now time.Time, from string, data []byte) ([]Message, error) {
	t.setNow(now)
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
	if reference(p.From) == t.self.identity.ref {
		t.counters.OwnPackets++
		return nil, nil
	}
	t.counters.PacketsReceived++
	t.lastReceived = t.now
	wanted, err := t.applyAll(claims)
	out := t.checkSender(p, from, &wanted)
	out = t.handle(out, p, from)
	out = t.sendWanted(out, p, from)
	out = t.requestRecords(out, from, wanted)
	if t.urgent {
		out = t.sendUpdates(out)
	}
	return out, err
}

// checkSender records the sender's configuration version. To a sender that is suspect
// or dead in the table it sends the claim about it, so that the sender can refute it.
// A sender that is not in the table is added to wanted.
func (t *Table) checkSender(p *pb.Packet, from string, wanted *[]reference) []Message {
	sender, known := t.members.get(reference(p.From))
	if !known {
		if p.Kind != pb.Kind_KIND_GOSSIP { // the reply to such a request is gossip, so requests would never end
			*wanted = append(*wanted, reference(p.From))
		}
		return nil
	}
	t.recordConfigVersion(&sender, epoch.Version(p.ConfigVersion))
	if sender.health == alive || sender.health == left || p.Kind == pb.Kind_KIND_PING {
		return nil // the ack of a ping carries the claim
	}
	if !t.mayReply() {
		return nil
	}
	reply := t.packet(pb.Kind_KIND_GOSSIP)
	t.addClaimAbout(reply, &sender)
	t.addClaimAbout(reply, &t.self) // without it two nodes that are dead to each other would reply to each other forever
	return t.send(nil, from, reply)
}

// mayReply reports whether another reply may be sent in this tick. Replies to probes
// and comparisons are not counted. The limit prevents endless exchanges between two
// nodes, whatever their tables disagree on.
func (t *Table) mayReply() bool {
	t.replies++
	return t.replies <= repliesPerTick
}

func (t *Table) handle(out []Message, p *pb.Packet, from string) []Message {
	switch p.Kind {
	case pb.Kind_KIND_PING:
		return t.sendAck(out, p, from)
	case pb.Kind_KIND_ACK:
		return t.handleAck(out, p, from)
	case pb.Kind_KIND_PING_REQUEST:
		return t.relayPing(out, p, from)
	case pb.Kind_KIND_SYNC_TOP:
		return t.handleSyncTop(out, p, from)
	case pb.Kind_KIND_SYNC_GROUPS:
		return t.handleSyncGroups(out, p, from)
	case pb.Kind_KIND_SYNC_LEAVES:
		return t.handleSyncLeaves(out, p, from)
	case pb.Kind_KIND_SYNC_DONE:
		t.handleSyncDone(p)
	}
	return out
}

// requestRecords requests the full records of the wanted members from a node.
func (t *Table) requestRecords(out []Message, from string, wanted []reference) []Message {
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

// sendWanted sends the records that a packet requested, as far as they fit into one
// packet.
func (t *Table) sendWanted(out []Message, p *pb.Packet, from string) []Message {
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
		c := fullClaimOf(&r, t.now, t.cfg.SuspicionTimeout)
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

// packet returns a packet with the fields that all kinds carry.
func (t *Table) packet(kind pb.Kind) *pb.Packet {
	return &pb.Packet{
		Kind:          kind,
		From:          uint64(t.self.identity.ref),
		ConfigVersion: uint64(t.configVersion),
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
