package claim_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/claim"
	"github.com/gypsumford/gypsumford/fleet"
)

func TestParseKey(t *testing.T) {
	parse := func(text string) claim.Key {
		key, err := claim.ParseKey(text)
		So(err, ShouldBeNil)
		return key
	}
	Convey("A UUIDv7 carries its time, whatever its case and quotes", t, func() {
		key := parse("018f3a1c-5b00-7abc-8def-0123456789ab")
		at, dated := key.Time()
		So(dated, ShouldBeTrue)
		So(at.UnixMilli(), ShouldEqual, 0x018f3a1c5b00)
		So(parse(`"018F3A1C-5B00-7ABC-8DEF-0123456789AB"`), ShouldResemble, key)
	})
	Convey("Other texts are undated", t, func() {
		for _, text := range []string{"order-17", "018f3a1c-5b00-4abc-8def-0123456789ab", "018f3a1c5b007abc8def0123456789ab"} {
			_, dated := parse(text).Time()
			So(dated, ShouldBeFalse)
		}
	})
	Convey("An issued key names its issuer", t, func() {
		issuer, issued := parse("gk1.abc.7.order.17").Issuer()
		So(issued, ShouldBeTrue)
		So(issuer, ShouldEqual, fleet.InstanceID("abc"))
	})
	Convey("Bad texts are errors", t, func() {
		long := strings.Repeat("x", claim.MaxKeyBytes+1)
		for _, text := range []string{"", `""`, "a b", "a\x00", "ä", long, "gk1.", "gk1.a", "gk1.a.", "gk1.a.0", "gk1..1", "gk1.a.-1", "gk1.a.99999999999999999999"} {
			_, err := claim.ParseKey(text)
			So(err, ShouldNotBeNil)
		}
	})
	Convey("The same text of two callers or operations is two keys", t, func() {
		key := parse("order-17")
		So(key.For("north", "order"), ShouldNotResemble, key.For("south", "order"))
		So(key.For("north", "order"), ShouldNotResemble, key.For("north", "reprint"))
		So(key.For("north", "order"), ShouldResemble, parse("order-17").For("north", "order"))
	})
}

func TestFutureKeyIsRefused(t *testing.T) {
	Convey("A key from far in the future is refused, one within the tolerance is not", t, func() {
		h := claim.NewHome(claim.Config{}, "a", service, epoch)
		_, source := seededWorld(t, 0, 4)
		deadline := epoch.Add(time.Second)
		near := h.Ask(epoch, 1, randomKey(source, epoch.Add(claim.DefaultFutureTolerance)), deadline)
		far := h.Ask(epoch, 2, randomKey(source, epoch.Add(claim.DefaultFutureTolerance+time.Millisecond)), deadline)
		So(near[0].Kind, ShouldEqual, claim.Read)
		So(far[0].Kind, ShouldEqual, claim.RefuseNotRun)
	})
}

func TestHomeOf(t *testing.T) {
	instances := make([]fleet.Instance, 40)
	for i := range instances {
		instances[i] = fleet.Instance{ID: fleet.InstanceID(fmt.Sprint(i)), Service: service, State: fleet.Ready}
	}
	homeOf := func(shard int) fleet.InstanceID {
		home, ok := claim.HomeOf(service, shard, instances)
		So(ok, ShouldBeTrue)
		return home.ID
	}
	Convey("A home stays where it is when another member goes", t, func() {
		before := homeOf(0)
		for i := range instances {
			if instances[i].ID != before {
				instances[i].State = fleet.Dead
				break
			}
		}
		So(homeOf(0), ShouldEqual, before)
	})
	Convey("A draining member is home only if none takes calls", t, func() {
		before := homeOf(1)
		for i := range instances {
			if instances[i].ID == before {
				instances[i].State = fleet.Draining
			}
		}
		So(homeOf(1), ShouldNotEqual, before)
		for i := range instances {
			instances[i].State = fleet.Draining
		}
		So(homeOf(1), ShouldEqual, before)
	})
	Convey("Members of other services are no homes", t, func() {
		_, ok := claim.HomeOf("other", 0, instances)
		So(ok, ShouldBeFalse)
	})
}
