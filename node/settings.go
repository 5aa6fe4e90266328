package node

import (
	"time"

	"github.com/gypsumford/gypsumford/retrybudget"
)

// Settings are the settings of one node. Addresses are host:port.
type Settings struct {
	Name              string // of the instance
	Domain            string // failure domain
	Service           string // of the target beside the node
	CallerAddress     string // where the node listens for requests of callers and of the local target
	PeerAddress       string // where the node listens for peers
	AdvertisedAddress string // where peers reach this node, "" if at PeerAddress
	ReadyAddress      string // where the node listens for the platform's readiness probes
	HeartbeatAddress  string // where the node listens for the target's heartbeats
	TargetAddress     string // of the target beside the node
	MetricsAddress    string // where the node serves metrics, "" if it doesn't
	HeartbeatInterval time.Duration
	DrainTime         time.Duration // after which a draining target gets no more requests
	GraceTime         time.Duration // from SIGTERM until the process is killed
	MemoryBytes       int64         // memory limit of the process, 0 if there is none
	RetryBudget       retrybudget.Config
	FirstStart        bool // the whole fleet starts for the first time
}

// advertised returns the address that the node publishes for its peers.
func (s *Settings) advertised() string {
	if s.AdvertisedAddress != "" {
		return s.AdvertisedAddress
	}
	return s.PeerAddress
}
