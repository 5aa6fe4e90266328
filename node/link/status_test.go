package link

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// A reply of a peer stated a response whose status HTTP/1.1 doesn't have, and the caller got it.
func TestReplyWithInvalidStatusIsUnknown(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 101, 199, 600, 999} {
		server := &fakeNode{name: "server", serve: func(context.Context, *Call) *Reply {
			return &Reply{Outcome: OutcomeResponded, Status: status, Arrived: true, Body: []byte("x")}
		}}
		client, address, _, _ := pair(t, server)
		Convey("The outcome is unknown", t, func() {
			reply, err := client.Do(context.Background(), address, &Call{RequestID: "1"})
			So(err, ShouldBeNil)
			So(reply.Outcome, ShouldEqual, OutcomeUnknown)
			So(reply.Reason, ShouldEqual, ReasonBroken)
			So(reply.Body, ShouldBeEmpty)
		})
	}
}

// A peer of an older build passed on a header field with a blank or a control byte that its target
// had sent, and the caller got it.
func TestReplyWithInvalidFieldIsUnknown(t *testing.T) {
	for _, header := range [][]string{
		{"Cache Control", "x"}, {"Cache\x01Control", "x"}, {"", "x"}, {"A", "x\x00"}, {"A", "x\r\nB: y"}, {"A", "x", "B:", "y"},
	} {
		server := &fakeNode{name: "server", serve: func(context.Context, *Call) *Reply {
			return &Reply{Outcome: OutcomeResponded, Status: 200, Arrived: true, Header: header, Body: []byte("x"), Rest: [][]byte{[]byte("y")}}
		}}
		client, address, _, _ := pair(t, server)
		Convey("The outcome is unknown, and the reply states why", t, func() {
			reply, err := client.Do(context.Background(), address, &Call{RequestID: "1"})
			So(err, ShouldBeNil)
			So(reply.Outcome, ShouldEqual, OutcomeUnknown)
			So(reply.Reason, ShouldEqual, ReasonBroken)
			So(reply.Invalid, ShouldNotBeNil)
			So(reply.Body, ShouldBeEmpty)
			So(reply.Header, ShouldBeEmpty)
			So(reply.Arrived, ShouldBeTrue)
		})
	}
}
