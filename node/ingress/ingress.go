// Package ingress is the HTTP server for callers and for the local target: it reads
// requests, passes them to a handler and writes the responses.
//
// A request is read whole before it is handled, so that it can be retried and
// nothing of it is left on the connection. Every request gets a response: the
// target's, or one of the node that states truthfully what happened.
//
// The package doesn't use the server of net/http, which starts a request only after
// the response to the previous one, while callers may pipeline requests. One
// goroutine reads the requests of a connection, and each request runs in a goroutine
// of its own; the one that has the next response in order writes it (package
// pipeline). Heads are parsed by net/http after a check of their bytes: a head that
// two HTTP implementations could read as different requests is refused.
package ingress

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/gypsumford/gypsumford/node/memory"
)

// Fields holds what the header of a request states about it.
type Fields struct {
	RequestID     string
	RemainingTime time.Duration // until the deadline, if there is one
	HasDeadline   bool
	Key           string // of the caller's account, "" without one; never logged or sent to peers
}

// Dialect defines the platform's header fields of requests and responses.
type Dialect interface {
	// ReadRequest reads the fields of a request's header.
	ReadRequest(header http.Header) (Fields, error)
	// SetsField reports whether the node sets the field of a forwarded request itself,
	// so that the caller's is dropped.
	SetsField(name string) bool
	// RequestIDField returns the name of the field that states the request ID in a
	// response.
	RequestIDField() string
}

// Request is one request of a caller, read whole.
type Request struct {
	Fields
	Method    string
	URI       string // path and query as sent
	Path      string
	Host      string
	Header    []string // alternating names and values, to be forwarded
	Body      []byte
	Rest      [][]byte  // parts of a long body that follow Body
	ArrivedAt time.Time // when the server began to read it
	// Awaited is set if the caller pipelines requests on the connection, so that later
	// responses wait for this one.
	Awaited bool
}

// Response is what the caller receives.
type Response struct {
	Status     int
	FromNode   bool     // made by the node rather than by a target
	Header     []string // alternating names and values
	Body       []byte
	Rest       [][]byte      // parts of a long body that follow Body
	Lease      *memory.Lease // of the memory of a long body; nil if it is not counted yet
	RetryAfter time.Duration // of a refusal; 0 if not stated
}

// Limits bounds what a caller may send. 0 stands for the server's default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from a head's first byte to its last
	IdleTimeout   time.Duration // without a request on the connection
}

// Handler handles requests.
type Handler interface {
	// Handle returns the response, or nil if the caller has disconnected.
	Handle(ctx context.Context, r *Request) *Response
	// IsIdempotent reports whether the request may run more than once.
	IsIdempotent(r *Request) bool
	// Limits returns the limits in force.
	Limits() Limits
}

// requestURI returns path and query as the caller sent them.
func requestURI(r *http.Request) string {
	uri := r.RequestURI
	if strings.HasPrefix(uri, "/") {
		return uri
	}
	return r.URL.RequestURI() // absolute form
}

// hopByHopFields concern one connection only and are not forwarded.
var hopByHopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Expect": true,
}

// EndToEndFields returns the fields of a request or a response that are to be forwarded,
// as alternating names and values. It leaves out those that concern one connection only,
// and those for which skip returns true.
func EndToEndFields(header http.Header, skip func(name string) bool) []string {
	list := make([]string, 0, 2*len(header))
	dropped := namedByConnection(header)
	for name, values := range header {
		if hopByHopFields[name] || dropped[name] || skip(name) {
			continue
		}
		for _, value := range values {
			list = append(list, name, value)
		}
	}
	return list
}

// namedByConnection returns the names of the fields that the Connection field lists.
func namedByConnection(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
