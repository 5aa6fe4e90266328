package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Limits of the source.
const (
	maxInFlight   = 20_000                // requests
	maxRecords    = 500_000               // requests
	lateThreshold = 20 * time.Millisecond // a request sent later than this after its due time counts as late
)

// Settings of a source.
type Settings struct {
	Streams       []Stream
	Length        time.Duration
	Entries       []string                    // call addresses of entry nodes; empty in plain mode
	PlainTargets  map[string][]string         // addresses of targets by service; empty with the layer
	PlainAttempts int                         // most attempts to send one call in plain mode
	ClientDelay   time.Duration               // network delay, added before each call and again after its response
	Seed          uint64                      // seed of the random arrivals and choices of addresses
	RunID         string                      // prefix that makes request ids differ between runs
	Progress      func(elapsed time.Duration) // called each second; may be nil
}

// Source sends the streams' requests and records their results.
type Source struct {
	settings     Settings
	client       *http.Client
	lastNumber   atomic.Int64 // number of the latest request, part of its request ids
	inFlight     atomic.Int64 // requests without a result yet
	lateRequests atomic.Int64 // requests sent late, see lateThreshold
	sentRequests atomic.Int64

	mu      sync.Mutex
	records []*Record
	counts  map[string]*Counts // by class
	random  *rand.Rand
}

// Counts are the numbers of requests of one class by result.
type Counts struct {
	Completed, Refused, Other int64
}

// NewSource returns a source that sends nothing before Run.
func NewSource(settings Settings) *Source {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 10 * time.Second}
	s := &Source{
		settings: settings,
		client:   &http.Client{Transport: transport},
		counts:   map[string]*Counts{},
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
	}
	for i := range settings.Streams {
		stream := &settings.Streams[i]
		s.counts[stream.Class] = &Counts{}
	}
	return s
}

// Run sends requests until the length has passed since start, waits for those in
// flight, and returns the records.
func (s *Source) Run(ctx context.Context, start time.Time) []*Record {
	var senders, requests sync.WaitGroup
	for i := range s.settings.Streams {
		stream := &s.settings.Streams[i]
		random := rand.New(rand.NewPCG(s.settings.Seed, uint64(i)+2))
		senders.Go(func() { s.sendStream(ctx, start, stream, random, &requests) })
	}
	if s.settings.Progress != nil {
		senders.Go(func() { s.reportProgress(ctx, start) })
	}
	senders.Wait()
	requests.Wait()
	s.client.CloseIdleConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records
}

// LateFraction returns the fraction of requests that were sent late. Above a few
// percent the source itself was the bottleneck.
func (s *Source) LateFraction() float64 {
	return float64(s.lateRequests.Load()) / float64(max(s.sentRequests.Load(), 1))
}

// Counts returns the number of ended requests so far, by class.
func (s *Source) Counts() map[string]Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[string]Counts{}
	for class, counts := range s.counts {
		copied[class] = *counts
	}
	return copied
}

// sendStream draws the arrivals of one stream, a Poisson process at the stream's
// highest rate that is thinned to the current rate, and starts each request when it
// is due.
func (s *Source) sendStream(ctx context.Context, start time.Time, stream *Stream, random *rand.Rand, requests *sync.WaitGroup) {
	maxRate := stream.MaxRate()
	if maxRate <= 0 {
		return
	}
	due := time.Duration(0)
	for {
		due += time.Duration(random.ExpFloat64() / maxRate * float64(time.Second))
		if due >= s.settings.Length {
			return
		}
		if random.Float64()*maxRate >= stream.RateAt(due) {
			continue
		}
		if !waitUntil(ctx, start.Add(due)) {
			return
		}
		s.startRequest(ctx, stream, start.Add(due), requests)
	}
}

// startRequest runs a request in the background, unless too many are in flight.
func (s *Source) startRequest(ctx context.Context, stream *Stream, due time.Time, requests *sync.WaitGroup) {
	s.sentRequests.Add(1)
	if time.Since(due) > lateThreshold {
		s.lateRequests.Add(1)
	}
	record := &Record{Stream: stream, Due: due, Ended: due}
	if stream.AtMostOnce {
		record.Key = uuid.Must(uuid.NewV7()).String()
	}
	if s.inFlight.Add(1) > maxInFlight {
		s.inFlight.Add(-1)
		s.addRecord(record)
		return
	}
	number := s.lastNumber.Add(1)
	requests.Go(func() {
		defer s.inFlight.Add(-1)
		s.runRequest(ctx, record, number)
		record.Ended = time.Now()
		s.addRecord(record)
	})
}

// runRequest sends up to MaxCalls calls, until one is completed or gets a wrong response.
// With the layer, an at-most-once request is retried only if the last response says
// that its call did not run.
func (s *Source) runRequest(ctx context.Context, record *Record, number int64) {
	for index := range max(record.Stream.MaxCalls, 1) {
		id := fmt.Sprintf("%s-%d-%d", s.settings.RunID, number, index)
		result := s.call(ctx, record, id)
		record.Calls = append(record.Calls, result.Call)
		if result.Result == Completed || result.Result == Wrong || ctx.Err() != nil {
			return
		}
		if record.Stream.AtMostOnce && result.Result != Refused && len(s.settings.Entries) > 0 {
			return // the call may have run
		}
		if record.Stream.HonourRetryAfter && !sleep(ctx, result.retryAfter) {
			return
		}
	}
}

// addRecord stores an ended request, up to maxRecords, and counts its result.
func (s *Source) addRecord(record *Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) < maxRecords {
		s.records = append(s.records, record)
	}
	counts := s.counts[record.Stream.Class]
	switch record.Result() {
	case Completed:
		counts.Completed++
	case Refused:
		counts.Refused++
	default:
		counts.Other++
	}
}

// reportProgress calls Progress after each second of the run.
func (s *Source) reportProgress(ctx context.Context, start time.Time) {
	for at := time.Second; at <= s.settings.Length; at += time.Second {
		if !waitUntil(ctx, start.Add(at)) {
			return
		}
		s.settings.Progress(at)
	}
}

// randomAddress returns one of the addresses at random.
func (s *Source) randomAddress(addresses []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return addresses[s.random.IntN(len(addresses))]
}

// waitUntil waits for the time and reports whether it came before the context ended.
func waitUntil(ctx context.Context, at time.Time) bool { return sleep(ctx, time.Until(at)) }

// sleep waits for the duration and reports whether it passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
