package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

// fullHandler fills the memory account before it returns a response without a lease.
type fullHandler struct {
	*gatedHandler
	budget *memory.Budget
	body   []byte
}

func (h *fullHandler) Handle(ctx context.Context, r *Request) *Response {
	response := h.gatedHandler.Handle(ctx, r)
	if response != nil && r.RequestID == "1" {
		for full := false; !full; {
			full = h.budget.Lease(1<<10) == nil
		}
		response.Body = h.body
	}
	return response
}

// Guards against the loss of the response that is next in order, because others of the connection are
// still in flight while the memory is full.
func TestNextResponseWhileMemoryIsFull(t *testing.T) {
	Convey("The next response in order is written though the account has no room for it", t, func() {
		budget := memory.NewBudget(2<<20, 0, time.Now)
		f := newFixtureWith(t, Limits{}, func(f *fixture) {
			f.server.UseBudget(budget)
			f.server.handler = &fullHandler{f.gatedHandler, budget, make([]byte, 16<<10)}
		})
		c := f.dial()
		c.get("1", "2")
		So(len(f.nextStarted(2)), ShouldEqual, 2)
		f.release("1")
		status, body, _ := c.readResponse()
		So(status, ShouldEqual, http.StatusOK)
		So(len(body), ShouldEqual, 16<<10)
		f.release("2")
		status, _, _ = c.readResponse()
		So(status, ShouldEqual, http.StatusOK)
	})
}
