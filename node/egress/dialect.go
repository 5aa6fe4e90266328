package egress

import (
	"net/http"
	"time"

	"github.com/gypsumford/gypsumford/roster"
)

// Request is one request to the target.
type Request struct {
	ID            string
	TargetID      string // ID of the only target that may run the request
	Method        string
	URI           string
	Host          string
	Header        []string // alternating names and values
	Body          []byte
	Rest          [][]byte      // parts of a long body that follow Body
	RemainingTime time.Duration // until the deadline
	CallerService string        // service of the entry node's target
	Account       string        // name of the caller's account, "" without one
	// OnWrite, if set, is called before the first byte of the request is written.
	OnWrite func()
}

// ResponseFields is what the header of a target's response states about the request.
type ResponseFields struct {
	RequestID string
	Signed    bool // the response has the signature of a target, which generated it
	NotRun    bool // the target hasn't started to run the request and never will
	Statement roster.Statement
	Load      TargetLoad
}

// TargetLoad is the load that a target states in a response. The zero value states none.
type TargetLoad struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes at the target at present, as a multiple of the usual
	// time; 0 if the target doesn't state it.
	Slowdown float64
	// Invalid is why a stated load can't be used; nil if it can, or if none is stated.
	Invalid error
}

// Dialect writes the header fields of requests and reads those of responses.
type Dialect interface {
	// RequestFields returns the header fields that a target expects, as alternating names
	// and values.
	RequestFields(r *Request) []string
	// IsForNode reports whether a header field of a response is meant for the node only and
	// isn't forwarded to the caller. The name is in canonical form.
	IsForNode(name string) bool
	// ReadResponse reads the header fields of a response.
	ReadResponse(status int, header http.Header) ResponseFields
	// HealthCheckFields returns the header fields of a health check that only the target with the ID
	// may answer, as alternating names and values.
	HealthCheckFields(targetID string) []string
	// ReadTargetID returns the ID of the target that responded to a health check, "" if the
	// response doesn't state it.
	ReadTargetID(header http.Header) string
}
