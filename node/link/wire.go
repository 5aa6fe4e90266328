package link

import (
	"math"
	"time"

	"github.com/gypsumford/gypsumford/callgraph"
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

// frame is one message on the connection. Besides ID, Version and Symbols, exactly
// one field is set.
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
}

type wireCall struct {
	Envelope  text
	RequestID string
	URI       string
	Header    []text
	Body      []byte
	TimeLeft  uint32 // remaining time, in timeLeftUnit
	Priority  int
	Rank      uint8
	Awaited   bool
	Account   text
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
		Header: e.fields(sortFields(c.Header)), Body: c.Body,
		TimeLeft: uint32(max(c.RemainingTime/remainingTimeUnit, 0)), Priority: c.Priority, Rank: c.Rank, Awaited: c.Awaited,
		Account: e.account(c.Account), Retry: c.Retry, Repeated: c.Repeated,
	}
}

// account returns the wire form of an account's name, which takes no bytes without one.
func (e *symbolEncoder) account(name string) text {
	if name == "" {
		return text{}
	}
	return e.text(name)
}

// call returns nil if the envelope of the call is invalid.
func (d *symbolDecoder) call(w *wireCall) *Call {
	c := &Call{
		RequestID: w.RequestID, URI: w.URI, Header: d.fields(w.Header), Body: w.Body,
		RemainingTime: time.Duration(w.TimeLeft) * remainingTimeUnit, Priority: w.Priority, Rank: w.Rank, Awaited: w.Awaited,
		Account: d.text(w.Account), Retry: w.Retry, Repeated: w.Repeated,
	}
	if !c.setEnvelope(d.text(w.Envelope)) {
		return nil
	}
	return c
}

func (e *symbolEncoder) reply(r *Reply) *wireReply {
	w := &wireReply{
		Outcome: r.Outcome, Reason: r.Reason, Arrived: r.Arrived, Status: r.Status,
		Header: e.fields(sortFields(r.Header)), Body: r.Body, Load: r.Load,
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

func (d *symbolDecoder) reply(w *wireReply) *Reply {
	r := &Reply{
		Outcome: w.Outcome, Reason: w.Reason, Arrived: w.Arrived, Status: w.Status,
		Header: d.fields(w.Header), Body: w.Body, Load: w.Load,
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
