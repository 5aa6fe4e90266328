package scenario

import "slices"

// Names of measures. A request is completed ("whole" in the scenario language)
// if its caller received the complete response within the call's deadline. A
// caller's call ("ask") is the first attempt of a request or a retry of it.
// Fractions are from 0 to 1. All measures need a phase except wholeRunMeasures.
const (
	MeasureGoodput     = "goodput"         // completed requests/s
	MeasureOffered     = "offered"         // started requests/s
	MeasureCapacity    = "capacity"        // requests/s that the service's slots allow at the offered mix of operations
	MeasureUtilisation = "utilisation"     // fraction of the service's slot time that served completed requests
	MeasureFirstCall   = "first-ask"       // fraction of requests that were completed by the caller's first call
	MeasureCompleted   = "whole"           // fraction of requests that were completed
	MeasureRefused     = "refused"         // fraction of requests that ended refused
	MeasureP50         = "p50"             // median latency of requests that were not refused, ms
	MeasureP99         = "p99"             // 99th percentile of the same latency, ms
	MeasureShortP99    = "short-p99"       // as MeasureP99, of requests without a straggler among their runs, ms
	MeasureWasted      = "wasted"          // fraction of slot time spent on callers' calls that were not completed
	MeasureRecovery    = "recovery"        // time from After until the goodput equals the offered rate, s
	MeasureAttempts    = "attempts"        // most runs and refusals at targets that one of a caller's calls caused
	MeasureLost        = "lost"            // at-most-once requests that were completed without a complete run in the journals
	MeasureDoubled     = "doubled"         // idempotency keys that ran more than once
	MeasureUnknown     = "unknown"         // requests that ended with an unknown outcome, failed or timed out
	MeasureNotRunRan   = "notrun-ran"      // callers' calls refused as not run that did run
	MeasureWrong       = "wrong"           // requests whose response was not the complete one to this request
	MeasureProbes      = "probes"          // health probes/s of one target
	MeasureReports     = "reports"         // load reports/s of one target
	MeasureReads       = "platform-reads"  // reads of the platform/s, lists and watches included
	MeasureWrites      = "platform-writes" // writes to the platform/s
	MeasureLate        = "late"            // fraction of requests that the load source sent late
)

// wholeRunMeasures are the measures that need no phase. Without one they cover
// the whole run.
var wholeRunMeasures = []string{
	MeasureRecovery, MeasureAttempts, MeasureLost, MeasureDoubled, MeasureUnknown,
	MeasureNotRunRan, MeasureWrong, MeasureLate, MeasureReads, MeasureWrites,
}

// measures are the names of all measures.
var measures = append([]string{
	MeasureGoodput, MeasureOffered, MeasureCapacity, MeasureUtilisation, MeasureFirstCall,
	MeasureCompleted, MeasureRefused, MeasureP50, MeasureP99, MeasureShortP99, MeasureWasted, MeasureProbes, MeasureReports,
}, wholeRunMeasures...)

// figure parses: figure NAME UNIT EXPRESSION.
func (p *parser) figure() {
	f := Figure{Name: p.word("name"), Unit: p.word("unit"), Line: p.line}
	f.Value = p.expression()
	p.scenario.Figures = append(p.scenario.Figures, f)
}

// promise parses: promise NAME EXPRESSION SIGN BOUND.
func (p *parser) promise() {
	promise := Promise{Name: p.word("name"), Line: p.line}
	promise.Value = p.expression()
	promise.Comparison = p.word("sign")
	if !slices.Contains([]string{"<=", ">=", "="}, promise.Comparison) {
		p.reportf("promise: want <=, >= or =, found %q", promise.Comparison)
	}
	promise.Bound = p.number("bound", p.word("bound"))
	p.scenario.Promises = append(p.scenario.Promises, promise)
}

// expression parses: MEASURE [over MEASURE | minus MEASURE | minus-plain].
func (p *parser) expression() Expression {
	e := Expression{First: p.measure()}
	switch p.peek() {
	case "over":
		p.word("over")
		e.Operator = OperatorOver
		e.Second = p.measure()
	case "minus":
		p.word("minus")
		e.Operator = OperatorMinus
		e.Second = p.measure()
	case "minus-plain":
		p.word("minus-plain")
		e.Operator = OperatorMinusPlain
	}
	return e
}

// measure parses: NAME [in PHASE] [service S] [class A,B] [operation A,B]
// [caller A,B] [after TIME].
func (p *parser) measure() Measure {
	m := Measure{Name: p.word("measure")}
	if !slices.Contains(measures, m.Name) {
		p.reportf("unknown measure %q", m.Name)
	}
	for {
		switch p.peek() {
		case "in":
			p.word("in")
			m.Phase = p.word("phase")
		case "service":
			p.word("service")
			m.Service = p.word("service")
		case "class":
			p.word("class")
			m.Classes = p.list("class")
		case "operation":
			p.word("operation")
			m.Operations = p.list("operation")
		case "caller":
			p.word("caller")
			m.Callers = p.list("caller")
		case "after":
			p.word("after")
			m.After = p.duration("after")
		default:
			return m
		}
	}
}
