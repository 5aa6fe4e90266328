package scenario

import "slices"

// Names of measures. All but MeasureRecovery, the counts and MeasureAttempts
// need a phase.
const (
	MeasureGoodput     = "goodput"     // whole requests/s
	MeasureOffered     = "offered"     // requests/s
	MeasureCapacity    = "capacity"    // requests/s that the service's slots allow, given the mix
	MeasureUtilisation = "utilisation" // share of the service's slot time that served whole requests
	MeasureFirstAsk    = "first-ask"   // share of requests that were whole at the first ask
	MeasureWhole       = "whole"       // share of requests that were whole
	MeasureRefused     = "refused"     // share of requests that ended refused
	MeasureP50         = "p50"         // time of requests that were not refused, ms
	MeasureP99         = "p99"
	MeasureShortP99    = "short-p99"       // the same of those without a straggler among their runs
	MeasureWasted      = "wasted"          // share of slot time spent on asks that were not whole
	MeasureRecovery    = "recovery"        // s from After until goodput equals what is offered
	MeasureAttempts    = "attempts"        // most runs and sheds at targets that one ask caused
	MeasureLost        = "lost"            // requests answered whole of which no whole run is known
	MeasureDoubled     = "doubled"         // keys that ran more than once
	MeasureUnknown     = "unknown"         // requests that ended unknown or without an answer
	MeasureNotRunRan   = "notrun-ran"      // asks answered not run that did run
	MeasureWrong       = "wrong"           // answers that were not the whole answer to their request
	MeasureProbes      = "probes"          // probes a second, per target
	MeasureReports     = "reports"         // load reports a second, per target
	MeasureReads       = "platform-reads"  // of the platform a second, lists and watches included
	MeasureWrites      = "platform-writes" // of the platform a second
	MeasureLate        = "late"            // share of requests that the source sent late
)

// phaseless are the measures of a whole run.
var phaseless = []string{
	MeasureRecovery, MeasureAttempts, MeasureLost, MeasureDoubled, MeasureUnknown,
	MeasureNotRunRan, MeasureWrong, MeasureLate, MeasureReads, MeasureWrites,
}

var measures = append([]string{
	MeasureGoodput, MeasureOffered, MeasureCapacity, MeasureUtilisation, MeasureFirstAsk,
	MeasureWhole, MeasureRefused, MeasureP50, MeasureP99, MeasureShortP99, MeasureWasted, MeasureProbes, MeasureReports,
}, phaseless...)

// figure reads: figure NAME UNIT EXPRESSION.
func (p *parser) figure() {
	f := Figure{Name: p.word("name"), Unit: p.word("unit"), Line: p.line}
	f.Value = p.expression()
	p.scenario.Figures = append(p.scenario.Figures, f)
}

// promise reads: promise NAME EXPRESSION SIGN BOUND.
func (p *parser) promise() {
	promise := Promise{Name: p.word("name"), Line: p.line}
	promise.Value = p.expression()
	promise.Sign = p.word("sign")
	if !slices.Contains([]string{"<=", ">=", "="}, promise.Sign) {
		p.failf("promise: want <=, >= or =, found %q", promise.Sign)
	}
	promise.Bound = p.number("bound", p.word("bound"))
	p.scenario.Promises = append(p.scenario.Promises, promise)
}

// expression reads: MEASURE [over MEASURE | minus MEASURE | minus-plain].
func (p *parser) expression() Expression {
	e := Expression{First: p.measure()}
	switch p.peek() {
	case "over":
		p.word("over")
		e.Relation = Over
		e.Second = p.measure()
	case "minus":
		p.word("minus")
		e.Relation = Minus
		e.Second = p.measure()
	case "minus-plain":
		p.word("minus-plain")
		e.Relation = MinusPlain
	}
	return e
}

// measure reads: NAME [in PHASE] [service S] [class A,B] [operation A,B]
// [caller A,B] [after TIME].
func (p *parser) measure() Measure {
	m := Measure{Name: p.word("measure")}
	if !slices.Contains(measures, m.Name) {
		p.failf("unknown measure %q", m.Name)
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
