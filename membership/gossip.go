package membership

import (
	"time"

	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

// refill adds what may be sent for the time that has passed.
func (t *Table) refill(gap time.Duration) {
	t.gossipBytes += gap.Seconds() * float64(t.cfg.GossipBytesPerSecond)
	t.gossipBytes = min(t.gossipBytes, float64(t.cfg.GossipBurstBytes))
}

// spread sends news to random members, as much as waits and the limits allow.
func (t *Table) spread(out []Message) []Message {
	return t.spreadTo(out, fanout)
}

func (t *Table) spreadTo(out []Message, count int) []Message {
	t.urgent = false
	packets := 0
	for t.spreadDue() && packets < max(count, packetsPerTick) {
		waiting := t.news.len()
		for range count {
			out = t.gossip(out)
			packets++
		}
		if t.news.len() == 0 || waiting <= claimsPerPacket {
			break
		}
	}
	return out
}

// claimsPerPacket is the number of short claims that surely fit into one packet.
const claimsPerPacket = 50

func (t *Table) spreadDue() bool {
	return t.gossipBytes > 0 && (t.news.len() > 0 || t.configSends > 0)
}

// gossip sends one packet of news to a random member.
func (t *Table) gossip(out []Message) []Message {
	to, ok := t.randomLive()
	if !ok || !t.spreadDue() {
		return out
	}
	p := t.packet(pb.Kind_KIND_GOSSIP)
	t.piggyback(p)
	t.configSends = max(0, t.configSends-1)
	t.gossipBytes -= headerBytes
	return t.send(out, to.who.address, p)
}

// piggyback fills a packet with news as far as it has room.
func (t *Table) piggyback(p *pb.Packet) {
	room := maxPacketBytes - headerBytes
	for range len(t.news.order) {
		if t.gossipBytes <= 0 {
			return
		}
		ref, item := t.news.pop()
		r, ok := t.members.get(ref)
		if !ok || r.health == dead {
			t.news.drop(ref)
			continue
		}
		c := claimOf(&r, t.now, t.cfg.Suspicion)
		if item.full && item.sent < transmissionsFull {
			c = fullClaimOf(&r, t.now, t.cfg.Suspicion)
		}
		size := claimBytes(&c)
		if size > room {
			t.news.unpop(ref)
			return
		}
		room -= size
		t.gossipBytes -= float64(size)
		addClaim(p, &c)
		t.news.again(ref, item)
	}
}
