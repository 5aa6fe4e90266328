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

	"github.com/gypsumford/gypsumford/objects"
	adapter "github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/standin/platform"
)

// bench is a server of the stand-in with the product's own client of it.
type bench struct {
	server *httptest.Server
	client *adapter.Objects
	api    *platform.Server
}

func newBench() *bench {
	server := platform.NewServer(platform.NewFaults(1))
	listener := httptest.NewServer(server.Handler())
	return &bench{server: listener, api: server, client: adapter.NewObjects(listener.URL)}
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

		Convey("writes are conditional and versions only grow", func() {
			first, err := b.client.Put(ctx, "seeds/a/1", []byte("x"), 0)
			So(err, ShouldBeNil)
			_, err = b.client.Put(ctx, "seeds/a/1", []byte("y"), 0)
			So(errors.Is(err, objects.ErrConflict), ShouldBeTrue)
			second, err := b.client.Put(ctx, "seeds/a/1", []byte("y"), first)
			So(err, ShouldBeNil)
			So(second, ShouldBeGreaterThan, first)
			_, err = b.client.Put(ctx, "seeds/a/2", []byte("y"), second)
			So(errors.Is(err, objects.ErrConflict), ShouldBeTrue)
			_, err = b.client.Get(ctx, "seeds/a/2")
			So(errors.Is(err, objects.ErrNotFound), ShouldBeTrue)
			keys, err := b.client.List(ctx, "seeds")
			So(err, ShouldBeNil)
			So(keys, ShouldResemble, []string{"seeds/a/1"})
		})
		Convey("a value over its bound is rejected for good", func() {
			_, err := b.client.Put(ctx, "test/big", make([]byte, platform.MaxBodyBytes), 0)
			So(errors.Is(err, objects.ErrRefused), ShouldBeTrue)
		})
		Convey("a watch returns the newer version, or that there is none", func() {
			version, err := b.client.Put(ctx, "test/w", []byte("1"), 0)
			So(err, ShouldBeNil)
			_, err = b.client.Watch(ctx, "test/w", version, time.Millisecond)
			So(errors.Is(err, objects.ErrNotModified), ShouldBeTrue)
			go func() { _, _ = b.client.Put(ctx, "test/w", []byte("2"), version) }()
			object, err := b.client.Watch(ctx, "test/w", version, time.Minute)
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
		version, err := b.client.Put(ctx, "test/k", []byte("old"), 0)
		So(err, ShouldBeNil)

		Convey("an outage answers nothing until it is over", func() {
			So(b.fault(`{"kind":"down"}`), ShouldEqual, http.StatusOK)
			_, err := b.client.Get(ctx, "test/k")
			So(errors.Is(err, objects.ErrUnavailable), ShouldBeTrue)
			So(b.fault(`{"kind":"up"}`), ShouldEqual, http.StatusOK)
			_, err = b.client.Get(ctx, "test/k")
			So(err, ShouldBeNil)
		})
		Convey("a hang ends with the caller's patience", func() {
			So(b.fault(`{"kind":"hang"}`), ShouldEqual, http.StatusOK)
			short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
			defer cancel()
			_, err := b.client.Get(short, "test/k")
			So(errors.Is(err, objects.ErrUnavailable), ShouldBeTrue)
		})
		Convey("a write whose answer is lost has taken effect", func() {
			So(b.fault(`{"kind":"lose-answers"}`), ShouldEqual, http.StatusOK)
			_, err := b.client.Put(ctx, "test/k", []byte("new"), version)
			So(errors.Is(err, objects.ErrUnavailable), ShouldBeTrue)
			object, err := b.client.Get(ctx, "test/k")
			So(err, ShouldBeNil)
			So(string(object.Value), ShouldEqual, "new")
		})
		Convey("a late write takes effect only if its condition still holds", func() {
			So(b.fault(`{"kind":"late-effect","delay_ms":20}`), ShouldEqual, http.StatusOK)
			_, err := b.client.Put(ctx, "test/k", []byte("late"), version)
			So(errors.Is(err, objects.ErrUnavailable), ShouldBeTrue)
			_, err = b.client.Put(ctx, "test/other", []byte("late"), 0)
			So(errors.Is(err, objects.ErrUnavailable), ShouldBeTrue)
			So(b.fault(`{"kind":"up"}`), ShouldEqual, http.StatusOK)
			_, err = b.client.Put(ctx, "test/k", []byte("meanwhile"), version)
			So(err, ShouldBeNil)
			_, err = b.client.Watch(ctx, "test/other", 0, time.Minute)
			So(err, ShouldBeNil)
			object, err := b.client.Get(ctx, "test/k")
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
