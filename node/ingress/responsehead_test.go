package ingress

import (
	"context"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// longHeadHandler responds with a head of that many bytes and no body.
type longHeadHandler struct {
	*gatedHandler
	bytes int
}

func (h *longHeadHandler) Handle(ctx context.Context, r *Request) *Response {
	if response := h.gatedHandler.Handle(ctx, r); response == nil {
		return nil
	}
	return &Response{Status: 200, Header: []string{"Long", strings.Repeat("x", h.bytes)}}
}

// Guards against responses with long heads that wait behind others without being counted.
func TestHeadsOfResponsesAreCounted(t *testing.T) {
	Convey("A response that waits holds the memory of its head, and gives it back", t, func() {
		const size = 60_000
		f := newFixtureWith(t, Limits{}, func(f *fixture) { f.server.handler = &longHeadHandler{f.gatedHandler, size} })
		c := f.dial()
		c.get("1", "2", "3")
		So(len(f.nextStarted(3)), ShouldEqual, 3)
		f.release("2", "3")
		So(eventually(func() bool { return f.server.InFlight() == 1 && f.server.budget.Used() > 2*size }), ShouldBeTrue)
		f.release("1")
		for range 3 {
			status, _, _ := c.readResponse()
			So(status, ShouldEqual, 200)
		}
		_ = c.Close()
		So(f.holds(0), ShouldBeTrue)
	})
}
