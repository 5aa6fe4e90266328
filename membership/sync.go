package membership

import (
	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

const (
	groupsPerSync     = 3  // groups whose leaf sums are sent in one packet
	leavesPerSync     = 48 // leaves whose members are sent in one packet
	exchangeThreshold = 48 // differing leaves of one group from which whole tables are exchanged
)

// maybeSync starts a comparison of tables with the sender of a packet whose digest
// differs, unless one started recently. While updates are queued it waits longer,
// because they may explain the difference.
func (t *Table) maybeSync(out []Message, p *pb.Packet, from string) []Message {
	if p.Digest == t.members.digest || t.catchingUp || t.self.health == left {
		return out
	}
	since := t.now - t.lastSync
	if since < syncInterval || (t.updates.len() > 0 && since < syncMaxDelay) {
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

// catchUp starts comparisons of tables after a pause until one has been completed.
func (t *Table) catchUp(out []Message) []Message {
	if !t.catchingUp || t.now-t.lastSync < catchUpRetry {
		return out
	}
	r, ok := t.randomLive()
	if !ok {
		t.catchingUp = false
		return out
	}
	return t.startSync(out, r.identity.address)
}

// handleSyncTop replies with the leaf sums of up to groupsPerSync groups that differ.
func (t *Table) handleSyncTop(out []Message, p *pb.Packet, from string) []Message {
	if len(p.Sums) != groups {
		return out
	}
	ownSums := t.members.groupSums()
	reply := t.packet(pb.Kind_KIND_SYNC_GROUPS)
	reply.Sequence = p.Sequence
	first := t.rng.IntN(groups)
	for i := range groups {
		group := (first + i) % groups
		if ownSums[group] == p.Sums[group] {
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

// handleSyncGroups replies with the node's members in the leaves that differ, as far
// as they fit into one packet.
func (t *Table) handleSyncGroups(out []Message, p *pb.Packet, from string) []Message {
	if len(p.Sums) != len(p.Buckets)*leavesPerGroup || p.Sequence != t.syncSequence {
		return out
	}
	var differing []uint32
	for i, group := range p.Buckets {
		if group >= groups {
			return out
		}
		differs := 0
		for j, ownSum := range t.members.groupLeaves(int(group)) {
			if ownSum != p.Sums[i*leavesPerGroup+j] {
				differs++
				differing = append(differing, group*leavesPerGroup+uint32(j))
			}
		}
		if differs >= exchangeThreshold {
			t.requestExchange(from)
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

// leafBytes is the encoded size of the number of a leaf.
const leafBytes = 2

func (t *Table) leafClaims(leaf int) ([]claim, int) {
	var claims []claim
	size := 0
	t.members.eachInLeaf(leaf, func(r *record) {
		c := claimOf(r, t.now, t.cfg.SuspicionTimeout)
		size += claimBytes(&c)
		claims = append(claims, c)
	})
	return claims, size
}

// handleSyncLeaves replies with the records of the leaves that the sender lacks. The
// claims of the packet have already been applied to the table.
func (t *Table) handleSyncLeaves(out []Message, p *pb.Packet, from string) []Message {
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
		t.members.eachInLeaf(int(leaf), func(r *record) {
			c, missing := t.missingClaim(r, theirs)
			size := claimBytes(&c)
			if !missing {
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

// missingClaim returns the claim that a node with the claims theirs needs about a
// member, and whether it needs one.
func (t *Table) missingClaim(r *record, theirs map[reference]claim) (claim, bool) {
	c := claimOf(r, t.now, t.cfg.SuspicionTimeout)
	theirClaim, known := theirs[r.identity.ref]
	if !known {
		return fullClaimOf(r, t.now, t.cfg.SuspicionTimeout), r.live()
	}
	if c.profileVersion > theirClaim.profileVersion {
		return fullClaimOf(r, t.now, t.cfg.SuspicionTimeout), true
	}
	if theirClaim.health == dead && r.live() {
		return c, true
	}
	held := record{incarnation: theirClaim.incarnation, health: theirClaim.health}
	return c, c.replaces(&held)
}

// handleSyncDone ends a comparison. If it covered only a part of the differences, the
// next one may start at once.
func (t *Table) handleSyncDone(p *pb.Packet) {
	if p.Sequence != t.syncSequence {
		return
	}
	if !p.More {
		t.catchingUp = false
		return
	}
	t.lastSync = t.now - syncInterval
}

// requestExchange stores the address of a member whose table differs so much that
// exchanging whole tables is cheaper, unless there was an exchange recently.
func (t *Table) requestExchange(address string) {
	if t.now-t.lastExchange >= exchangeInterval {
		t.exchangePeer = address
	}
}

// ExchangePeer returns the address of the peer with which the daemon should exchange
// whole tables now (Snapshot, ExchangeMembers, Merge), if an exchange is needed. Each
// address is returned once.
func (t *Table) ExchangePeer() (address string, ok bool) {
	address = t.exchangePeer
	t.exchangePeer = ""
	if address == "" {
		return "", false
	}
	t.lastExchange = t.now
	return address, true
}
