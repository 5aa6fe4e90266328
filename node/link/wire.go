package link

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/callgraph"
	"github.com/gypsumford/gypsumford/internal/httpstatus"
	"github.com/gypsumford/gypsumford/internal/httpwire"
	"github.com/gypsumford/gypsumford/node/memory"
	"github.com/gypsumford/gypsumford/quota"
	"github.com/gypsumford/gypsumford/route"
)

// Units of numbers on the wire.
const (
	remainingTimeUnit = time.Millisecond
	costUnit          = 100 * time.Microsecond
	requestsUnit      = 0.01
	ageUnit           = 5 * time.Millisecond
	// PressureUnit is the unit of ServiceView.Pressures.
	PressureUnit = 0.02
	rejectedUnit = 1.0 / 200
)

// frame is one message on the connection. Besides ID, Version, Symbols and ProofAge,
// exactly one field is set.
type frame struct {
	ID      uint64
	Version route.Version // of the sender's configuration
	Symbols []string      // definitions that this frame and later ones use
	Call    *wireCall
	Reply   *wireReply
	Cancel  bool
	Ping    bool
	Pong    bool
	Hello   *Hello
	Pull    bool
	State   *State
	// ProofAge is the age of the sender's proof for its configuration when the frame is
	// written, in milliseconds, plus 1; 0 if it has none.
	ProofAge uint32
	Quota    *quota.Message
	Part     *wirePart // sent only to peers whose Hello states that they take parts
}

type wireCall struct {
	Envelope  text
	RequestID string
	URI       string
	Header    []text
	Body      []byte
	Rest      int64  // bytes of the body that follow in parts
	TimeLeft  uint32 // remaining time, in timeLeftUnit
	Priority  int
	Rank      uint8
	Awaited   bool
	Account   text // of the root request
	Inherited bool // the call itself names no account
	Retry     bool
	Repeated  bool
}

type wireReply struct {
	Outcome  Outcome
	Reason   Reason
	Arrived  bool
	Status   int
	Header   []text
	Body     []byte
	Rest     int64 // bytes of the body that follow in parts
	Load     Load
	Views    []wireView
	Origin   callgraph.Origin
	Duration uint32 // in costUnit
	Stated   *Statement

	CountsRetries bool
}

type wireView struct {
	Service  text
	Cost     uint32 // in costUnit
	Requests uint32 // in requestsUnit
	// Pressures are in units of PressureUnit.
	Pressures []byte
	Age       uint16 // in ageUnit

	Rejected    uint8  // in rejectedUnit
	RejectedAge uint16 // in ageUnit
}

func (e *symbolEncoder) call(c *Call) *wireCall {
	return &wireCall{
		Envelope: e.text(joinEnvelope(c)), RequestID: c.RequestID, URI: c.URI,
		Header: e.fields(sortFields(c.Header)), Body: c.Body, Rest: int64(memory.Size(nil, c.Rest)),
		TimeLeft: uint32(max(c.RemainingTime/remainingTimeUnit, 0)), Priority: c.Priority, Rank: c.Rank, Awaited: c.Awaited,
		Account: e.optional(c.RootAccount), Inherited: c.RootAccount != c.Account,
		Retry: c.Retry, Repeated: c.Repeated,
	}
}

// call returns nil if the envelope of the call is invalid.
func (d *symbolDecoder) call(w *wireCall) *Call {
	c := &Call{
		RequestID: w.RequestID, URI: w.URI, Header: d.fields(w.Header), Body: w.Body,
		RemainingTime: time.Duration(w.TimeLeft) * remainingTimeUnit, Priority: w.Priority, Rank: w.Rank, Awaited: w.Awaited,
		RootAccount: d.text(w.Account), Retry: w.Retry, Repeated: w.Repeated,
	}
	if !w.Inherited {
		c.Account = c.RootAccount
	}
	if !c.setEnvelope(d.text(w.Envelope)) {
		return nil
	}
	return c
}

func (e *symbolEncoder) reply(r *Reply) *wireReply {
	w := &wireReply{
		Outcome: r.Outcome, Reason: r.Reason, Arrived: r.Arrived, Status: r.Status,
		Header: e.fields(sortFields(r.Header)), Body: r.Body, Rest: int64(memory.Size(nil, r.Rest)), Load: r.Load,
		Origin: r.Origin, Duration: uint32(max(r.Duration/costUnit, 0)), Stated: r.Stated, CountsRetries: r.CountsRetries,
	}
	for _, v := range r.Views {
		w.Views = append(w.Views, wireView{
			Service: e.text(v.Service), Cost: uint32(max(v.Cost/costUnit, 0)),
			Requests: uint32(max(v.Requests/requestsUnit, 0)), Pressures: v.Pressures,
			Age:      uint16(min(max(v.Age/ageUnit, 0), math.MaxUint16)),
			Rejected: uint8(math.Round(min(max(v.Rejected, 0), 1) / rejectedUnit)), RejectedAge: uint16(min(max(v.RejectedAge/ageUnit, 0), math.MaxUint16)),
		})
	}
	return w
}

// reply decodes a reply. If it states a response that HTTP/1.1 doesn't allow, as a peer of an older
// build may pass it on, the outcome is unknown.
func (d *symbolDecoder) reply(w *wireReply) *Reply {
	header := d.fields(w.Header)
	invalid := checkResponse(w, header)
	if invalid != nil {
		w.Outcome, w.Reason, w.Status, w.Body, header = OutcomeUnknown, ReasonBroken, 0, nil, nil
	}
	r := &Reply{
		Outcome: w.Outcome, Reason: w.Reason, Arrived: w.Arrived, Status: w.Status, Invalid: invalid,
		Header: header, Body: w.Body, Load: w.Load,
		Origin: w.Origin, Duration: time.Duration(w.Duration) * costUnit, Stated: w.Stated, CountsRetries: w.CountsRetries,
	}
	for _, v := range w.Views {
		r.Views = append(r.Views, ServiceView{
			Service: d.text(v.Service), Cost: time.Duration(v.Cost) * costUnit,
			Requests: float64(v.Requests) * requestsUnit, Pressures: v.Pressures,
			Age:      time.Duration(v.Age) * ageUnit,
			Rejected: float64(v.Rejected) * rejectedUnit, RejectedAge: time.Duration(v.RejectedAge) * ageUnit,
		})
	}
	return r
}

// checkResponse returns why a reply states a response that HTTP/1.1 doesn't allow, nil if it states
// none or a valid one.
func checkResponse(w *wireReply, header []string) error {
	if w.Outcome != OutcomeResponded {
		return nil
	}
	if !httpstatus.IsFinal(w.Status) {
		return errors.Newf("peer passed on the status %03d, which HTTP/1.1 doesn't have here", w.Status)
	}
	for i := 0; i+1 < len(header); i += 2 {
		if !httpwire.IsField(header[i], header[i+1]) {
			return errors.Newf("peer passed on an invalid header field, %.40q", header[i])
		}
	}
	return nil
}
