package rollout

import (
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
)

// startup is what a new node has been told of the version in force elsewhere.
type startup struct {
	ready    bool
	platform bool     // has answered
	told     []uint64 // versions that the platform or a peer told, in order
	answers  map[fleet.InstanceID]uint64
}

// PeerAnswered notes the version that a peer stated in an answer to this node, 0
// if it has none.
func (t *Table) PeerAnswered(now time.Time, id fleet.InstanceID, version uint64) {
	if t.startup.ready || id == t.self {
		return
	}
	if len(t.startup.answers) < maxPeers {
		t.startup.answers[id] = version
	}
	t.tell(version)
}

// PlatformAnswered notes the version of the configuration object on the platform,
// 0 if there is no such object.
func (t *Table) PlatformAnswered(now time.Time, version uint64) {
	t.startup.platform = true
	t.tell(version)
}

func (t *Table) tell(version uint64) {
	if t.startup.ready {
		return
	}
	i, known := slices.BinarySearch(t.startup.told, version)
	if known {
		return
	}
	t.startup.told = slices.Insert(t.startup.told, i, version)
	if len(t.startup.told) > maxTold {
		t.startup.told = slices.Delete(t.startup.told, 0, 1)
	}
}

// Ready reports whether the node may answer callers. Once ready it stays so.
//
// The platform's answer settles which version is in force. Without it, the node
// needs the answers of Config.StartupPeers peers. In both cases its own version
// must have reached the highest one told.
func (t *Table) Ready(now time.Time) bool {
	if t.startup.ready {
		return true
	}
	enough := t.startup.platform || len(t.startup.answers) >= t.neededAnswers()
	t.startup.ready = enough && t.version > 0 && t.version >= t.told()
	return t.startup.ready
}

// SetFleetSize sets the number of live members of the whole fleet, the node
// included.
func (t *Table) SetFleetSize(members int) { t.others = max(0, members-1) }

func (t *Table) neededAnswers() int {
	if t.others < 0 {
		return t.cfg.StartupPeers
	}
	return min(t.cfg.StartupPeers, max(1, t.others))
}

// told returns the highest version told that is not refused.
func (t *Table) told() uint64 {
	for _, version := range slices.Backward(t.startup.told) {
		if !t.isRefused(version) {
			return version
		}
	}
	return 0
}
