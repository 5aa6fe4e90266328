package platform_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	api "github.com/gypsumford/gypsumford/api/platform"
	"github.com/gypsumford/gypsumford/standin/platform"
)

// bench is a server of the stand-in with the product's own client of it.
type bench struct {
	server *httptest.Server
	client *api.Client
	store  *platform.Store
	api    *platform.Server
}

func newBench() *bench {
	store := platform.NewStore()
	server := platform.NewServer(store, platform.NewFaults(1))
	listener := httptest.NewServer(server.Handler())
	return &bench{
		server: listener, store: store, api: server,
		client: api.New(listener.URL, &http.Client{}),
	}
}

func (b *bench) fault(body string) int {
	response, err := http.Post(b.server.URL+"/fault", "application/json", bytes.NewBufferString(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestObjects(t *testing.T) {
	ctx := context.Background()
	Convey("Given an empty platform", t, func() {
		b := newBench()
		defer b.server.Close()

		Convey("writes are conditional and versions only grow, also over a deletion", func() {
			first, err := b.client.Put(ctx, "claims/a/1", []byte("x"), 0)
			So(err, ShouldBeNil)
			_, err = b.client.Put(ctx, "claims/a/1", []byte("y"), 0)
			So(errors.Is(err, api.ErrConflict), ShouldBeTrue)
			second, err := b.client.Put(ctx, "claims/a/1", []byte("y"), first)
			So(err, ShouldBeNil)
			So(second, ShouldBeGreaterThan, first)
			deleted, err := b.store.Delete("claims/a/1", platform.Condition{Set: true, Version: second})
			So(err, ShouldBeNil)
			_, err = b.client.Get(ctx, "claims/a/1")
			So(errors.Is(err, api.ErrNotFound), ShouldBeTrue)
			again, err := b.client.Put(ctx, "claims/a/1", []byte("z"), 0)
			So(err, ShouldBeNil)
			So(again, ShouldBeGreaterThan, deleted)
			list, err := b.client.List(ctx, "claims/")
			So(err, ShouldBeNil)
			So(list, ShouldResemble, []api.ObjectVersion{{Key: "claims/a/1", Version: again}})
		})
		Convey("a value over its bound is rejected for good", func() {
			_, err := b.client.Put(ctx, "big", make([]byte, platform.MaxValueBytes+1), 0)
			So(errors.Is(err, api.ErrRejected), ShouldBeTrue)
		})
		Convey("a watch returns the newer version, or that there is none", func() {
			version, err := b.client.Put(ctx, "w", []byte("1"), 0)
			So(err, ShouldBeNil)
			_, err = b.client.Watch(ctx, "w", version, time.Millisecond)
			So(errors.Is(err, api.ErrNotModified), ShouldBeTrue)
			go func() { _, _ = b.client.Put(ctx, "w", []byte("2"), version) }()
			object, err := b.client.Watch(ctx, "w", version, time.Minute)
			So(err, ShouldBeNil)
			So(string(object.Value), ShouldEqual, "2")
			So(b.api.Stats().Watches, ShouldEqual, 2)
			So(b.api.Stats().Writes, ShouldEqual, 2)
		})
	})
}

func TestFaults(t *testing.T) {
	ctx := context.Background()
	Convey("Given a platform with one object", t, func() {
		b := newBench()
		defer b.server.Close()
		version, err := b.client.Put(ctx, "k", []byte("old"), 0)
		So(err, ShouldBeNil)

		Convey("an outage answers nothing until it is over", func() {
			So(b.fault(`{"kind":"down"}`), ShouldEqual, http.StatusOK)
			_, err := b.client.Get(ctx, "k")
			So(errors.Is(err, api.ErrUnavailable), ShouldBeTrue)
			So(b.fault(`{"kind":"up"}`), ShouldEqual, http.StatusOK)
			_, err = b.client.Get(ctx, "k")
			So(err, ShouldBeNil)
		})
		Convey("a hang ends with the caller's patience", func() {
			So(b.fault(`{"kind":"hang"}`), ShouldEqual, http.StatusOK)
			short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
			defer cancel()
			_, err := b.client.Get(short, "k")
			So(errors.Is(err, api.ErrUnavailable), ShouldBeTrue)
		})
		Convey("a write whose answer is lost has taken effect", func() {
			So(b.fault(`{"kind":"lose-answers"}`), ShouldEqual, http.StatusOK)
			_, err := b.client.Put(ctx, "k", []byte("new"), version)
			So(errors.Is(err, api.ErrUnavailable), ShouldBeTrue)
			object, err := b.client.Get(ctx, "k")
			So(err, ShouldBeNil)
			So(string(object.Value), ShouldEqual, "new")
		})
		Convey("a late write takes effect only if its condition still holds", func() {
			So(b.fault(`{"kind":"late-effect","delay_ms":20}`), ShouldEqual, http.StatusOK)
			_, err := b.client.Put(ctx, "k", []byte("late"), version)
			So(errors.Is(err, api.ErrUnavailable), ShouldBeTrue)
			_, err = b.client.Put(ctx, "other", []byte("late"), 0)
			So(errors.Is(err, api.ErrUnavailable), ShouldBeTrue)
			So(b.fault(`{"kind":"up"}`), ShouldEqual, http.StatusOK)
			_, err = b.client.Put(ctx, "k", []byte("meanwhile"), version)
			So(err, ShouldBeNil)
			_, err = b.client.Watch(ctx, "other", 0, time.Minute)
			So(err, ShouldBeNil)
			object, err := b.client.Get(ctx, "k")
			So(err, ShouldBeNil)
			So(string(object.Value), ShouldEqual, "meanwhile")
		})
		Convey("a wrong fault is refused and counted", func() {
			So(b.fault(`{"kind":"tired","probability":3}`), ShouldEqual, http.StatusBadRequest)
			So(b.fault(`{"sort":"down"}`), ShouldEqual, http.StatusBadRequest)
			So(b.api.Stats().Bad, ShouldEqual, 2)
		})
	})
}

func TestFaultDraws(t *testing.T) {
	Convey("A fault hits its share of calls, and none after its duration", t, func() {
		now := time.Unix(0, 0)
		faults := platform.NewFaults(7)
		So(faults.Set(platform.Fault{Kind: platform.FaultDown, Probability: 0.3, DurationMs: 1000}, now), ShouldBeNil)
		hits := 0
		for range 10_000 {
			hits += len(faults.Draw(now))
		}
		So(hits, ShouldBeBetween, 2700, 3300)
		So(faults.Draw(now.Add(time.Second)), ShouldBeEmpty)
	})
}
