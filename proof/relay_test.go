package proof

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// maxPacketBytes is the largest UDP packet that a relay passes on.
const maxPacketBytes = 64 << 10

// relay stands in front of a node's peer listener, TCP and UDP. While it is cut,
// it refuses connections and drops packets, so nobody reaches the node; the node
// itself still reaches others.
type relay struct {
	address, target string
	listener        net.Listener
	packets         *net.UDPConn
	cut             atomic.Bool

	mu          sync.Mutex
	connections map[net.Conn]bool
	senders     map[string]*net.UDPConn // by address of the sender
}

func startRelay(address, target string) (*relay, error) {
	r := &relay{
		address: address, target: target,
		connections: map[net.Conn]bool{}, senders: map[string]*net.UDPConn{},
	}
	var err error
	if err = r.listen(); err != nil {
		return nil, err
	}
	own, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if r.packets, err = net.ListenUDP("udp", own); err != nil {
		return nil, err
	}
	go r.passPackets()
	return r, nil
}

// listen takes connections until the listener is closed.
func (r *relay) listen() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener = listener
	go r.acceptAll(listener)
	return nil
}

// setCut cuts the way to the node, with all connections on it, or mends it.
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

func (r *relay) acceptAll(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", r.target)
		if err != nil || !r.keep(from, to) {
			_ = from.Close()
			continue
		}
		go pass(from, to)
		go pass(to, from)
	}
}

// keep notes the connections; false while the relay is cut.
func (r *relay) keep(connections ...net.Conn) bool {
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

func pass(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// passPackets passes packets on from one socket for each sender, so that the
// node's answers come from the relay's address.
func (r *relay) passPackets() {
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
	target, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return nil, err
	}
	sender, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil, err
	}
	r.senders[from.String()] = sender
	go r.passAnswers(sender, from)
	return sender, nil
}

func (r *relay) passAnswers(sender *net.UDPConn, to *net.UDPAddr) {
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
