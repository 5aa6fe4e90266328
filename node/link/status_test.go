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
