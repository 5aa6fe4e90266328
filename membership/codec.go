package membership

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumford/gypsumford/fleet"
	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

// addClaim appends c to the packet, in the full form if c has one.
func addClaim(p *pb.Packet, c *claim) {
	if c.full != nil {
		p.Members = append(p.Members, memberOf(c))
		return
	}
	p.References = append(p.References, uint64(c.ref))
	p.Incarnations = append(p.Incarnations, c.incarnation)
	p.Statuses = append(p.Statuses, c.status())
}

// claimBytes returns the encoded size of c in a packet.
func claimBytes(c *claim) int {
	if c.full == nil {
		return 8 + protowire.SizeVarint(c.incarnation) + protowire.SizeVarint(c.status())
	}
	size := proto.Size(memberOf(c))
	return 1 + protowire.SizeVarint(uint64(size)) + size
}

func memberOf(c *claim) *pb.Member {
	identity := c.full.identity
	return &pb.Member{
		Id:            string(identity.id),
		Address:       identity.address,
		FailureDomain: string(identity.domain),
		Region:        string(identity.region),
		Service:       c.full.service,
		Slots:         c.full.slots,
		Incarnation:   c.incarnation,
		Status:        c.status(),
		Started:       identity.started,
	}
}

// decodePacket decodes a packet and checks everything that can be checked without
// the table, except its claims (see claimsOf).
func decodePacket(data []byte) (*pb.Packet, error) {
	if len(data) > maxAcceptedBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(data), maxAcceptedBytes)
	}
	p := &pb.Packet{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "%v", err)
	}
	if p.Kind <= pb.Kind_KIND_UNSPECIFIED || p.Kind > pb.Kind_KIND_SYNC_DONE {
		return nil, errors.Wrapf(ErrMalformed, "kind %d", p.Kind)
	}
	if p.From == 0 {
		return nil, errors.Wrap(ErrMalformed, "no sender")
	}
	if len(p.References) != len(p.Incarnations) || len(p.References) != len(p.Statuses) {
		return nil, errors.Wrapf(ErrMalformed, "%d references, %d incarnations, %d statuses",
			len(p.References), len(p.Incarnations), len(p.Statuses))
	}
	return p, nil
}

// claimsOf decodes the claims of a packet. If one of them is malformed, it returns
// none.
func claimsOf(p *pb.Packet) ([]claim, error) {
	claims := make([]claim, 0, len(p.References)+len(p.Members))
	for _, m := range p.Members {
		c, err := claimOfMember(m)
		if err != nil {
			return nil, err
		}
		claims = append(claims, c)
	}
	for i, ref := range p.References {
		c := claim{ref: reference(ref), incarnation: p.Incarnations[i]}
		if !c.setStatus(p.Statuses[i]) || c.incarnation > maxIncarnation {
			return nil, errors.Wrapf(ErrMalformed, "claim %d: status %d, incarnation %d", i, p.Statuses[i], c.incarnation)
		}
		claims = append(claims, c)
	}
	return claims, nil
}

func claimOfMember(m *pb.Member) (claim, error) {
	if err := checkMember(m); err != nil {
		return claim{}, err
	}
	id := fleet.InstanceID(m.Id)
	c := claim{
		ref:         referenceOf(id),
		incarnation: m.Incarnation,
		full: &fullClaim{
			identity: &identity{
				ref:     referenceOf(id),
				id:      id,
				address: m.Address,
				domain:  fleet.FailureDomain(m.FailureDomain),
				region:  fleet.Region(m.Region),
				started: m.Started,
			},
			service: m.Service,
			slots:   m.Slots,
		},
	}
	if !c.setStatus(m.Status) {
		return claim{}, errors.Wrapf(ErrMalformed, "member %q: status %d", m.Id, m.Status)
	}
	return c, nil
}

func checkMember(m *pb.Member) error {
	if m.Id == "" || m.Incarnation > maxIncarnation {
		return errors.Wrapf(ErrMalformed, "member %q: incarnation %d", m.Id, m.Incarnation)
	}
	for _, name := range []string{m.Id, m.Address, m.FailureDomain, m.Region, m.Service} {
		if len(name) > maxNameBytes {
			return errors.Wrapf(ErrMalformed, "name of %d bytes, at most %d", len(name), maxNameBytes)
		}
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return errors.Wrapf(ErrMalformed, "member %q: address %q", m.Id, m.Address)
	}
	return nil
}
