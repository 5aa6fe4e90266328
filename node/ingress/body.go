package ingress

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 64 << 20

var errBodyTooLarge = errors.New("body of the request: too large")

// expectsContinue reports whether the caller waits for a response 100 Continue before it
// sends the body.
func expectsContinue(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && r.ContentLength != 0 && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
