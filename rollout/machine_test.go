package rollout_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/rollout"
)

// init fixes the seed, so that every run has the same result. The flag -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var errInvalid = errors.New("invalid")

// oracle is a simple model of a table: it holds the state that a table must report.
type oracle struct {
	table   *rollout.Table
	now     time.Time
	version epoch.Version
	checked map[epoch.Version]bool
	invalid map[epoch.Version]bool // versions whose document fails the check

	platform  bool // the platform has responded, with what isn't from a copy
	copied    bool // the platform has responded with what is from a copy
	searched  time.Duration
	responses map[fleet.InstanceID]bool
	reported  []epoch.Version
	wasReady  bool
}

func newOracle() *oracle {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &oracle{
		table:     rollout.NewTable(rollout.Config{}, "self", "d1", now, 1),
		now:       now,
		checked:   map[epoch.Version]bool{},
		invalid:   map[epoch.Version]bool{epoch.NewVersion(1, 3): true, epoch.NewVersion(2, 2): true, epoch.NewVersion(2, 4): true},
		responses: map[fleet.InstanceID]bool{},
	}
}

// drawVersion draws a version of one of three epochs, whose revisions are the same numbers.
func (o *oracle) drawVersion(t *rapid.T) epoch.Version {
	number := rapid.Uint64Range(0, 5).Draw(t, "revision")
	if number == 0 {
		return 0
	}
	return epoch.NewVersion(epoch.ID(rapid.Uint64Range(0, 2).Draw(t, "epoch")), number)
}

func (o *oracle) drawPeer(t *rapid.T) fleet.InstanceID {
	return fleet.InstanceID(fmt.Sprintf("p%d", rapid.IntRange(0, 4).Draw(t, "peer")))
}

func (o *oracle) offer(t *rapid.T) {
	version := o.drawVersion(t)
	want := rollout.Accepted
	switch {
	case version <= o.version:
		want = rollout.Older
	case o.invalid[version]:
		want = rollout.Invalid
	}
	document := []byte(fmt.Sprint(version))
	got := o.table.Offer(o.now, version, document, func([]byte) error {
		if o.checked[version] {
			t.Fatalf("version %s was checked twice", version)
		}
		o.checked[version] = true
		if o.invalid[version] {
			return errInvalid
		}
		return nil
	})
	if got != want {
		t.Fatalf("offer of version %s while %s is in force: got %s, want %s", version, o.version, got, want)
	}
	if got == rollout.Accepted {
		o.version = version
	}
}

func (o *oracle) peerVersion(t *rapid.T) {
	o.table.RecordPeerVersion(o.now, o.drawPeer(t), "10.0.0.1:1", o.drawVersion(t))
}

func (o *oracle) peerResponded(t *rapid.T) {
	peer, version := o.drawPeer(t), o.drawVersion(t)
	o.table.PeerResponded(o.now, peer, version)
	o.responses[peer] = true
	o.reported = append(o.reported, version)
}

func (o *oracle) platformResponded(t *rapid.T) {
	version := o.drawVersion(t)
	isFromCopy := rapid.Bool().Draw(t, "copied")
	o.table.PlatformResponded(o.now, version, isFromCopy)
	o.copied = o.copied || isFromCopy
	o.platform = o.platform || !isFromCopy
	o.reported = append(o.reported, version)
}

func (o *oracle) pullFailed(t *rapid.T) {
	o.table.PullFailed(o.now, o.drawPeer(t))
}

func (o *oracle) tick(t *rapid.T) {
	elapsed := time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
	o.now = o.now.Add(elapsed)
	o.searched += min(elapsed, 500*time.Millisecond)
	pulls := o.table.Tick(o.now)
	if len(pulls) > 1 {
		t.Fatalf("%d pulls started at once, want at most 1", len(pulls))
	}
}

func (o *oracle) check(t *rapid.T) {
	if o.table.Version() != o.version {
		t.Fatalf("version %s is in force, want %s", o.table.Version(), o.version)
	}
	if o.version > 0 && string(o.table.Document()) != fmt.Sprint(o.version) {
		t.Fatalf("version %s is in force with document %q", o.version, o.table.Document())
	}
}

// ready checks that the table is ready exactly if the platform or enough peers
// have responded and its version is up to date with those reported.
func (o *oracle) ready(t *rapid.T) {
	if o.wasReady {
		return
	}
	o.wasReady = o.table.Ready(o.now)
	enough := o.platform || len(o.responses) >= 3 || o.copied && o.searched >= 15*time.Second
	current := o.version > 0
	for _, version := range o.reported {
		refused := o.invalid[version] && o.checked[version]
		current = current && (o.version >= version || refused)
	}
	if o.wasReady != (enough && current) {
		t.Fatalf("ready: %t, with version %s, reported versions %v, platform responded: %t, %d peers responded",
			o.wasReady, o.version, o.reported, o.platform, len(o.responses))
	}
}

func TestRolloutAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"offer":              o.offer,
			"peer version":       o.peerVersion,
			"peer responded":     o.peerResponded,
			"platform responded": o.platformResponded,
			"pull failed":        o.pullFailed,
			"tick":               o.tick,
			"ready":              o.ready,
			"":                   o.check,
		})
	})
}
