package membershiptest

import (
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/rollout"
)

// maxBuffered is the number of datagrams that a paused node's socket keeps.
const maxBuffered = 16

// Node is one node of a Fleet.
type Node struct {
	Instance fleet.Instance
	Members  *membership.Table
	Rollout  *rollout.Table
	Running  bool
	Paused   bool

	// Bytes and packets of UDP, with 28 bytes of IP and UDP header each.
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
	BytesPulled     uint64 // of configuration, received
	BytesServed     uint64 // of configuration, sent

	Accepted time.Time // when the version in force was taken
	Changes  int       // of members, seen since the start

	index     int
	joinAfter time.Time
	buffered  []datagram
	reading   bool // a read of the platform is under way
	starting  bool // the node asks peers for their configuration until it is ready
}

// headerBytes is what IP and UDP add to a datagram.
const headerBytes = 28

func (n *Node) active() bool { return n.Running && !n.Paused }
