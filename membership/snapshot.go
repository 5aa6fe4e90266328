package membership

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

// maxSnapshotBytes is the size of the largest snapshot that Merge accepts. The
// snapshot of a fleet of the target size is 1.6 MB. MaxMembers records of the largest
// size would exceed it.
const maxSnapshotBytes = 16 << 20

// Snapshot returns the encoded table, for another node's Merge. Members that are dead
// in this table are left out, because they may be alive in others.
func (t *Table) Snapshot(now time.Time) []byte {
	t.setNow(now)
	return t.encodeSnapshot(func(*record) bool { return true })
}

// Merge applies another node's snapshot to the table and returns a snapshot of the
// records that the other node lacks. If the table is full, it applies what it can and
// returns ErrFull together with the reply.
func (t *Table) Merge(now time.Time, data []byte) ([]byte, error) {
	t.setNow(now)
	claims, from, err := decodeSnapshot(data)
	if err != nil {
		t.counters.BadPackets++
		return nil, err
	}
	theirs := make(map[reference]claim, len(claims))
	for _, c := range claims {
		theirs[c.ref] = c
	}
	t.lastReceived = t.now
	t.counters.Snapshots++
	bulk := len(claims) > bulkQueue
	_, err = t.applyAll(claims)
	if bulk {
		t.dequeueKnown(claims, from)
	}
	t.members.compact()
	reply := t.encodeSnapshot(func(r *record) bool {
		_, missing := t.missingClaim(r, theirs)
		return missing
	})
	return reply, err
}

// dequeueKnown removes the members of a large snapshot from the update queue, because
// its sender and most other nodes know them already.
func (t *Table) dequeueKnown(claims []claim, from reference) {
	refs := make([]reference, 0, len(claims))
	for i := range claims {
		ref := claims[i].ref
		if ref != t.self.identity.ref && ref != from {
			refs = append(refs, ref)
		}
	}
	t.updates.remove(refs...)
}

func (t *Table) encodeSnapshot(include func(r *record) bool) []byte {
	names := nameTable{index: map[string]uint32{}}
	s := &pb.Snapshot{From: uint64(t.self.identity.ref), ConfigVersion: uint64(t.configVersion)}
	t.members.each(func(r *record) {
		if r.health == dead || !include(r) {
			return
		}
		c := claimOf(r, t.now, t.cfg.SuspicionTimeout)
		s.Members = append(s.Members, &pb.SnapshotMember{
			Id:            string(r.identity.id),
			Address:       r.identity.address,
			FailureDomain: names.indexOf(string(r.identity.domain)),
			Region:        names.indexOf(string(r.identity.region)),
			Service:       names.indexOf(r.service),
			Slots:         r.slots,
			Incarnation:   r.incarnation,
			Status:        c.status(),
			Started:       r.identity.started,
		})
	})
	s.Names = names.names
	data, err := proto.Marshal(s)
	if err != nil {
		t.counters.EncodeErrors++
	}
	return data
}

// nameTable assigns each name an index, in the order of first use.
type nameTable struct {
	names []string
	index map[string]uint32
}

func (n *nameTable) indexOf(name string) uint32 {
	i, ok := n.index[name]
	if !ok {
		i = uint32(len(n.names))
		n.index[name] = i
		n.names = append(n.names, name)
	}
	return i
}

func decodeSnapshot(data []byte) ([]claim, reference, error) {
	if len(data) > maxSnapshotBytes {
		return nil, 0, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(data), maxSnapshotBytes)
	}
	s := &pb.Snapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return nil, 0, errors.Wrapf(ErrMalformed, "%v", err)
	}
	name := func(i uint32) string {
		if int(i) < len(s.Names) {
			return s.Names[i]
		}
		return ""
	}
	claims := make([]claim, 0, len(s.Members))
	for _, m := range s.Members {
		c, err := claimOfMember(&pb.Member{
			Id:            m.Id,
			Address:       m.Address,
			FailureDomain: name(m.FailureDomain),
			Region:        name(m.Region),
			Service:       name(m.Service),
			Slots:         m.Slots,
			Incarnation:   m.Incarnation,
			Status:        m.Status,
			Started:       m.Started,
		})
		if err != nil {
			return nil, 0, err
		}
		claims = append(claims, c)
	}
	return claims, reference(s.From), nil
}
