package bench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumford/gypsumford/standin/load"
	"github.com/gypsumford/gypsumford/standin/scenario"
	"github.com/gypsumford/gypsumford/standin/target"
)

// Parameters of MeasureRecovery. Requests are grouped into buckets by the time of
// their start. The goodput has recovered at the first of recoveryBuckets
// consecutive buckets in each of which at least recoveryFraction of the requests
// were completed.
const (
	recoveryBucketWidth = 250 * time.Millisecond
	recoveryBuckets     = 4
	recoveryFraction    = 0.99
)

// Evaluate returns the value of an expression for a run. Plain is the run in
// plain mode that OperatorMinusPlain subtracts; it may be nil, which subtracts
// nothing.
func Evaluate(e scenario.Expression, run, plain *Result) float64 {
	first := run.measure(e.First)
	switch e.Operator {
	case scenario.OperatorOver:
		return ratio(first, run.measure(e.Second))
	case scenario.OperatorMinus:
		return first - run.measure(e.Second)
	case scenario.OperatorMinusPlain:
		if plain == nil {
			return first
		}
		return first - plain.measure(e.First)
	default:
		return first
	}
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// measure returns the value of a measure for the run.
func (r *Result) measure(m scenario.Measure) float64 {
	switch m.Name {
	case scenario.MeasureGoodput:
		return r.perSecond(m, r.countEnded(m, isCompleted))
	case scenario.MeasureOffered:
		return r.perSecond(m, r.countStarted(m, anyRecord))
	case scenario.MeasureCapacity:
		return r.capacity(m)
	case scenario.MeasureUtilisation:
		return r.utilisation(m)
	case scenario.MeasureFirstCall:
		return r.fraction(m, (*load.Record).FirstCallSucceeded)
	case scenario.MeasureCompleted:
		return r.fraction(m, isCompleted)
	case scenario.MeasureRefused:
		return r.fraction(m, isRefused)
	case scenario.MeasureP50:
		return r.latency(m, 50, isNotRefused)
	case scenario.MeasureP99:
		return r.latency(m, 99, isNotRefused)
	case scenario.MeasureShortP99:
		return r.latency(m, 99, r.withoutStraggler())
	case scenario.MeasureWasted:
		return r.wasted(m)
	case scenario.MeasureProbes:
		return r.perTarget(m, target.ProbeRun)
	case scenario.MeasureReports:
		return r.perTarget(m, target.ReportRun)
	case scenario.MeasureReads:
		calls := r.Platform
		return r.perSecondOfRun(calls.Reads + calls.Watches)
	case scenario.MeasureWrites:
		return r.perSecondOfRun(r.Platform.Writes)
	case scenario.MeasureRecovery:
		return r.recovery(m)
	case scenario.MeasureAttempts:
		return r.attempts()
	case scenario.MeasureLate:
		return r.LateFraction
	default:
		return r.count(m)
	}
}

// count returns the value of a measure that counts events.
func (r *Result) count(m scenario.Measure) float64 {
	switch m.Name {
	case scenario.MeasureLost:
		return r.lost(m)
	case scenario.MeasureDoubled:
		return r.doubled()
	case scenario.MeasureNotRunRan:
		return r.notRunRan()
	case scenario.MeasureUnknown:
		return float64(r.countStarted(m, isUnknown))
	case scenario.MeasureWrong:
		return float64(r.countStarted(m, isWrong))
	default:
		return 0
	}
}

// anyRecord and the functions that follow are filters of requests by result.
func anyRecord(*load.Record) bool          { return true }
func isCompleted(record *load.Record) bool { return record.Result() == load.Completed }
func isRefused(record *load.Record) bool   { return record.Result() == load.Refused }
func isWrong(record *load.Record) bool     { return record.Result() == load.Wrong }
func isUnknown(record *load.Record) bool {
	result := record.Result()
	return result == load.Unknown || result == load.TimedOut || result == load.Failed
}

// phaseBounds returns the start and the end of the measure's phase, or of the
// whole run if it has none.
func (r *Result) phaseBounds(m scenario.Measure) (from, to time.Time) {
	phase := r.Scenario.Phase(m.Phase)
	if phase == nil {
		return r.Start, r.Start.Add(r.Scenario.Length)
	}
	return r.Start.Add(phase.From), r.Start.Add(phase.To)
}

// within reports whether a time is in the interval, which excludes its end.
func within(at, from, to time.Time) bool { return !at.Before(from) && at.Before(to) }

// matches reports whether the measure includes the request's class, operation
// and caller.
func matches(m scenario.Measure, record *load.Record) bool {
	stream := record.Stream
	return matchesAny(m.Classes, stream.Class) && matchesAny(m.Operations, stream.Operation) &&
		matchesAny(m.Callers, stream.Caller)
}

// matchesAny reports whether the value is wanted. An empty list matches any
// value.
func matchesAny(wanted []string, value string) bool {
	return len(wanted) == 0 || slices.Contains(wanted, value)
}

// countStarted returns the number of matching requests that started in the
// phase.
func (r *Result) countStarted(m scenario.Measure, include func(*load.Record) bool) int {
	from, to := r.phaseBounds(m)
	n := 0
	for _, record := range r.Records {
		if within(record.Due, from, to) && matches(m, record) && include(record) {
			n++
		}
	}
	return n
}

// countEnded returns the number of matching requests that ended in the phase.
func (r *Result) countEnded(m scenario.Measure, include func(*load.Record) bool) int {
	from, to := r.phaseBounds(m)
	n := 0
	for _, record := range r.Records {
		if within(record.Ended, from, to) && matches(m, record) && include(record) {
			n++
		}
	}
	return n
}

// perSecond divides a count by the seconds of the phase.
func (r *Result) perSecond(m scenario.Measure, n int) float64 {
	from, to := r.phaseBounds(m)
	return ratio(float64(n), to.Sub(from).Seconds())
}

// fraction returns the fraction of the requests started in the phase that are
// included.
func (r *Result) fraction(m scenario.Measure, include func(*load.Record) bool) float64 {
	return ratio(float64(r.countStarted(m, include)), float64(r.countStarted(m, anyRecord)))
}

// isNotRefused reports whether the request was sent and not refused. It includes
// failed requests, whose latency is the time that their callers waited.
func isNotRefused(record *load.Record) bool {
	return !isRefused(record) && record.Result() != load.Unsent
}

// withoutStraggler returns the filter of requests that were not refused and none
// of whose runs was a straggler.
func (r *Result) withoutStraggler() func(*load.Record) bool {
	straggled := map[string]bool{}
	for _, run := range r.Runs {
		if run.Straggler {
			straggled[run.RequestID] = true
		}
	}
	return func(record *load.Record) bool {
		for _, call := range record.Calls {
			if straggled[call.RequestID] {
				return false
			}
		}
		return isNotRefused(record)
	}
}

// latency returns a percentile, in milliseconds, of the latency of the included
// requests that started in the phase.
func (r *Result) latency(m scenario.Measure, percentile float64, include func(*load.Record) bool) float64 {
	from, to := r.phaseBounds(m)
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, record := range r.Records {
		if within(record.Due, from, to) && matches(m, record) && include(record) {
			_ = histogram.RecordValue(record.Latency().Microseconds())
		}
	}
	return float64(histogram.ValueAtPercentile(percentile)) / 1000
}

// capacity returns the requests/s that the service's slots allow at the mix of
// operations offered in the phase. It excludes waiting times and overheads, so
// it is an upper bound.
func (r *Result) capacity(m scenario.Measure) float64 {
	service := r.Scenario.Service(m.Service)
	from, to := r.phaseBounds(m)
	cost, requests := time.Duration(0), 0
	for _, record := range r.Records {
		if within(record.Due, from, to) {
			cost += r.Scenario.Cost(record.Stream.Operation, m.Service)
			requests++
		}
	}
	slots := float64(service.Slots * service.Targets)
	return slots * ratio(float64(requests), cost.Seconds())
}

// utilisation returns the fraction of the service's slot time in the phase that
// served completed requests.
func (r *Result) utilisation(m scenario.Measure) float64 {
	from, to := r.phaseBounds(m)
	ids := completedIDs(r.Records)
	busy := time.Duration(0)
	for _, run := range r.Runs {
		if run.Service == m.Service && ids[run.RequestID] {
			busy += overlap(run.Started, run.Ended, from, to)
		}
	}
	service := r.Scenario.Service(m.Service)
	total := time.Duration(service.Slots*service.Targets) * to.Sub(from)
	return ratio(busy.Seconds(), total.Seconds())
}

// overlap returns the part of a run, from start to end, that lies between from
// and to.
func overlap(start, end, from, to time.Time) time.Duration {
	if start.Before(from) {
		start = from
	}
	if end.After(to) {
		end = to
	}
	return max(end.Sub(start), 0)
}

// wasted returns the fraction of the used slot time that was spent on runs which
// served no completed request, in the measure's service or in all services.
func (r *Result) wasted(m scenario.Measure) float64 {
	from, to := r.phaseBounds(m)
	ids := completedIDs(r.Records)
	busy, wasted := time.Duration(0), time.Duration(0)
	for _, run := range r.Runs {
		if !run.isCall() || !matchesAny(serviceFilter(m), run.Service) {
			continue
		}
		took := overlap(run.Started, run.Ended, from, to)
		busy += took
		if !ids[run.RequestID] {
			wasted += took
		}
	}
	return ratio(wasted.Seconds(), busy.Seconds())
}

// serviceFilter returns the measure's service as a filter for matchesAny.
func serviceFilter(m scenario.Measure) []string {
	if m.Service == "" {
		return nil
	}
	return []string{m.Service}
}

// perSecondOfRun divides a count by the seconds of the whole run.
func (r *Result) perSecondOfRun(n int64) float64 {
	return ratio(float64(n), r.Scenario.Length.Seconds())
}

// perTarget returns the mean runs/s of one target in the phase, for runs that the
// journals record under the operation's name.
func (r *Result) perTarget(m scenario.Measure, operation string) float64 {
	from, to := r.phaseBounds(m)
	n, targets := 0, map[string]bool{}
	for _, run := range r.Runs {
		targets[run.Target] = true
		if run.Operation == operation && within(run.Started, from, to) {
			n++
		}
	}
	return ratio(r.perSecond(m, n), float64(len(targets)))
}

// recovery returns the seconds from After until the goodput equals the offered
// rate, or until the end of the run if it never does.
func (r *Result) recovery(m scenario.Measure) float64 {
	from := r.Start.Add(m.After)
	remaining := r.Scenario.Length - m.After
	buckets := int(remaining / recoveryBucketWidth)
	started := make([]int, buckets+1)
	completed := make([]int, buckets+1)
	for _, record := range r.Records {
		index := int(record.Due.Sub(from) / recoveryBucketWidth)
		if record.Due.Before(from) || index > buckets || !matches(m, record) {
			continue
		}
		started[index]++
		if isCompleted(record) {
			completed[index]++
		}
	}
	consecutive := 0
	for i := range buckets {
		consecutive++
		if float64(completed[i]) < recoveryFraction*float64(started[i]) {
			consecutive = 0
		}
		if consecutive == recoveryBuckets {
			return (time.Duration(i+1-recoveryBuckets) * recoveryBucketWidth).Seconds()
		}
	}
	return remaining.Seconds()
}

// attempts returns the largest number of runs and refusals at targets that one of
// a caller's calls caused. Runs without an end aren't counted.
func (r *Result) attempts() float64 {
	counts := map[string]int{}
	most := 0
	for _, run := range r.Runs {
		if !run.isCall() || run.Ended.IsZero() && !run.Shed {
			continue
		}
		counts[run.RequestID]++
		most = max(most, counts[run.RequestID])
	}
	return float64(most)
}

// lost returns the number of completed at-most-once requests without a complete
// run in the journals.
func (r *Result) lost(m scenario.Measure) float64 {
	ran := map[string]bool{}
	for _, run := range r.Runs {
		if run.Completed {
			ran[run.Key] = true
		}
	}
	return float64(r.countStarted(m, func(record *load.Record) bool {
		return record.Key != "" && isCompleted(record) && !ran[record.Key]
	}))
}

// doubled returns the number of idempotency keys whose at-most-once operation
// ran more than once.
func (r *Result) doubled() float64 {
	counts := map[string]int{}
	n := 0
	for _, run := range r.Runs {
		op := r.Scenario.Operation(run.operationName())
		if op == nil || !op.AtMostOnce || run.Shed {
			continue
		}
		counts[run.Key]++
		if counts[run.Key] == 2 {
			n++
		}
	}
	return float64(n)
}

// notRunRan returns the number of callers' calls that were refused as not run although
// their operation ran.
func (r *Result) notRunRan() float64 {
	ran := map[string]bool{}
	for _, run := range r.Runs {
		if !run.Shed {
			ran[run.RequestID+" "+run.operationName()] = true
		}
	}
	n := 0
	for _, record := range r.Records {
		for _, call := range record.Calls {
			if call.Result == load.Refused && ran[call.RequestID+" "+record.Stream.Operation] {
				n++
			}
		}
	}
	return float64(n)
}
