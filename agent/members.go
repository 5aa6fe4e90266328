package agent

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/agent/bus"
	"github.com/gypsumford/gypsumford/agent/metrics"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/rpc/peer"
)

const (
	// lamportBytes is the length of the Lamport clock value before each packet.
	lamportBytes = 8
	// maxPacketBytes is the size of the largest packet that a node reads.
	maxPacketBytes = 64 << 10
	// freshFor is how long after a tick the table counts as fresh. A node that has not
	// ticked for longer was paused.
	freshFor = 2 * time.Second
	// exchangeTimeout bounds an exchange of whole membership tables.
	exchangeTimeout = 2 * time.Second
)

// members runs the membership protocol: packets over UDP, whole tables over
// twirp.
type members struct {
	now      func() time.Time
	socket   net.PacketConn
	http     *http.Client
	metrics  *metrics.Set
	ring     *ringTable
	announce func(bus.Announcement)
	// changed is called, without any lock, with the services whose instances changed.
	changed func(services []string)
	started time.Time
	// freshUntil is a time since started in nanoseconds. It is read for each call, so
	// it isn't under the lock, which a large exchange may hold for long.
	freshUntil atomic.Int64

	mu struct {
		sync.Mutex
		table *membership.Table
	}
}

// withTable runs decide on the locked table, then sends the messages that it returned
// and announces the changes that it made.
func (m *members) withTable(decide func(t *membership.Table) []membership.Message) {
	m.mu.Lock()
	messages := decide(m.mu.table)
	changes := m.mu.table.Changes()
	m.mu.Unlock()
	m.send(messages)
	m.announceChanges(changes)
}

func (m *members) send(messages []membership.Message) {
	for _, message := range messages {
		address, err := net.ResolveUDPAddr("udp", message.To)
		if err != nil {
			m.metrics.BadInput.Add("member-address", 1)
			continue
		}
		datagram := binary.BigEndian.AppendUint64(nil, m.ring.lamport())
		datagram = append(datagram, message.Data...)
		m.metrics.Packets.Add("sent", 1)
		m.metrics.Packets.Add("sent-bytes", int64(len(datagram)))
		_, _ = m.socket.WriteTo(datagram, address) // the protocol tolerates lost packets
	}
}

// announceChanges announces the changes and passes the services that they affect to
// the callback.
func (m *members) announceChanges(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	touched := map[string]bool{}
	var services []string
	for _, change := range changes {
		m.metrics.Membership.Add(change.Instance.State.String(), 1)
		m.announce(bus.Announcement{
			Topic: bus.TopicMembership, What: "member-" + change.Instance.State.String(),
			Subject: string(change.Instance.ID), Service: change.Instance.Service,
			Detail: change.Instance.PeerAddress,
		})
		if service := change.Instance.Service; service != "" && !touched[service] {
			touched[service] = true
			services = append(services, service)
		}
	}
	m.changed(services)
}

func (m *members) tick() {
	now := m.now()
	fresh := false
	m.withTable(func(t *membership.Table) []membership.Message {
		messages := t.Tick(now)
		fresh = t.Fresh(now)
		return messages
	})
	if fresh {
		m.freshUntil.Store(int64(now.Sub(m.started) + freshFor))
	} else {
		m.freshUntil.Store(0)
	}
}

// listen reads packets until the socket is closed.
func (m *members) listen() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := m.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		m.receive(from.String(), buffer[:n])
	}
}

// receive handles one datagram: the sender's Lamport clock value, then its packet.
func (m *members) receive(from string, data []byte) {
	m.metrics.Packets.Add("received", 1)
	m.metrics.Packets.Add("received-bytes", int64(len(data)))
	if len(data) < lamportBytes {
		m.metrics.BadInput.Add("packet", 1)
		return
	}
	m.ring.observe(binary.BigEndian.Uint64(data))
	data = data[lamportBytes:]
	m.withTable(func(t *membership.Table) []membership.Message {
		messages, err := t.Receive(m.now(), from, data)
		if err != nil {
			m.metrics.BadInput.Add("packet", 1)
		}
		return messages
	})
}

// exchangeTables exchanges whole tables with the node at the address.
func (m *members) exchangeTables(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	m.mu.Lock()
	snapshot := m.mu.table.Snapshot(m.now())
	m.mu.Unlock()
	client := peer.NewPeerProtobufClient("http://"+address, m.http)
	reply, err := client.ExchangeMembers(ctx, &peer.ExchangeMembersRequest{Packet: snapshot})
	if err != nil {
		return errors.Wrapf(err, "exchange members with %s", address)
	}
	_, err = m.merge(reply.Packet)
	return err
}

// merge merges a peer's table into the node's and returns the records that the peer
// lacks.
func (m *members) merge(packet []byte) ([]byte, error) {
	var reply []byte
	var failure error
	m.withTable(func(t *membership.Table) []membership.Message {
		reply, failure = t.Merge(m.now(), packet)
		return nil
	})
	if failure != nil {
		m.metrics.BadInput.Add("members", 1)
	}
	return reply, failure
}

// unreachable makes the table probe an instance to which no connection could be made.
func (m *members) unreachable(id fleet.InstanceID) {
	m.withTable(func(t *membership.Table) []membership.Message { return t.ProbeNow(m.now(), id) })
}

func (m *members) setTarget(service string, slots int, state fleet.State) {
	m.withTable(func(t *membership.Table) []membership.Message { return t.SetTarget(m.now(), service, slots, state) })
}

func (m *members) setConfigVersion(version epoch.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.table.SetConfigVersion(version)
}

func (m *members) leave() {
	m.withTable(func(t *membership.Table) []membership.Message { return t.Leave(m.now()) })
}

func (m *members) instances(service string) []fleet.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.table.Instances(service)
}

func (m *members) all() []fleet.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.table.All()
}

// fresh reports whether decisions may be based on the table. After a pause they may
// not until the node has compared its table with another node's.
func (m *members) fresh() bool {
	return int64(m.now().Sub(m.started)) < m.freshUntil.Load()
}

// live returns the live members of the node's failure domain, and the number of live
// members of the fleet.
func (m *members) live() (domain []fleet.InstanceID, fleetSize int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.table.DomainMembers(), m.mu.table.Len()
}

func (m *members) len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.table.Len()
}
