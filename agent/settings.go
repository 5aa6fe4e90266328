package agent

import (
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/settings"
)

// Settings are the static settings of a daemon. Settings that operators change while
// it runs are in the inventory.
type Settings struct {
	CallListen    *string // address for callers and the local target
	PeerListen    *string // address for other nodes and operators; TCP, and UDP on the same port
	PeerAdvertise *string // address at which peers reach PeerListen, "" for PeerListen itself
	Platform      *string // URL
	FailureDomain *string
	Region        *string
	Seeds         *[]string
	DrainTimeout  *time.Duration
	TimelineSize  *int // events
}

// DeclareSettings declares the daemon's settings. Their values are valid after
// set.Parse.
func DeclareSettings(set *settings.Set) *Settings {
	return &Settings{
		CallListen: set.HostPort("call-listen", "127.0.0.1:7001",
			"address that takes callers and the own target"),
		PeerListen: set.HostPort("peer-listen", "127.0.0.1:7002",
			"address that takes other nodes and operators, TCP and UDP on one port"),
		PeerAdvertise: set.HostPort("peer-advertise", "",
			"address under which other nodes reach -peer-listen; that one itself if empty"),
		Platform: set.URL("platform", "", "URL of the platform's store", settings.Required),
		FailureDomain: set.String("failure-domain", "", "failure domain that this instance stands in",
			settings.Required, settings.Name),
		Region: set.String("region", "", "region that the failure domain belongs to", settings.Required, settings.Name),
		Seeds: set.HostPorts("seeds", "",
			"peer addresses to join through, beside those that the platform lists"),
		DrainTimeout: set.Duration("drain-timeout", 30*time.Second,
			"longest time that a graceful stop waits for calls in flight", settings.Between(time.Second, 10*time.Minute)),
		TimelineSize: set.Int("timeline-events", 16384, "events kept in memory for the time line",
			settings.Between(256, 1<<20)),
	}
}

// instance returns this process as a starting instance with the given id.
func (s *Settings) instance(id fleet.InstanceID, peerAddress string) fleet.Instance {
	if *s.PeerAdvertise != "" {
		peerAddress = *s.PeerAdvertise
	}
	return fleet.Instance{
		ID: id, PeerAddress: peerAddress,
		FailureDomain: fleet.FailureDomain(*s.FailureDomain), Region: fleet.Region(*s.Region),
		State: fleet.Starting,
	}
}
