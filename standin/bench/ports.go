package bench

import (
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// Range of the ports that are assigned. It is below the system's ephemeral range
// for outgoing connections, so that a port stays free until it is used.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// ports assigns free loopback addresses.
type ports struct{ next int }

// newPorts returns an allocator whose first port depends on the process id, so
// that runs at the same time try different ports.
func newPorts() *ports {
	return &ports{next: firstPort + os.Getpid()*37%(lastPort-firstPort)}
}

// take returns an address whose port is free for TCP and UDP.
func (p *ports) take() (string, error) {
	for range lastPort - firstPort {
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no loopback port is free for TCP and UDP")
}

// isFree reports whether the address can be listened at for TCP and UDP.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}
