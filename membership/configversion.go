package membership

import "github.com/gypsumford/gypsumford/fleet"

// ConfigPeer is a member that has a newer configuration than the node.
type ConfigPeer struct {
	Instance fleet.InstanceID
	Address  string // PeerAddress
	Version  uint64
}

// SetConfigVersion sets the version that each packet carries. A higher one is
// also sent to some members with the next ticks.
func (t *Table) SetConfigVersion(v uint64) {
	if v > t.configVersion {
		t.configSends = transmissions
	}
	t.configVersion = v
}

// NewerConfigPeers returns members that were heard of with a newer configuration
// than the node's since the last call, at most a few.
func (t *Table) NewerConfigPeers() []ConfigPeer {
	peers := t.configPeers
	t.configPeers = nil
	return peers
}

func (t *Table) noteConfigVersion(sender *record, version uint64) {
	if version <= t.configVersion {
		return
	}
	for i := range t.configPeers {
		if t.configPeers[i].Instance == sender.who.id {
			t.configPeers[i].Version = max(version, t.configPeers[i].Version)
			return
		}
	}
	if len(t.configPeers) < maxConfigPeers {
		t.configPeers = append(t.configPeers, ConfigPeer{
			Instance: sender.who.id,
			Address:  sender.who.address,
			Version:  version,
		})
	}
}
