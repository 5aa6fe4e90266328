package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumford/gypsumford/fleet"
	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

// Message is a datagram to send.
type Message struct {
	To   string // host:port, UDP
	Data []byte
}

// Table is what one node knows of the fleet. It is not safe for concurrent use.
type Table struct {
	cfg    Config
	rng    *rand.Rand
	start  time.Time     // times inside the table are counted from here
	now    time.Duration // of the call that runs
	ticked time.Duration // of the last Tick

	self     record
	members  *directory
	news     *queue
	changes  []Change
	counters Counters

	nextProbe time.Duration
	probeSlot int
	sequence  uint32
	probes    []probe
	relays    []relay
	doubts    []reference
	suspects  []reference
	dead      []reference
	lastSweep time.Duration

	gossipBytes float64 // that may be sent now
	urgent      bool    // there is news to pass on before the next tick
	lastHeard   time.Duration

	configVersion uint64
	configSends   int // packets still to send only for the version
	configPeers   []ConfigPeer

	lastSync     time.Duration
	syncSequence uint32 // of the comparison that the node started last
	catchingUp   bool   // since a pause, until a table was compared
	exchangeWith string
	lastExchange time.Duration

	seeds map[string]time.Duration // when each seed object was last written
}

// NewTable returns the table of the node whose instance is self. It knows nobody
// else until Merge or Receive tells it.
func NewTable(cfg Config, self fleet.Instance, now time.Time, seed uint64) *Table {
	return NewTableFrom(cfg, self, now, seed, newBase(nil))
}

// NewTableFrom is NewTable of a node that already knows the members of base. The
// tables of one process may share base; self may be in it.
func NewTableFrom(cfg Config, self fleet.Instance, now time.Time, seed uint64, base *Base) *Table {
	t := &Table{
		cfg:         cfg.withDefaults(),
		rng:         rand.New(rand.NewPCG(seed, uint64(referenceOf(self.ID)))),
		start:       now,
		members:     newDirectory(base),
		news:        newQueue(),
		seeds:       map[string]time.Duration{},
		lastSync:    -syncInterval,
		gossipBytes: 0,
	}
	t.gossipBytes = float64(t.cfg.GossipBurstBytes)
	t.sequence = t.rng.Uint32()
	t.nextProbe = time.Duration(t.rng.Int64N(int64(t.cfg.ProbeInterval)))
	t.lastExchange = -exchangeGap
	known, inBase := t.members.get(referenceOf(self.ID))
	t.self = recordOf(self, now.UnixMilli())
	if inBase {
		t.self = known
		return t
	}
	t.members.put(t.self)
	t.announce(true)
	return t
}

// clock sets the time of the call that begins.
func (t *Table) clock(now time.Time) { t.now = max(t.now, now.Sub(t.start)) }

// Tick is called once in a TickInterval. It returns the messages to send.
func (t *Table) Tick(now time.Time) []Message {
	t.clock(now)
	gap := t.now - t.ticked
	t.ticked = t.now
	if gap > pauseLimit {
		t.resume(gap)
	}
	t.refill(gap)
	var out []Message
	out = t.checkProbes(out)
	t.expireSuspicions()
	out = t.startProbes(out)
	out = t.catchUp(out)
	out = t.spread(out)
	t.sweep()
	t.members.compact()
	return out
}

// resume is called on the first tick after a pause of the process.
func (t *Table) resume(gap time.Duration) {
	t.counters.Pauses++
	for _, ref := range t.suspects {
		r, ok := t.members.get(ref)
		if ok && r.health == suspect {
			r.deadline = min(r.deadline+gap, t.now+t.cfg.Suspicion) // it may be younger than the pause
			t.members.put(r)
		}
	}
	t.probes = nil
	t.relays = nil
	t.nextProbe = t.now
	t.lastHeard = t.now
	t.catchingUp = t.members.live > 1
	t.sequence++
	t.syncSequence = t.sequence // answers to an earlier comparison are out of date
	t.lastSync = t.now - catchUpRetry
	if t.self.health != left {
		t.self.incarnation++
		t.announce(false)
	}
}

// Fresh reports whether the table may be acted on: the node has compared it with
// another one since its last pause, and hears others if there are any.
func (t *Table) Fresh(now time.Time) bool {
	t.clock(now)
	if t.members.live <= 1 {
		return true
	}
	paused := t.now-t.ticked > pauseLimit
	return !paused && !t.catchingUp && !t.isolated()
}

