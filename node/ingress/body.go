package ingress

import (
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 64 << 20
	// unknownLengthBytes is what is reserved at first for a body of unknown length.
	unknownLengthBytes = 64 << 10
)

var errBodyTooLarge = errors.New("body of the request: too large")

// readBody reads the whole body. It returns errBodyTooLarge if that exceeds maxBytes.
func readBody(r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, errBodyTooLarge
	}
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, errors.Wrap(err, "body of the request")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		return nil, errBodyTooLarge
	}
	return body, errors.Wrap(err, "body of the request")
}

// expectsContinue reports whether the caller waits for a response 100 Continue before it
// sends the body.
func expectsContinue(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && r.ContentLength != 0 && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
