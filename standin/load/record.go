package load

import "time"

// Result is what became of a request after its last ask.
type Result uint8

// Results of requests.
const (
	Whole    Result = iota // the complete answer, within the ask's deadline
	Refused                // told not run
	Unknown                // told unknown
	TimedOut               // no answer within the deadline
	Failed                 // an answer that is an error, or no connection
	Wrong                  // an answer that isn't the complete one to this request
	Unsent                 // the source itself had no room to send
)

var resultNames = [...]string{"whole", "refused", "unknown", "timed-out", "failed", "wrong", "unsent"}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }

// Ask is one call of a request.
type Ask struct {
	ID     string // request id of the call
	Result Result
	Reason string // of a refusal
}

// Record is one request.
type Record struct {
	Stream  *Stream
	Key     string    // idempotency key, "" if none
	Started time.Time // when it was due
	Ended   time.Time // when its last ask ended
	Asks    []Ask
}

// Result returns what became of the request.
func (r *Record) Result() Result {
	if len(r.Asks) == 0 {
		return Unsent
	}
	return r.Asks[len(r.Asks)-1].Result
}

// Latency returns the time from when the request was due to its end.
func (r *Record) Latency() time.Duration { return r.Ended.Sub(r.Started) }

// FirstAsk reports whether the first ask was answered whole.
func (r *Record) FirstAsk() bool { return len(r.Asks) == 1 && r.Asks[0].Result == Whole }