// Alone reports whether the node knows no other live member, or hears none. The
// daemon then looks for a peer as at its start: through the seed objects and its
// settings.
func (t *Table) Alone(now time.Time) bool {
	t.clock(now)
	return t.self.health != left && (t.members.live <= 1 || t.isolated())
}

// isolated reports whether the silence around the node is longer than any that
// others' failures explain.
func (t *Table) isolated() bool {
	return t.members.live > minIsolated && t.now-t.lastHeard > isolationLimit
}

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
		*wanted = append(*wanted, reference(p.From))
		return nil
	}
	t.noteConfigVersion(&sender, p.ConfigVersion)
	if sender.health == alive || sender.health == left || p.Kind == pb.Kind_KIND_PING {
		return nil // the answer to a ping carries the claim
	}
	reply := t.packet(pb.Kind_KIND_GOSSIP)
	t.addBelief(reply, &sender)
	t.addBelief(reply, &t.self) // else two nodes that hold each other for dead answer each other forever
	return t.send(nil, from, reply)
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
	if len(wanted) == 0 {
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

// SetTarget announces what the node's own target says of itself. The messages
// returned tell some members at once.
func (t *Table) SetTarget(now time.Time, service string, slots int, state fleet.State) []Message {
	t.clock(now)
	state = min(state, fleet.Draining)
	slots = max(0, slots)
	described := service != t.self.service || uint32(slots) != t.self.slots
	if t.self.health == left || (!described && state == t.self.announced) {
		return nil
	}
	t.self.incarnation++
	t.self.announced = state
	if described {
		t.self.service = service
		t.self.slots = uint32(slots)
		t.self.profile++
	}
	t.announce(described)
	return t.spread(nil)
}

// Leave announces that the node leaves for good. Keep calling Tick for a second
// before the process ends, so that the news survives lost packets.
func (t *Table) Leave(now time.Time) []Message {
	t.clock(now)
	if t.self.health == left {
		return nil
	}
	t.self.incarnation++
	t.self.health = left
	t.self.since = t.now
	t.announce(false)
	return t.spreadTo(nil, leaveFanout)
}

// announce stores the node's own record and spreads it at once.
func (t *Table) announce(full bool) {
	t.members.put(t.self)
	t.news.push(t.self.who.ref, full)
	t.urgent = true
}

// Instances returns the members whose target is of the service, in the order of
// their ids, with those that are dead or left while the table still holds them.
// It looks at all members of the service; call it on a Change, not per call.
func (t *Table) Instances(service string) []fleet.Instance {
	var found []fleet.Instance
	t.members.ofService(service, func(r *record) { found = append(found, r.instance()) })
	slices.SortFunc(found, compareIDs)
	return found
}

// All returns all members that the table holds, in no particular order.
func (t *Table) All() []fleet.Instance {
	all := make([]fleet.Instance, 0, t.members.len())
	t.members.each(func(r *record) { all = append(all, r.instance()) })
	return all
}

// DomainMembers returns the ids of the live members of the node's own failure
// domain, the node included, in the order of their ids.
func (t *Table) DomainMembers() []fleet.InstanceID {
	var ids []fleet.InstanceID
	t.members.ofDomain(t.self.who.domain, func(r *record) {
		if r.live() {
			ids = append(ids, r.who.id)
		}
	})
	slices.Sort(ids)
	return ids
}

// Get returns the member with the given id.
func (t *Table) Get(id fleet.InstanceID) (fleet.Instance, bool) {
	r, ok := t.members.get(referenceOf(id))
	if !ok {
		return fleet.Instance{}, false
	}
	return r.instance(), true
}

// Self returns the node's own instance as it announces it.
func (t *Table) Self() fleet.Instance { return t.self.instance() }

// Len returns the number of members that are neither dead nor left, the node
// itself included.
func (t *Table) Len() int { return t.members.live }

// Counters returns what the table has counted.
func (t *Table) Counters() Counters {
	c := t.counters
	c.Members = uint64(t.members.live)
	c.Suspects = uint64(len(t.suspects))
	c.Dead = uint64(len(t.dead))
	c.NewsWaiting = uint64(t.news.len())
	return c
}

func (t *Table) full() error {
	if t.members.len() < t.cfg.MaxMembers {
		return nil
	}
	t.counters.RefusedMembers++
	return errors.Wrapf(ErrFull, "%d members", t.members.len())
}
