package link

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFramesKeepTheirContent(t *testing.T) {
	Convey("Calls and replies are the same after encoding and decoding, however often they are sent", t, func() {
		encoder, decoder := newSymbolEncoder(), &symbolDecoder{}
		for i := range 5 {
			call := &Call{
				RequestID: fmt.Sprintf("id-%d", i), TargetID: "t", Service: "s", Route: "r", Method: "GET",
				URI: "/a", Host: "h", Header: []string{"Accept", "*/*", "Trace", fmt.Sprint(i)},
				Body: []byte("body"), RemainingTime: 250 * time.Millisecond, CallerService: "c", Priority: 2, Account: "shop", RootAccount: "shop",
				Retry: true, Repeated: true,
			}
			wire := encoder.call(call)
			So(decoder.define(encoder.takeDefined()), ShouldBeTrue)
			So(decoder.call(wire), ShouldResemble, call)
			reply := &Reply{
				Outcome: OutcomeResponded, Arrived: true, Status: 200,
				Header: []string{"Content-Type", "text/plain", "Signature", fmt.Sprint("x", i)}, Body: []byte("answer"),
				Load:     Load{Running: 3, Slots: 14, ServiceTime: 480, Slowdown: 130},
				Views:    []ServiceView{{Service: "s", Cost: 30 * time.Millisecond, Requests: 4, Pressures: []byte{10, 45}, Age: 20 * time.Millisecond, Rejected: 0.5, RejectedAge: 35 * time.Millisecond}},
				Duration: 12 * time.Millisecond, CountsRetries: true,
			}
			wireReply := encoder.reply(reply)
			So(decoder.define(encoder.takeDefined()), ShouldBeTrue)
			So(decoder.reply(wireReply), ShouldResemble, reply)
		}
	})
	Convey("Repeated strings and names of fields become symbols, other strings don't", t, func() {
		encoder := newSymbolEncoder()
		So(encoder.text("a").Literal, ShouldEqual, "a")
		So(encoder.text("a"), ShouldResemble, text{Symbol: 1})
		So(encoder.field("Signature", "1"), ShouldResemble, text{Symbol: 2, Literal: "1"})
		So(encoder.field("Signature", "2"), ShouldResemble, text{Symbol: 2, Literal: "2"})
	})
	Convey("A call whose envelope is an undefined symbol is not decoded", t, func() {
		So((&symbolDecoder{}).call(&wireCall{Envelope: text{Symbol: 7}}), ShouldBeNil)
	})
}
