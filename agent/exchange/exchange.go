// Package exchange defines the request and the reply that pass between the parts of
// a daemon. They are the same whether the call is served in this process or by a peer.
package exchange

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/fleet"
)

// Request is a call with the parts of the HTTP request that its target needs.
type Request struct {
	Call       call.Call
	Method     string
	PathSuffix string // path below the operation, "" or beginning with "/"
	Query      string // raw query without "?"
	Header     http.Header
	Body       []byte

	// MoreAttempts takes attempts for a retry from the parent call. It is nil if this
	// node doesn't run a parent call.
	MoreAttempts func() int
}

// Reply is the reply to a Request. Its receiver must close Body.
type Reply struct {
	Outcome    call.Outcome
	Reason     call.Reason   // why it was not run
	RetryAfter time.Duration // retry-after delay, if it was not run
	Status     int           // of a completed call
	Header     http.Header   // of a completed call
	Body       io.ReadCloser // of a completed call, never nil
	Length     int64         // bytes in Body, -1 if unknown

	Node          fleet.InstanceID // instance to which the call was sent
	Level         call.Level       // strictest level of the services called, for the call's caller
	Unspent       int              // attempts of the grant that were not spent
	Load          callhttp.Load    // of the target's queue
	HasLoad       bool
	Lamport       uint64 // Lamport clock value of a peer's reply, 0 for a reply of this node
	Draining      bool   // the instance takes no new calls
	NoResponse    bool   // the call was sent and no valid response arrived
	ConnectFailed bool   // no connection to the instance could be made
}

// Refuse returns the reply to a call that was not run.
func Refuse(reason call.Reason, retryAfter time.Duration, grant int) *Reply {
	return &Reply{
		Outcome: call.NotRun, Reason: reason, RetryAfter: retryAfter,
		Body: http.NoBody, Level: call.AdmitAll, Unspent: grant,
		Draining: reason == call.ReasonDraining,
	}
}

// Lost returns the reply to a call that was handed to a target and got no response.
// The whole grant counts as spent.
func Lost() *Reply {
	return &Reply{Outcome: call.Unknown, Body: http.NoBody, Level: call.AdmitAll}
}

// Stored returns the reply with a stored response.
func Stored(status int, header http.Header, body []byte) *Reply {
	return &Reply{
		Outcome: call.Completed, Status: status, Header: header,
		Body: io.NopCloser(bytes.NewReader(body)), Length: int64(len(body)),
		Level: call.AdmitAll,
	}
}
