package rollout

import (
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
)

// startup is what the platform and peers have reported to a new node about the
// version in force elsewhere.
type startup struct {
	lastTick          time.Time
	searched          time.Duration // for which the node has looked for others
	ready             bool
	platformResponded bool            // with a configuration that is not from a copy, or with none
	copied            bool            // the platform's configuration is from a copy
	knewOthers        bool            // another member of the fleet was known
	reported          []epoch.Version // versions reported by the platform or a peer, ascending
	responses         map[fleet.InstanceID]epoch.Version
}

// PeerResponded records the version that a peer reported in its response to a
// pull of this node, 0 if the peer has no configuration.
func (t *Table) PeerResponded(now time.Time, id fleet.InstanceID, version epoch.Version) {
	if t.startup.ready || id == t.self {
		return
	}
	if len(t.startup.responses) < maxPeers {
		t.startup.responses[id] = version
	}
	t.addReported(version)
}

// PlatformResponded records the version of the configuration object on the
// platform, 0 if there is no such object. isFromCopy tells that the platform's store
// was restored from a copy since that version was written: the other nodes may have
// a newer one in force.
func (t *Table) PlatformResponded(_ time.Time, version epoch.Version, isFromCopy bool) {
	if isFromCopy {
		t.startup.copied = true
	} else {
		t.startup.platformResponded = true
	}
	t.addReported(version)
}

func (t *Table) addReported(version epoch.Version) {
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
// version in force unless its store was restored, or responses from
// Config.StartupPeers peers. In both cases its own version must be at least the
// highest reported version that it has not refused. A node that has found no other
// member within Config.CopyWait is alone: the platform's version is then the newest known,
// even if it is from a copy.
func (t *Table) Ready(time.Time) bool {
	if t.startup.ready {
		return true
	}
	isAlone := t.startup.copied && !t.startup.knewOthers && t.startup.searched >= t.cfg.CopyWait
	enough := t.startup.platformResponded || len(t.startup.responses) >= t.requiredResponses() || isAlone
	t.startup.ready = enough && t.version > 0 && t.version >= t.newestReported()
	return t.startup.ready
}

// tickStartup measures the time for which the node has looked for others. Ticks that are
// late count little: a process that was paused has found nobody meanwhile.
func (t *Table) tickStartup(now time.Time) {
	t.startup.searched += min(now.Sub(t.startup.lastTick), maxTickGap)
	t.startup.lastTick = now
}

// SetFleetSize sets the number of live members of the whole fleet, the node
// included.
func (t *Table) SetFleetSize(members int) {
	t.otherMembers = max(0, members-1)
	t.startup.knewOthers = t.startup.knewOthers || t.otherMembers > 0
}

func (t *Table) requiredResponses() int {
	if t.otherMembers < 0 {
		return t.cfg.StartupPeers
	}
	return min(t.cfg.StartupPeers, max(1, t.otherMembers))
}

// newestReported returns the highest reported version that is not refused, 0 if
// there is none.
func (t *Table) newestReported() epoch.Version {
	for _, version := range slices.Backward(t.startup.reported) {
		if !t.isRefused(version) {
			return version
		}
	}
	return 0
}
