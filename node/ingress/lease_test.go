package ingress

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

// leaseHandler responds with a body whose lease is larger than the body, as for a chunked response
// of a target, whose length is unknown while it is read.
type leaseHandler struct {
	*gatedHandler
	budget *memory.Budget
}

func (h *leaseHandler) Handle(ctx context.Context, r *Request) *Response {
	response := h.gatedHandler.Handle(ctx, r)
	if response != nil {
		response.Body, response.Lease = make([]byte, 5<<10), h.budget.Lease(memory.PartBytes)
	}
	return response
}

// Guards against memory that is never given back: the part of a response's lease that exceeds the body.
func TestLeasesOfResponsesAreGivenBackWhole(t *testing.T) {
	Convey("Nothing but the connection is held after a response, and nothing after its end", t, func() {
		var budget *memory.Budget
		f := newFixtureWith(t, Limits{}, func(f *fixture) {
			budget = f.server.budget
			f.server.handler = &leaseHandler{f.gatedHandler, budget}
		})
		c := f.dial()
		for _, id := range []string{"1", "2"} {
			f.release(id)
			c.get(id)
			_, body, _ := c.readResponse()
			So(len(body), ShouldEqual, 5<<10)
			So(f.holds(memory.ConnectionBytes), ShouldBeTrue)
		}
		_ = c.Close()
		So(f.holds(0), ShouldBeTrue)
	})
}
