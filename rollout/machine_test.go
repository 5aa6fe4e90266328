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

// A fixed seed gives each run the same verdict; -rapid.seed of the command line goes
// before it.
func init() { _ = flag.Set("rapid.seed", "1") }

var errBad = errors.New("bad")

// oracle is what a table must say, in the plainest form.
type oracle struct {
	table   *rollout.Table
	now     time.Time
	version uint64
	checked map[uint64]bool
	bad     map[uint64]bool // versions whose document fails the check

	platform bool
	answers  map[fleet.InstanceID]bool
	told     []uint64
	wasReady bool
}

func newOracle() *oracle {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &oracle{
		table:   rollout.NewTable(rollout.Config{}, "self", "d1", now, 1),
		now:     now,
		checked: map[uint64]bool{},
		bad:     map[uint64]bool{3: true, 7: true},
		answers: map[fleet.InstanceID]bool{},
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
	case o.bad[version]:
		want = rollout.Invalid
	}
	document := []byte(fmt.Sprint(version))
	got := o.table.Offer(o.now, version, document, func([]byte) error {
		if o.checked[version] {
			t.Fatalf("version %d is checked again", version)
		}
		o.checked[version] = true
		if o.bad[version] {
			return errBad
		}
		return nil
	})
	if got != want {
		t.Fatalf("offer of %d while %d is in force: %s, not %s", version, o.version, got, want)
	}
	if got == rollout.Accepted {
		o.version = version
	}
}

func (o *oracle) peerVersion(t *rapid.T) {
	o.table.PeerVersion(o.now, o.drawPeer(t), "10.0.0.1:1", o.drawVersion(t))
}

func (o *oracle) peerAnswered(t *rapid.T) {
	peer, version := o.drawPeer(t), o.drawVersion(t)
	o.table.PeerAnswered(o.now, peer, version)
	o.answers[peer] = true
	o.told = append(o.told, version)
}

func (o *oracle) platformAnswered(t *rapid.T) {
	version := o.drawVersion(t)
	o.table.PlatformAnswered(o.now, version)
	o.platform = true
	o.told = append(o.told, version)
}

func (o *oracle) pullFailed(t *rapid.T) {
	o.table.PullFailed(o.now, o.drawPeer(t))
}

func (o *oracle) tick(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
	pulls := o.table.Tick(o.now)
	if len(pulls) > 1 {
		t.Fatalf("%d pulls at a time", len(pulls))
	}
}

func (o *oracle) check(t *rapid.T) {
	if o.table.Version() != o.version {
		t.Fatalf("version %d in force, not %d", o.table.Version(), o.version)
	}
	if o.version > 0 && string(o.table.Document()) != fmt.Sprint(o.version) {
		t.Fatalf("version %d with document %q", o.version, o.table.Document())
	}
}

// ready holds that a table says it is ready only if it was told enough, and has
// what it was told.
func (o *oracle) ready(t *rapid.T) {
	if o.wasReady {
		return
	}
	o.wasReady = o.table.Ready(o.now)
	enough := o.platform || len(o.answers) >= 3
	current := o.version > 0
	for _, version := range o.told {
		refused := o.bad[version] && o.checked[version]
		current = current && (o.version >= version || refused)
	}
	if o.wasReady != (enough && current) {
		t.Fatalf("ready: %t, with version %d, told %v, platform %t, %d answers",
			o.wasReady, o.version, o.told, o.platform, len(o.answers))
	}
}

func TestRolloutAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"offer":             o.offer,
			"peer version":      o.peerVersion,
			"peer answered":     o.peerAnswered,
			"platform answered": o.platformAnswered,
			"pull failed":       o.pullFailed,
			"tick":              o.tick,
			"ready":             o.ready,
			"":                  o.check,
		})
	})
}
