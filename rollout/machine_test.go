package rollout_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

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
	version uint64
	checked map[uint64]bool
	invalid map[uint64]bool // versions whose document fails the check

	platform  bool // the platform has responded
	responses map[fleet.InstanceID]bool
	reported  []uint64
	wasReady  bool
}

func newOracle() *oracle {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &oracle{
		table:     rollout.NewTable(rollout.Config{}, "self", "d1", now, 1),
		now:       now,
		checked:   map[uint64]bool{},
		invalid:   map[uint64]bool{3: true, 7: true},
		responses: map[fleet.InstanceID]bool{},
	}
}

func (o *oracle) drawVersion(t *rapid.T) uint64 { return rapid.Uint64Range(0, 10).Draw(t, "version") }

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
			t.Fatalf("version %d was checked twice", version)
		}
		o.checked[version] = true
		if o.invalid[version] {
			return errInvalid
		}
		return nil
	})
	if got != want {
		t.Fatalf("offer of version %d while %d is in force: got %s, want %s", version, o.version, got, want)
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
	o.table.PlatformResponded(o.now, version)
	o.platform = true
	o.reported = append(o.reported, version)
}

func (o *oracle) pullFailed(t *rapid.T) {
	o.table.PullFailed(o.now, o.drawPeer(t))
}

func (o *oracle) tick(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
	pulls := o.table.Tick(o.now)
	if len(pulls) > 1 {
		t.Fatalf("%d pulls started at once, want at most 1", len(pulls))
	}
}

func (o *oracle) check(t *rapid.T) {
	if o.table.Version() != o.version {
		t.Fatalf("version %d is in force, want %d", o.table.Version(), o.version)
	}
	if o.version > 0 && string(o.table.Document()) != fmt.Sprint(o.version) {
		t.Fatalf("version %d is in force with document %q", o.version, o.table.Document())
	}
}

// ready checks that the table is ready exactly if the platform or enough peers
// have responded and its version is up to date with those reported.
func (o *oracle) ready(t *rapid.T) {
	if o.wasReady {
		return
	}
	o.wasReady = o.table.Ready(o.now)
	enough := o.platform || len(o.responses) >= 3
	current := o.version > 0
	for _, version := range o.reported {
		refused := o.invalid[version] && o.checked[version]
		current = current && (o.version >= version || refused)
	}
	if o.wasReady != (enough && current) {
		t.Fatalf("ready: %t, with version %d, reported versions %v, platform responded: %t, %d peers responded",
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
