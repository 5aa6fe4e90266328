package agent

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/callhttp"
)

func TestByteBudget(t *testing.T) {
	Convey("Bodies are refused beyond the budget and admitted again after a release", t, func() {
		var budget byteBudget
		unstated := &http.Request{ContentLength: -1}
		var last func()
		for range maxBodiesBytes / callhttp.MaxBodyBytes {
			release, ok := budget.reserve(unstated)
			So(ok, ShouldBeTrue)
			last = release
		}
		_, ok := budget.reserve(&http.Request{ContentLength: 1})
		So(ok, ShouldBeFalse)
		last()
		_, ok = budget.reserve(&http.Request{ContentLength: 1})
		So(ok, ShouldBeTrue)
	})
}
