package rollout

import (
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
)

// startup is what the platform and peers have reported to a new node about the
// version in force elsewhere.
type startup struct {
	ready             bool
	platformResponded bool
	reported          []uint64 // versions reported by the platform or a peer, ascending
	responses         map[fleet.InstanceID]uint64
}

// PeerResponded records the version that a peer reported in its response to a
// pull of this node, 0 if the peer has no configuration.
func (t *Table) PeerResponded(now time.Time, id fleet.InstanceID, version uint64) {
	if t.startup.ready || id == t.self {
		return
	}
	if len(t.startup.responses) < maxPeers {
		t.startup.responses[id] = version
	}
	t.addReported(version)
}

// PlatformResponded records the version of the configuration object on the
// platform, 0 if there is no such object.
func (t *Table) PlatformResponded(now time.Time, version uint64) {
	t.startup.platformResponded = true
	t.addReported(version)
}

func (t *Table) addReported(version uint64) {
	if t.startup.ready {
		return
	}
	i, known := slices.BinarySearch(t.startup.reported, version)
	if known {
		return
	}
	t.startup.reported = slices.Insert(t.startup.reported, i, version)
	if len(t.startup.reported) > maxReportedVersions {
		t.startup.reported = slices.Delete(t.startup.reported, 0, 1)
	}
}

// Ready reports whether the node may serve callers. Once ready, a node stays
// ready.
//
// The node needs a response from the platform, which is authoritative for the
// version in force, or responses from Config.StartupPeers peers. In both cases its
// own version must be at least the highest reported version that it has not
// refused.
func (t *Table) Ready(now time.Time) bool {
	if t.startup.ready {
		return true
	}
	enough := t.startup.platformResponded || len(t.startup.responses) >= t.requiredResponses()
	t.startup.ready = enough && t.version > 0 && t.version >= t.newestReported()
	return t.startup.ready
}

// SetFleetSize sets the number of live members of the whole fleet, the node
// included.
func (t *Table) SetFleetSize(members int) { t.otherMembers = max(0, members-1) }

func (t *Table) requiredResponses() int {
	if t.otherMembers < 0 {
		return t.cfg.StartupPeers
	}
	return min(t.cfg.StartupPeers, max(1, t.otherMembers))
}

// newestReported returns the highest reported version that is not refused, 0 if
// there is none.
func (t *Table) newestReported() uint64 {
	for _, version := range slices.Backward(t.startup.reported) {
		if !t.isRefused(version) {
			return version
		}
	}
	return 0
}
