package bench

import (
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// Range of the ports that are given out: below the system's own range for
// outgoing connections, so that a port stays free until it is used.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// ports gives out free loopback addresses.
type ports struct{ next int }

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
	return "", errors.New("no free port")
}

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
