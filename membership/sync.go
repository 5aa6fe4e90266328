package membership

import (
	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

const (
	groupsPerSync   = 3  // groups whose leaves are compared in one step
	leavesPerSync   = 48 // leaves whose members are compared in one step
	exchangeDiffers = 48 // differing leaves of one group that mean a whole exchange
)

// maybeSync compares tables with a member whose digest differs.
func (t *Table) maybeSync(out []Message, p *pb.Packet, from string) []Message {
	if p.Digest == t.members.digest || t.catchingUp || t.self.health == left {
		return out
	}
	since := t.now - t.lastSync
	if since < syncInterval || (t.news.len() > 0 && since < syncPatience) {
		return out
	}
	return t.startSync(out, from)
}

func (t *Table) startSync(out []Message, to string) []Message {
	t.lastSync = t.now
	t.counters.Syncs++
	t.sequence++
	t.syncSequence = t.sequence
	p := t.packet(pb.Kind_KIND_SYNC_TOP)
	p.Sequence = t.syncSequence
	p.Sums = t.members.groupSums()
	return t.send(out, to, p)
}

// catchUp compares tables after a pause until one comparison has come to its end.
func (t *Table) catchUp(out []Message) []Message {
	if !t.catchingUp || t.now-t.lastSync < catchUpRetry {
		return out
	}
	r, ok := t.randomLive()
	if !ok {
		t.catchingUp = false
		return out
	}
	return t.startSync(out, r.who.address)
}

// answerSyncTop sends the sums of the leaves of some groups that differ.
func (t *Table) answerSyncTop(out []Message, p *pb.Packet, from string) []Message {
	if len(p.Sums) != groups {
		return out
	}
	own := t.members.groupSums()
	reply := t.packet(pb.Kind_KIND_SYNC_GROUPS)
	reply.Sequence = p.Sequence
	first := t.rng.IntN(groups)
	for i := range groups {
		group := (first + i) % groups
		if own[group] == p.Sums[group] {
			continue
		}
		if len(reply.Buckets) == groupsPerSync {
			reply.More = true
			break
		}
		reply.Buckets = append(reply.Buckets, uint32(group))
		reply.Sums = append(reply.Sums, t.members.groupLeaves(group)...)
	}
	return t.send(out, from, reply)
}

// answerSyncGroups sends the node's members in leaves that differ.
func (t *Table) answerSyncGroups(out []Message, p *pb.Packet, from string) []Message {
	if len(p.Sums) != len(p.Buckets)*leavesPerGroup || p.Sequence != t.syncSequence {
		return out
	}
	var differing []uint32
	for i, group := range p.Buckets {
		if group >= groups {
			return out
		}
		differs := 0
		for j, own := range t.members.groupLeaves(int(group)) {
			if own != p.Sums[i*leavesPerGroup+j] {
				differs++
				differing = append(differing, group*leavesPerGroup+uint32(j))
			}
		}
		if differs >= exchangeDiffers {
			t.wantExchange(from)
		}
	}
	if len(differing) == 0 && !p.More {
		t.catchingUp = false
		return out
	}
	reply := t.packet(pb.Kind_KIND_SYNC_LEAVES)
	reply.Sequence = p.Sequence
	reply.More = p.More
	room := maxPacketBytes - headerBytes
	for _, leaf := range differing {
		claims, size := t.leafClaims(int(leaf))
		if size+leafBytes > room || len(reply.Buckets) == leavesPerSync {
			reply.More = true
			break
		}
		room -= size + leafBytes
		reply.Buckets = append(reply.Buckets, leaf)
		for i := range claims {
			addClaim(reply, &claims[i])
		}
	}
	return t.send(out, from, reply)
}

// leafBytes is the room that the number of a leaf takes.
const leafBytes = 2

func (t *Table) leafClaims(leaf int) ([]claim, int) {
	var claims []claim
	size := 0
	t.members.inLeaf(leaf, func(r *record) {
		c := claimOf(r, t.now, t.cfg.Suspicion)
		size += claimBytes(&c)
		claims = append(claims, c)
	})
	return claims, size
}

// answerSyncLeaves sends what the asker lacks in the leaves. The claims of the
// packet are already taken into the table.
func (t *Table) answerSyncLeaves(out []Message, p *pb.Packet, from string) []Message {
	if len(p.Buckets) > leavesPerSync {
		return out
	}
	theirs := make(map[reference]claim, len(p.References))
	for i, ref := range p.References {
		c := claim{ref: reference(ref), incarnation: p.Incarnations[i]}
		c.setStatus(p.Statuses[i])
		theirs[c.ref] = c
	}
	reply := t.packet(pb.Kind_KIND_SYNC_DONE)
	reply.Sequence = p.Sequence
	reply.More = p.More
	room := maxPacketBytes - headerBytes
	for _, leaf := range p.Buckets {
		if leaf >= leaves {
			return out
		}
		t.members.inLeaf(int(leaf), func(r *record) {
			c, lacks := t.lackedClaim(r, theirs)
			size := claimBytes(&c)
			if !lacks {
				return
			}
			if size > room {
				reply.More = true
				return
			}
			room -= size
			addClaim(reply, &c)
		})
	}
	return t.send(out, from, reply)
}

// lackedClaim returns what a node lacks that made the given claims.
func (t *Table) lackedClaim(r *record, theirs map[reference]claim) (claim, bool) {
	c := claimOf(r, t.now, t.cfg.Suspicion)
	their, known := theirs[r.who.ref]
	if !known {
		return fullClaimOf(r, t.now, t.cfg.Suspicion), r.live()
	}
	if c.profile > their.profile {
		return fullClaimOf(r, t.now, t.cfg.Suspicion), true
	}
	if their.health == dead && r.live() {
		return c, true
	}
	held := record{incarnation: their.incarnation, health: their.health}
	return c, c.replaces(&held)
}

// finishSync ends a comparison; one that covered only a part is followed by
// another.
func (t *Table) finishSync(p *pb.Packet) {
	if p.Sequence != t.syncSequence {
		return
	}
	if !p.More {
		t.catchingUp = false
		return
	}
	t.lastSync = t.now - syncInterval
}

// wantExchange remembers a member whose table differs so much that the whole one
// is worth a call.
func (t *Table) wantExchange(address string) {
	if t.now-t.lastExchange >= exchangeGap {
		t.exchangeWith = address
	}
}

// ExchangeWith returns the address of a peer with which the daemon should
// exchange whole tables (Snapshot, ExchangeMembers, Merge), once each time that
// one is needed.
func (t *Table) ExchangeWith() (address string, ok bool) {
	address = t.exchangeWith
	t.exchangeWith = ""
	if address == "" {
		return "", false
	}
	t.lastExchange = t.now
	return address, true
}
