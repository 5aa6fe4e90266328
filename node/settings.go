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
	MaxDescriptors    int           // limit on open file descriptors, 0 if there is none
	RetryBudget       retrybudget.Config
	Revocation        Revocation
	Quota             Quota
	FirstStart        bool // the whole fleet starts for the first time
	// WithoutSpillover makes a fixed factor decide on leaving the failure domain, in place of
	// package spillover.
	WithoutSpillover bool
}

// Revocation states how soon a withdrawn key of a client account must be refused.
type Revocation struct {
	// FailClosed makes the node refuse requests with a key while it can't prove that its
	// configuration was the store's latest less than Bound ago.
	FailClosed bool
	Bound      time.Duration
}

// Quota states how far the requests of a client account may exceed its quota: in each window,
// over all nodes, by the fraction Overage of it and by Slack requests.
type Quota struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// advertised returns the address that the node publishes for its peers.
func (s *Settings) advertised() string {
	if s.AdvertisedAddress != "" {
		return s.AdvertisedAddress
	}
	return s.PeerAddress
}
