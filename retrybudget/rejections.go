package retrybudget

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// sentTimeConstant is the time constant of the moving average over the outcomes of the
	// node's own sends, maxSentGain the largest weight of one of them: the share of few
	// outcomes says little. relayedTimeConstant is that for shares that other nodes report,
	// which are averages already.
	sentTimeConstant    = 200 * time.Millisecond
	maxSentGain         = 1.0 / 24
	relayedTimeConstant = 60 * time.Millisecond
	// shareMaxAge is the age at which a share becomes stale. An entry that admits few requests
	// gets few replies; with 1.5 s, ones with five requests a second admitted all now and then.
	shareMaxAge = 3 * time.Second
	// maxShare bounds the retries that are expected for a call.
	maxShare = 0.9
)

// Rejections estimates, by service, the share of arrivals that targets reject.
type Rejections struct {
	services map[string]*rejectedShare
}

type rejectedShare struct {
	share      float64
	observedAt time.Time
}

// NewRejections returns a table without services.
func NewRejections() *Rejections { return &Rejections{services: map[string]*rejectedShare{}} }

// RecordArrival records that a target of the service rejected a request, or didn't.
func (r *Rejections) RecordArrival(now time.Time, service string, isRejected bool) {
	s := r.services[service]
	if s == nil {
		if !isRejected {
			return // as if there were no service
		}
		s = &rejectedShare{observedAt: now}
		r.services[service] = s
	}
	sample := 0.0
	if isRejected {
		sample = 1
	}
	const sampleTime = 5 * time.Millisecond // gives weight to arrivals at the same time
	gain := 1 - math.Exp(-float64(max(now.Sub(s.observedAt), 0)+sampleTime)/float64(sentTimeConstant))
	s.move(now, sample, min(gain, maxSentGain))
}

// Observe records the share that another node observed at the time observedAt. One that is
// older than the recorded share is ignored.
func (r *Rejections) Observe(service string, observedAt time.Time, share float64) {
	s := r.services[service]
	if s == nil {
		if share <= 0 {
			return
		}
		s = &rejectedShare{share: share, observedAt: observedAt}
		r.services[service] = s
		return
	}
	newerBy := observedAt.Sub(s.observedAt)
	if newerBy <= 0 {
		return
	}
	s.move(observedAt, share, 1-math.Exp(-float64(newerBy)/float64(relayedTimeConstant)))
}

func (s *rejectedShare) move(observedAt time.Time, share, gain float64) {
	s.share += gain * (share - s.share)
	s.observedAt = observedAt
}

// Share returns the share of arrivals that the service's targets reject, and when that was
// observed. It is 0 if nothing recent is known.
func (r *Rejections) Share(now time.Time, service string) (share float64, observedAt time.Time) {
	s := r.services[service]
	if s == nil || now.Sub(s.observedAt) > shareMaxAge {
		return 0, time.Time{}
	}
	return s.share, s.observedAt
}

// RetriesPerCall returns how many retries a call of the service needs on average until it is
// accepted.
func (r *Rejections) RetriesPerCall(now time.Time, service string) float64 {
	share, _ := r.Share(now, service)
	share = min(share, maxShare)
	return share / (1 - share)
}

// IsRejecting reports whether the service's targets reject so many calls that retries decide
// on the admission of requests.
func (r *Rejections) IsRejecting(now time.Time, service string) bool {
	return r.RetriesPerCall(now, service) >= minRetriesPerCall
}

// Services returns the services of which a target has rejected a call.
func (r *Rejections) Services() []string { return slices.Sorted(maps.Keys(r.services)) }
