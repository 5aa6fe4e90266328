package membership

import (
	"time"

	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

// refill adds to the gossip budget the bytes for the time since the last tick.
func (t *Table) refill(gap time.Duration) {
	t.gossipBudget += gap.Seconds() * float64(t.cfg.GossipBytesPerSecond)
	t.gossipBudget = min(t.gossipBudget, float64(t.cfg.GossipBurstBytes))
}

// sendUpdates sends the queued updates to random members, within the limits.
func (t *Table) sendUpdates(out []Message) []Message {
	return t.sendUpdatesTo(out, fanout)
}

// sendUpdatesTo sends the queued updates in rounds of count packets, each to a random
// member. It sends a further round only if the updates may not fit into one packet.
func (t *Table) sendUpdatesTo(out []Message, count int) []Message {
	t.urgent = false
	packets := 0
	for t.updatesDue() && packets < max(count, packetsPerTick) {
		waiting := t.updates.len()
		for range count {
			out = t.gossip(out)
			packets++
		}
		if t.updates.len() == 0 || waiting <= claimsPerPacket {
			break
		}
	}
	return out
}

// claimsPerPacket is a number of short claims that always fit into one packet.
const claimsPerPacket = 50

func (t *Table) updatesDue() bool {
	return t.gossipBudget > 0 && (t.updates.len() > 0 || t.configSends > 0)
}

// gossip sends one packet of updates to a random member.
func (t *Table) gossip(out []Message) []Message {
	to, ok := t.randomLive()
	if !ok || !t.updatesDue() {
		return out
	}
	p := t.packet(pb.Kind_KIND_GOSSIP)
	t.piggyback(p)
	t.configSends = max(0, t.configSends-1)
	t.gossipBudget -= headerBytes
	return t.send(out, to.identity.address, p)
}

// piggyback adds queued updates to a packet, as far as its size and the gossip budget
// allow.
func (t *Table) piggyback(p *pb.Packet) {
	room := maxPacketBytes - headerBytes
	for range len(t.updates.order) {
		if t.gossipBudget <= 0 {
			return
		}
		ref, item := t.updates.pop()
		r, ok := t.members.get(ref)
		if !ok || r.health == dead {
			t.updates.remove(ref)
			continue
		}
		c := claimOf(&r, t.now, t.cfg.SuspicionTimeout)
		if item.full && item.sent < transmissionsFull {
			c = fullClaimOf(&r, t.now, t.cfg.SuspicionTimeout)
		}
		size := claimBytes(&c)
		if size > room {
			t.updates.putBack(ref)
			return
		}
		room -= size
		t.gossipBudget -= float64(size)
		addClaim(p, &c)
		t.updates.requeue(ref, item)
	}
}
