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

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/objects"
	adapter "github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/standin/platform"
)

// fixture is a server of the emulated store and a production client connected to it.
type fixture struct {
	server   *httptest.Server
	client   *adapter.Objects
	emulator *platform.Server
}

func newFixture() *fixture {
	server := platform.NewServer(platform.NewFaults(1))
	listener := httptest.NewServer(server.Handler())
	return &fixture{server: listener, emulator: server, client: adapter.NewObjects(listener.URL)}
}

// setFault posts a fault and returns the response's status, 0 if there is none.
func (f *fixture) setFault(body string) int {
	response, err := http.Post(f.server.URL+"/fault", "application/json", bytes.NewBufferString(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestObjects(t *testing.T) {
	ctx := context.Background()
	Convey("Given an empty platform", t, func() {
		f := newFixture()
		defer f.server.Close()

		Convey("writes are conditional and versions only grow", func() {
			first, err := f.client.Put(ctx, "seeds/a/1", []byte("x"), epoch.Revision{})
			So(err, ShouldBeNil)
			_, err = f.client.Put(ctx, "seeds/a/1", []byte("y"), epoch.Revision{})
			So(errors.Is(err, objects.ErrConflict), ShouldBeTrue)
			second, err := f.client.Put(ctx, "seeds/a/1", []byte("y"), first.Revision)
			So(err, ShouldBeNil)
			So(second.Version, ShouldBeGreaterThan, first.Version)
			_, err = f.client.Put(ctx, "seeds/a/2", []byte("y"), second.Revision)
			So(errors.Is(err, objects.ErrConflict), ShouldBeTrue)
			_, err = f.client.Get(ctx, "seeds/a/2")
			So(errors.Is(err, objects.ErrNotFound), ShouldBeTrue)
			keys, err := f.client.List(ctx, "seeds")
			So(err, ShouldBeNil)
			So(keys, ShouldResemble, []string{"seeds/a/1"})
		})
		Convey("a value over the size limit is refused permanently", func() {
			_, err := f.client.Put(ctx, "test/big", make([]byte, platform.MaxBodyBytes), epoch.Revision{})
			So(errors.Is(err, objects.ErrRefused), ShouldBeTrue)
		})
		Convey("a watch returns a newer version, or ErrNotModified when its wait has passed", func() {
			first, err := f.client.Put(ctx, "test/w", []byte("1"), epoch.Revision{})
			So(err, ShouldBeNil)
			_, err = f.client.Watch(ctx, "test/w", first.Revision, time.Millisecond)
			So(errors.Is(err, objects.ErrNotModified), ShouldBeTrue)
			go func() { _, _ = f.client.Put(ctx, "test/w", []byte("2"), first.Revision) }()
			object, err := f.client.Watch(ctx, "test/w", first.Revision, time.Minute)
			So(err, ShouldBeNil)
			So(string(object.Value), ShouldEqual, "2")
			So(f.emulator.Stats().Watches, ShouldEqual, 2)
			So(f.emulator.Stats().Writes, ShouldEqual, 2)
		})
	})
}

func TestFaults(t *testing.T) {
	ctx := context.Background()
	Convey("Given a platform with one object", t, func() {
		f := newFixture()
		defer f.server.Close()
		old, err := f.client.Put(ctx, "test/k", []byte("old"), epoch.Revision{})
		So(err, ShouldBeNil)

		Convey("calls fail during an outage and succeed after it", func() {
			So(f.setFault(`{"kind":"down"}`), ShouldEqual, http.StatusOK)
			_, err := f.client.Get(ctx, "test/k")
			So(errors.Is(err, objects.ErrUnavailable), ShouldBeTrue)
			So(f.setFault(`{"kind":"up"}`), ShouldEqual, http.StatusOK)
			_, err = f.client.Get(ctx, "test/k")
			So(err, ShouldBeNil)
		})
		Convey("a hanging call ends at its caller's timeout", func() {
			So(f.setFault(`{"kind":"hang"}`), ShouldEqual, http.StatusOK)
			short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
			defer cancel()
			_, err := f.client.Get(short, "test/k")
			So(errors.Is(err, objects.ErrUnavailable), ShouldBeTrue)
		})
		Convey("a write whose response is lost has taken effect", func() {
			So(f.setFault(`{"kind":"lose-answers"}`), ShouldEqual, http.StatusOK)
			_, err := f.client.Put(ctx, "test/k", []byte("new"), old.Revision)
			So(errors.Is(err, objects.ErrUnavailable), ShouldBeTrue)
			object, err := f.client.Get(ctx, "test/k")
			So(err, ShouldBeNil)
			So(string(object.Value), ShouldEqual, "new")
		})
		Convey("a delayed write takes effect only if its condition still holds", func() {
			So(f.setFault(`{"kind":"late-effect","delay_ms":20}`), ShouldEqual, http.StatusOK)
			_, err := f.client.Put(ctx, "test/k", []byte("late"), old.Revision)
			So(errors.Is(err, objects.ErrUnavailable), ShouldBeTrue)
			_, err = f.client.Put(ctx, "test/other", []byte("late"), epoch.Revision{})
			So(errors.Is(err, objects.ErrUnavailable), ShouldBeTrue)
			So(f.setFault(`{"kind":"up"}`), ShouldEqual, http.StatusOK)
			_, err = f.client.Put(ctx, "test/k", []byte("meanwhile"), old.Revision)
			So(err, ShouldBeNil)
			_, err = f.client.Watch(ctx, "test/other", epoch.Revision{}, time.Minute)
			So(err, ShouldBeNil)
			object, err := f.client.Get(ctx, "test/k")
			So(err, ShouldBeNil)
			So(string(object.Value), ShouldEqual, "meanwhile")
		})
		Convey("a restored store has the copied state, and gives its revisions out again", func() {
			So(f.setFault(`{"kind":"copy"}`), ShouldEqual, http.StatusOK)
			lost, err := f.client.Put(ctx, "test/k", []byte("lost"), old.Revision)
			So(err, ShouldBeNil)
			So(f.setFault(`{"kind":"restore"}`), ShouldEqual, http.StatusOK)
			copied, err := f.client.Get(ctx, "test/k")
			So(err, ShouldBeNil)
			So(string(copied.Value), ShouldEqual, "old")
			So(copied.IsFromCopy(), ShouldBeTrue)
			written, err := f.client.Put(ctx, "test/k", []byte("written"), copied.Revision)
			So(err, ShouldBeNil)
			So(written.Revision.Number, ShouldEqual, lost.Revision.Number)
			So(written.Version, ShouldBeGreaterThan, lost.Version)
			_, err = f.client.Put(ctx, "test/k", []byte("late"), lost.Revision)
			So(errors.Is(err, objects.ErrRestored), ShouldBeTrue)
		})
		Convey("an invalid fault is refused and counted", func() {
			So(f.setFault(`{"kind":"tired","probability":3}`), ShouldEqual, http.StatusBadRequest)
			So(f.setFault(`{"sort":"down"}`), ShouldEqual, http.StatusBadRequest)
			So(f.emulator.Stats().BadRequests, ShouldEqual, 2)
		})
	})
}

func TestFaultDraws(t *testing.T) {
	Convey("A fault hits calls with its probability, and none after its duration", t, func() {
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
