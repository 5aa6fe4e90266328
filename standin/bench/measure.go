package bench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumford/gypsumford/standin/load"
	"github.com/gypsumford/gypsumford/standin/scenario"
	"github.com/gypsumford/gypsumford/standin/target"
)

// Recovery is looked for in buckets of requests by the time of their start:
// the first of several buckets in a row in which nearly all were whole.
const (
	recoveryBucket  = 250 * time.Millisecond
	recoveryBuckets = 4
	recoveryShare   = 0.99
)

// Value evaluates an expression on a run. The plain run may be nil.
func Value(e scenario.Expression, run, plain *Result) float64 {
	first := run.measure(e.First)
	switch e.Relation {
	case scenario.Over:
		return ratio(first, run.measure(e.Second))
	case scenario.Minus:
		return first - run.measure(e.Second)
	case scenario.MinusPlain:
		if plain == nil {
			return first
		}
		return first - plain.measure(e.First)
	default:
		return first
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// measure reads one value off the run.
func (r *Result) measure(m scenario.Measure) float64 {
	switch m.Name {
	case scenario.MeasureGoodput:
		return r.perSecond(m, r.countEnded(m, isWhole))
	case scenario.MeasureOffered:
		return r.perSecond(m, r.countStarted(m, anyRecord))
	case scenario.MeasureCapacity:
		return r.capacity(m)
	case scenario.MeasureUtilisation:
		return r.utilisation(m)
	case scenario.MeasureFirstAsk:
		return r.share(m, (*load.Record).FirstCallSucceeded)
	case scenario.MeasureWhole:
		return r.share(m, isWhole)
	case scenario.MeasureRefused:
		return r.share(m, isRefused)
	case scenario.MeasureP50:
		return r.latency(m, 50, isAnswered)
	case scenario.MeasureP99:
		return r.latency(m, 99, isAnswered)
	case scenario.MeasureShortP99:
		return r.latency(m, 99, r.isShort())
	case scenario.MeasureWasted:
		return r.wasted(m)
	case scenario.MeasureProbes:
		return r.perTarget(m, target.ProbeRun)
	case scenario.MeasureReports:
		return r.perTarget(m, target.ReportRun)
	case scenario.MeasureReads:
		calls := r.Platform
		return r.perLength(calls.Reads + calls.Watches)
	case scenario.MeasureWrites:
		return r.perLength(r.Platform.Writes)
	case scenario.MeasureRecovery:
		return r.recovery(m)
	case scenario.MeasureAttempts:
		return r.attempts()
	case scenario.MeasureLate:
		return r.Late
	default:
		return r.count(m)
	}
}

// count reads the measures that count events of a whole run.
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

func anyRecord(*load.Record) bool        { return true }
func isWhole(record *load.Record) bool   { return record.Result() == load.Whole }
func isRefused(record *load.Record) bool { return record.Result() == load.Refused }
func isWrong(record *load.Record) bool   { return record.Result() == load.Wrong }
func isUnknown(record *load.Record) bool {
	result := record.Result()
	return result == load.Unknown || result == load.TimedOut || result == load.Failed
}

// span returns the phase's times, or the whole run's.
func (r *Result) span(m scenario.Measure) (from, to time.Time) {
	phase := r.Scenario.Phase(m.Phase)
	if phase == nil {
		return r.Start, r.Start.Add(r.Scenario.Length)
	}
	return r.Start.Add(phase.From), r.Start.Add(phase.To)
}

func within(at, from, to time.Time) bool { return !at.Before(from) && at.Before(to) }

func matches(m scenario.Measure, record *load.Record) bool {
	stream := record.Stream
	return matchesAny(m.Classes, stream.Class) && matchesAny(m.Operations, stream.Operation) &&
		matchesAny(m.Callers, stream.Caller)
}

func matchesAny(wanted []string, value string) bool {
	return len(wanted) == 0 || slices.Contains(wanted, value)
}

// countStarted counts the requests that started in the phase.
func (r *Result) countStarted(m scenario.Measure, counts func(*load.Record) bool) int {
	from, to := r.span(m)
	n := 0
	for _, record := range r.Records {
		if within(record.Due, from, to) && matches(m, record) && counts(record) {
			n++
		}
	}
	return n
}

// countEnded counts the requests that ended in the phase.
func (r *Result) countEnded(m scenario.Measure, counts func(*load.Record) bool) int {
	from, to := r.span(m)
	n := 0
	for _, record := range r.Records {
		if within(record.Ended, from, to) && matches(m, record) && counts(record) {
			n++
		}
	}
	return n
}

func (r *Result) perSecond(m scenario.Measure, n int) float64 {
	from, to := r.span(m)
	return ratio(float64(n), to.Sub(from).Seconds())
}

func (r *Result) share(m scenario.Measure, counts func(*load.Record) bool) float64 {
	return ratio(float64(r.countStarted(m, counts)), float64(r.countStarted(m, anyRecord)))
}

// isAnswered reports whether the request was sent and not refused. One that
// failed counts with the time that its caller waited in vain.
func isAnswered(record *load.Record) bool {
	return !isRefused(record) && record.Result() != load.Unsent
}

// isShort returns the filter of answered requests none of whose runs straggled.
func (r *Result) isShort() func(*load.Record) bool {
	straggled := map[string]bool{}
	for _, run := range r.Runs {
		if run.Straggler {
			straggled[run.RequestID] = true
		}
	}
	return func(record *load.Record) bool {
		for _, ask := range record.Calls {
			if straggled[ask.RequestID] {
				return false
			}
		}
		return isAnswered(record)
	}
}

// latency returns a percentile, in milliseconds, of the latency of the requests
// that count.
func (r *Result) latency(m scenario.Measure, percentile float64, counts func(*load.Record) bool) float64 {
	from, to := r.span(m)
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, record := range r.Records {
		if within(record.Due, from, to) && matches(m, record) && counts(record) {
			_ = histogram.RecordValue(record.Latency().Microseconds())
		}
	}
	return float64(histogram.ValueAtPercentile(percentile)) / 1000
}

// capacity returns the requests/s that the service's slots allow at the mix
// that is offered in the phase, waits and overheads not counted.
func (r *Result) capacity(m scenario.Measure) float64 {
	service := r.Scenario.Service(m.Service)
	from, to := r.span(m)
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

// utilisation returns the share of the service's slot time in the phase that
// served requests which ended whole.
func (r *Result) utilisation(m scenario.Measure) float64 {
	from, to := r.span(m)
	ids := served(r.Records)
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

func overlap(start, end, from, to time.Time) time.Duration {
	if start.Before(from) {
		start = from
	}
	if end.After(to) {
		end = to
	}
	return max(end.Sub(start), 0)
}

// wasted returns the share of slot time, in all services, of runs that served
// no whole request.
func (r *Result) wasted(m scenario.Measure) float64 {
	from, to := r.span(m)
	ids := served(r.Records)
	busy, lost := time.Duration(0), time.Duration(0)
	for _, run := range r.Runs {
		if !run.isCall() || !matchesAny(service(m), run.Service) {
			continue
		}
		took := overlap(run.Started, run.Ended, from, to)
		busy += took
		if !ids[run.RequestID] {
			lost += took
		}
	}
	return ratio(lost.Seconds(), busy.Seconds())
}

// service returns the measure's service as a filter.
func service(m scenario.Measure) []string {
	if m.Service == "" {
		return nil
	}
	return []string{m.Service}
}

// perLength returns a count of the whole run per second.
func (r *Result) perLength(n int64) float64 { return ratio(float64(n), r.Scenario.Length.Seconds()) }

// perTarget returns the runs a second, under the name, that one target had.
func (r *Result) perTarget(m scenario.Measure, name string) float64 {
	from, to := r.span(m)
	n, targets := 0, map[string]bool{}
	for _, run := range r.Runs {
		targets[run.Target] = true
		if run.Operation == name && within(run.Started, from, to) {
			n++
		}
	}
	return ratio(r.perSecond(m, n), float64(len(targets)))
}

// recovery returns the seconds from After until the goodput equals what is
// offered; the rest of the run if it never does.
func (r *Result) recovery(m scenario.Measure) float64 {
	from := r.Start.Add(m.After)
	length := r.Scenario.Length - m.After
	buckets := int(length / recoveryBucket)
	all := make([]int, buckets+1)
	whole := make([]int, buckets+1)
	for _, record := range r.Records {
		index := int(record.Due.Sub(from) / recoveryBucket)
		if record.Due.Before(from) || index > buckets || !matches(m, record) {
			continue
		}
		all[index]++
		if isWhole(record) {
			whole[index]++
		}
	}
	row := 0
	for i := range buckets {
		row++
		if float64(whole[i]) < recoveryShare*float64(all[i]) {
			row = 0
		}
		if row == recoveryBuckets {
			return (time.Duration(i+1-recoveryBuckets) * recoveryBucket).Seconds()
		}
	}
	return length.Seconds()
}

// attempts returns the most runs and sheds at targets that one ask caused.
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

// lost counts the at-most-once requests answered whole that no run stands for.
func (r *Result) lost(m scenario.Measure) float64 {
	ran := map[string]bool{}
	for _, run := range r.Runs {
		if run.Completed {
			ran[run.Key] = true
		}
	}
	return float64(r.countStarted(m, func(record *load.Record) bool {
		return record.Key != "" && isWhole(record) && !ran[record.Key]
	}))
}

// doubled counts the keys of at-most-once operations that ran more than once.
func (r *Result) doubled() float64 {
	counts := map[string]int{}
	n := 0
	for _, run := range r.Runs {
		op := r.Scenario.Operation(run.name())
		if op == nil || !op.Paid || run.Shed {
			continue
		}
		counts[run.Key]++
		if counts[run.Key] == 2 {
			n++
		}
	}
	return float64(n)
}

// notRunRan counts the asks that were answered not run although they ran.
func (r *Result) notRunRan() float64 {
	ran := map[string]bool{}
	for _, run := range r.Runs {
		if !run.Shed {
			ran[run.RequestID+" "+run.name()] = true
		}
	}
	n := 0
	for _, record := range r.Records {
		for _, ask := range record.Calls {
			if ask.Result == load.Refused && ran[ask.RequestID+" "+record.Stream.Operation] {
				n++
			}
		}
	}
	return float64(n)
}
