// Package exchange holds the request and the reply that pass between the parts
// of a daemon, whether a call is served in the same process or by a peer.
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

// Request is a call with what its target needs to run it.
type Request struct {
	Call       call.Call
	Method     string
	PathSuffix string // path below the operation, "" or beginning with "/"
	Query      string // raw query without "?"
	Header     http.Header
	Body       []byte

	// MoreAttempts takes further attempts for a retry from the parent call, nil
	// if there is none.
	MoreAttempts func() int
}

// Reply is the answer to a Request. Its receiver closes Body.
type Reply struct {
	Outcome    call.Outcome
	Reason     call.Reason   // why it was not run
	RetryAfter time.Duration // when to come back, if it was not run
	Status     int           // of a completed call
	Header     http.Header   // of a completed call
	Body       io.ReadCloser // of a completed call, never nil
	Length     int64         // bytes in Body, -1 if unknown

	Node          fleet.InstanceID // instance that answered
	Level         call.Level       // strictest level below, for the call's caller
	Unspent       int              // attempts of the grant that were not caused
	Load          callhttp.Load    // of the target's queue
	HasLoad       bool
	Lamport       uint64 // logical time of a peer's answer, 0 for an own one
	Draining      bool   // the instance takes no new calls
	NoAnswer      bool   // the connection broke before an answer came
	ConnectFailed bool   // no connection to the instance could be had
}

// Refuse returns the reply to a call that was not run.
func Refuse(reason call.Reason, retryAfter time.Duration, grant int) *Reply {
	return &Reply{
		Outcome: call.NotRun, Reason: reason, RetryAfter: retryAfter,
		Body: http.NoBody, Level: call.AdmitAll, Unspent: grant,
		Draining: reason == call.ReasonDraining,
	}
}

// Lost returns the reply to a call that was handed over and not answered. Its
// whole grant counts as spent.
func Lost() *Reply {
	return &Reply{Outcome: call.Unknown, Body: http.NoBody, Level: call.AdmitAll}
}

// Stored returns the reply that repeats a stored answer.
func Stored(status int, header http.Header, body []byte) *Reply {
	return &Reply{
		Outcome: call.Completed, Status: status, Header: header,
		Body: io.NopCloser(bytes.NewReader(body)), Length: int64(len(body)),
		Level: call.AdmitAll,
	}
}
