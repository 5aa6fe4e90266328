package claim_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/claim"
)

// seededWorld returns a world without faults whose chances come from a seed.
func seededWorld(t *testing.T, nodes int, seed uint64) (*world, *rand.Rand) {
	source := rand.New(rand.NewPCG(seed, seed))
	choose := func(_ string, n int) int { return source.IntN(n) }
	return newWorld(nodes, claim.Config{}, choose, t.Errorf), source
}

// randomKey returns a UUIDv7 key of the time, or a UUIDv4 key if it is zero.
func randomKey(source *rand.Rand, at time.Time) claim.Key {
	var id uuid.UUID
	for i := range id {
		id[i] = byte(source.Uint32())
	}
	version := byte(0x40)
	if !at.IsZero() {
		version = 0x70
		for i := range 6 {
			id[i] = byte(at.UnixMilli() >> (40 - 8*i))
		}
	}
	id[6] = id[6]&0x0f | version
	id[8] = id[8]&0x3f | 0x80
	key, err := claim.ParseKey(id.String())
	if err != nil {
		panic(err)
	}
	return key
}

// shardKey returns a random key of shard 0.
func shardKey(source *rand.Rand, at time.Time) claim.Key {
	for {
		if key := randomKey(source, at); key.Shard() == 0 {
			return key
		}
	}
}

func (w *world) askNow(n *node, key claim.Key) *ask {
	a := w.ask(n, key, time.Second)
	w.advance(time.Second)
	return a
}

func TestClaimsAge(t *testing.T) {
	Convey("Given a shard whose dated claims span twenty minutes", t, func() {
		w, source := seededWorld(t, 2, 1)
		old := shardKey(source, w.now)
		opaque := shardKey(source, time.Time{})
		So(w.askNow(w.nodes[0], old).outcome, ShouldEqual, call.Completed)
		So(w.askNow(w.nodes[0], opaque).outcome, ShouldEqual, call.Completed)
		for range 300 {
			w.askNow(w.nodes[0], shardKey(source, w.now))
			w.advance(3 * time.Second)
		}
		Convey("the oldest claim is dropped, and its key is unknown ever after", func() {
			So(len(w.platform.objects[0].value), ShouldBeLessThan, 290*40)
			So(w.askNow(w.nodes[1], old).outcome, ShouldEqual, call.Unknown)
			w.nodes[0].restart()
			So(w.askNow(w.nodes[0], old).outcome, ShouldEqual, call.Unknown)
		})
		Convey("an undated claim is not dropped", func() {
			So(w.askNow(w.nodes[1], opaque).outcome, ShouldEqual, call.Unknown)
		})
		Convey("a recent key that nobody used runs", func() {
			key := shardKey(source, w.now.Add(-time.Minute))
			So(w.askNow(w.nodes[1], key).outcome, ShouldEqual, call.Completed)
		})
	})
}

func TestFullShardRefuses(t *testing.T) {
	Convey("A shard that is full of recent claims refuses new keys and stays below 700 KB", t, func() {
		w, source := seededWorld(t, 1, 2)
		for range claim.MaxEntries + 100 {
			w.ask(w.nodes[0], shardKey(source, w.now), time.Second)
			if len(w.asks)%1000 == 0 {
				w.advance(100 * time.Millisecond)
			}
		}
		w.advance(time.Second)
		completed := 0
		for _, a := range w.asks {
			if a.outcome == call.Completed {
				completed++
			}
		}
		So(completed, ShouldEqual, claim.MaxEntries)
		So(len(w.platform.objects[0].value), ShouldBeLessThan, 700_000)
		So(w.asks[len(w.asks)-1].reason, ShouldEqual, call.ReasonPlatform)

		Convey("and takes them again when the claims are a minute old", func() {
			w.advance(time.Minute)
			So(w.askNow(w.nodes[0], shardKey(source, w.now)).outcome, ShouldEqual, call.Completed)
		})
	})
	Convey("Undated keys are refused when their part of the shard is full, dated ones are not", t, func() {
		w, source := seededWorld(t, 1, 3)
		for range claim.MaxUndated + 1 {
			w.ask(w.nodes[0], shardKey(source, time.Time{}), time.Second)
		}
		w.advance(time.Second)
		So(w.asks[claim.MaxUndated-1].outcome, ShouldEqual, call.Completed)
		So(w.asks[claim.MaxUndated].reason, ShouldEqual, call.ReasonKey)
		So(w.askNow(w.nodes[0], shardKey(source, w.now)).outcome, ShouldEqual, call.Completed)
	})
}
