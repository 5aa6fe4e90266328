package membership

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

// maxSnapshotBytes is the most that Merge reads: MaxMembers of the largest size
// would be more, a fleet of the stated target is 1.6 MB.
const maxSnapshotBytes = 16 << 20

// Snapshot returns the table as a message for another node's Merge. Members that
// are dead here are left out, since they may be alive elsewhere.
func (t *Table) Snapshot(now time.Time) []byte {
	t.clock(now)
	return t.encodeSnapshot(func(*record) bool { return true })
}

// Merge takes another node's snapshot into the table and returns a snapshot of
// what that node lacks. A table that is full takes what it can and returns ErrFull
// beside the reply.
func (t *Table) Merge(now time.Time, data []byte) ([]byte, error) {
	t.clock(now)
	claims, from, err := decodeSnapshot(data)
	if err != nil {
		t.counters.BadPackets++
		return nil, err
	}
	theirs := make(map[reference]claim, len(claims))
	for _, c := range claims {
		theirs[c.ref] = c
	}
	t.lastHeard = t.now
	t.counters.Snapshots++
	bulk := len(claims) > bulkQueue
	_, err = t.applyAll(claims)
	if bulk {
		t.hush(claims, from)
	}
	t.members.compact()
	reply := t.encodeSnapshot(func(r *record) bool {
		_, lacks := t.lackedClaim(r, theirs)
		return lacks
	})
	return reply, err
}

// hush keeps the members of a large snapshot out of the news: who sent it, and
// most others, know them.
func (t *Table) hush(claims []claim, from reference) {
	known := make([]reference, 0, len(claims))
	for i := range claims {
		ref := claims[i].ref
		if ref != t.self.who.ref && ref != from {
			known = append(known, ref)
		}
	}
	t.news.drop(known...)
}

func (t *Table) encodeSnapshot(include func(r *record) bool) []byte {
	names := nameTable{index: map[string]uint32{}}
	s := &pb.Snapshot{From: uint64(t.self.who.ref), ConfigVersion: t.configVersion}
	t.members.each(func(r *record) {
		if r.health == dead || !include(r) {
			return
		}
		c := claimOf(r, t.now, t.cfg.Suspicion)
		s.Members = append(s.Members, &pb.SnapshotMember{
			Id:            string(r.who.id),
			Address:       r.who.address,
			FailureDomain: names.of(string(r.who.domain)),
			Region:        names.of(string(r.who.region)),
			Service:       names.of(r.service),
			Slots:         r.slots,
			Incarnation:   r.incarnation,
			Status:        c.status(),
			Started:       r.who.started,
		})
	})
	s.Names = names.names
	data, err := proto.Marshal(s)
	if err != nil {
		t.counters.EncodeErrors++
	}
	return data
}

// nameTable numbers names in the order of their first use.
type nameTable struct {
	names []string
	index map[string]uint32
}

func (n *nameTable) of(name string) uint32 {
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
