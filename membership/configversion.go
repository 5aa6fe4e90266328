package membership

import (
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
)

// ConfigPeer is a member that has a newer configuration than the node.
type ConfigPeer struct {
	Instance fleet.InstanceID
	Address  string // its PeerAddress
	Version  epoch.Version
}

// SetConfigVersion sets the configuration version that each packet carries. After
// an increase the next ticks send packets even if no other update is queued.
func (t *Table) SetConfigVersion(v epoch.Version) {
	if v > t.configVersion {
		t.configSends = transmissions
	}
	t.configVersion = v
}

// NewerConfigPeers returns members from which a packet with a newer configuration
// version than the node's arrived since the last call, at most maxConfigPeers.
func (t *Table) NewerConfigPeers() []ConfigPeer {
	peers := t.configPeers
	t.configPeers = nil
	return peers
}

func (t *Table) recordConfigVersion(sender *record, version epoch.Version) {
	if version <= t.configVersion {
		return
	}
	for i := range t.configPeers {
		if t.configPeers[i].Instance == sender.identity.id {
			t.configPeers[i].Version = max(version, t.configPeers[i].Version)
			return
		}
	}
	if len(t.configPeers) < maxConfigPeers {
		t.configPeers = append(t.configPeers, ConfigPeer{
			Instance: sender.identity.id,
			Address:  sender.identity.address,
			Version:  version,
		})
	}
}
