// Package load emulates callers. It is an open-loop load generator: it sends
// requests at the stated rate whether or not earlier ones have ended, as many
// independent callers do, and returns one record of each request.
//
// A request is a piece of work that a caller wants done. When its call fails, the
// caller may retry it with further calls, each with a request id of its own. All
// calls of an at-most-once request carry the same idempotency key, by which its
// runs on the targets are counted.
//
// Calls go to entry nodes of the layer, or in plain mode straight to the targets
// as if there were no layer.
package load

import (
	"time"

	"github.com/gypsumford/gypsumford/standin/answer"
)

// Stream is a sequence of requests for one operation.
type Stream struct {
	Operation        string // service/operation
	Class            string // priority class, for the records only
	Caller           string // client account that the calls state, "" for none
	AtMostOnce       bool   // calls carry an idempotency key; with the layer, retried only after a refusal
	Deadline         time.Duration
	Points           []Point // rate over time, in order of time
	MaxCalls         int     // most calls of one request, at least 1
	HonourRetryAfter bool    // waits for the response's retry-after before a retry; else retries at once
	Tree             *answer.Tree
}

// Point sets the rate from a time on, up to the next point.
type Point struct {
	At   time.Duration // since the start of the run
	Rate float64       // requests/s
	Ramp bool          // the rate changes linearly from the previous point's to this one's
}

// RateAt returns the rate in requests/s at a time since the start.
func (s *Stream) RateAt(at time.Duration) float64 {
	rate := 0.0
	for i, point := range s.Points {
		if at >= point.At {
			rate = point.Rate
			continue
		}
		if point.Ramp && i > 0 {
			previous := s.Points[i-1]
			done := float64(at-previous.At) / float64(point.At-previous.At)
			return previous.Rate + done*(point.Rate-previous.Rate)
		}
		return rate
	}
	return rate
}

// MaxRate returns the highest rate of the stream in requests/s.
func (s *Stream) MaxRate() float64 {
	highest := 0.0
	for _, point := range s.Points {
		highest = max(highest, point.Rate)
	}
	return highest
}
