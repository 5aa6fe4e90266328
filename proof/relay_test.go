package proof

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// maxPacketBytes is the size of the largest UDP packet that a relay forwards.
const maxPacketBytes = 64 << 10

// relay is a TCP and UDP proxy in front of a node's peer listener. While it is cut, it
// refuses connections and drops packets, so that no peer reaches the node; the node
// itself still reaches its peers.
type relay struct {
	address, nodeAddress string
	listener             net.Listener
	packets              *net.UDPConn
	cut                  atomic.Bool

	mu          sync.Mutex
	connections map[net.Conn]bool
	senders     map[string]*net.UDPConn // socket to the node for each sender's address
}

func startRelay(address, nodeAddress string) (*relay, error) {
	r := &relay{
		address: address, nodeAddress: nodeAddress,
		connections: map[net.Conn]bool{}, senders: map[string]*net.UDPConn{},
	}
	var err error
	if err = r.listen(); err != nil {
		return nil, err
	}
	listenAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if r.packets, err = net.ListenUDP("udp", listenAddress); err != nil {
		return nil, err
	}
	go r.forwardPackets()
	return r, nil
}

// listen starts to accept connections, until the listener is closed.
func (r *relay) listen() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener = listener
	go r.acceptConnections(listener)
	return nil
}

// setCut blocks the traffic to the node and closes the open connections, or unblocks it.
func (r *relay) setCut(cut bool) error {
	if r.cut.Swap(cut) == cut {
		return nil
	}
	if !cut {
		return r.listen()
	}
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection := range r.connections {
		_ = connection.Close()
	}
	clear(r.connections)
	return nil
}

func (r *relay) stop() {
	_ = r.setCut(true)
	_ = r.packets.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sender := range r.senders {
		_ = sender.Close()
	}
}

func (r *relay) acceptConnections(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", r.nodeAddress)
		if err != nil || !r.track(from, to) {
			_ = from.Close()
			continue
		}
		go forwardStream(from, to)
		go forwardStream(to, from)
	}
}

// track records open connections, for setCut to close. While the relay is cut, it closes
// them at once and returns false.
func (r *relay) track(connections ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, connection := range connections {
		if r.cut.Load() {
			_ = connection.Close()
			continue
		}
		r.connections[connection] = true
	}
	return !r.cut.Load()
}

func forwardStream(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// forwardPackets forwards packets to the node from one socket per sender. The socket on
// which the node replies identifies the sender, and the sender receives the reply from
// the relay's address.
func (r *relay) forwardPackets() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := r.packets.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		sender, err := r.senderFor(from)
		if err == nil && !r.cut.Load() {
			_, _ = sender.Write(buffer[:n])
		}
	}
}

func (r *relay) senderFor(from *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sender := r.senders[from.String()]; sender != nil {
		return sender, nil
	}
	nodeAddress, err := net.ResolveUDPAddr("udp", r.nodeAddress)
	if err != nil {
		return nil, err
	}
	sender, err := net.DialUDP("udp", nil, nodeAddress)
	if err != nil {
		return nil, err
	}
	r.senders[from.String()] = sender
	go r.forwardReplies(sender, from)
	return sender, nil
}

func (r *relay) forwardReplies(sender *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, err := sender.Read(buffer)
		if err != nil {
			return
		}
		if !r.cut.Load() {
			_, _ = r.packets.WriteToUDP(buffer[:n], to)
		}
	}
}
