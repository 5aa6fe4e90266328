package membershiptest

import (
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/rollout"
)

// maxBuffered is the number of datagrams that the socket of a paused node holds. More
// are lost.
const maxBuffered = 16

// Node is one node of a Fleet.
type Node struct {
	Instance fleet.Instance
	Members  *membership.Table
	Rollout  *rollout.Table
	Running  bool
	Paused   bool

	// UDP traffic. Each packet counts headerBytes of IP and UDP headers.
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
	BytesPulled     uint64 // of configurations received
	BytesServed     uint64 // of configurations sent

	Accepted time.Time // when the version in force was accepted
	Changes  int       // of members, since the start of the fleet

	index     int
	joinAfter time.Time
	buffered  []datagram // received while paused
	reading   bool       // a read from the platform is in flight
	starting  bool       // the node pulls configurations from peers until it is ready
}

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

func (n *Node) active() bool { return n.Running && !n.Paused }
