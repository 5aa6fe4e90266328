package load

import "time"

// Result is the outcome of a call as the caller sees it. A request has the result
// of its last call.
type Result uint8

// Results of calls and requests.
const (
	Completed Result = iota // the complete response, within the call's deadline
	Refused                 // the response says that the call did not run
	Unknown                 // the response says that it is unknown whether the call ran
	TimedOut                // no response within the deadline
	Failed                  // an error response, no connection or a broken one
	Wrong                   // a response that is incomplete or belongs to another call
	Unsent                  // not sent, as the source had too many requests in flight
)

var resultNames = [...]string{"whole", "refused", "unknown", "timed-out", "failed", "wrong", "unsent"}

// String returns the name of the result in figures.
func (r Result) String() string { return resultNames[r] }

// Call is one call of a request.
type Call struct {
	RequestID string // unique to the call
	Result    Result
	Reason    string // value of HeaderReason, "" if none
}

// Record is one request with its calls.
type Record struct {
	Stream *Stream
	Key    string    // idempotency key, "" if none
	Due    time.Time // time at which the arrival process scheduled it
	Ended  time.Time // end of its last call; Due if it was not sent
	Calls  []Call
}

// Result returns the result of the last call, or Unsent if there is none.
func (r *Record) Result() Result {
	if len(r.Calls) == 0 {
		return Unsent
	}
	return r.Calls[len(r.Calls)-1].Result
}

// Latency returns the time from when the request was due to its end. It includes
// any delay of the source, so that an overloaded source doesn't hide slow responses.
func (r *Record) Latency() time.Duration { return r.Ended.Sub(r.Due) }

// FirstCallSucceeded reports whether the request was complete after its first call.
func (r *Record) FirstCallSucceeded() bool {
	return len(r.Calls) == 1 && r.Calls[0].Result == Completed
}
