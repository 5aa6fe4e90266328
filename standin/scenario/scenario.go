// Package scenario parses the files that describe an experiment: services and
// their targets, load over time, faults, and the figures that are computed from
// a run.
//
// The language has one statement a line; see scenarios/README.md. A parse
// reports all faults of a file at once, each finding with file and line. The
// package itself reads no files and starts no processes.
package scenario

import "time"

// Scenario is one experiment.
type Scenario struct {
	Name        string
	Length      time.Duration // time during which load is sent
	Services    []Service
	Classes     []string // priority classes, the most important first
	Callers     []string
	Domains     []string      // failure domains; targets are placed in them in turn
	DomainDelay time.Duration // one-way delay between failure domains; "apart" in the file
	ClientDelay time.Duration // one-way delay between clients and any failure domain; "clients" in the file
	MaxAttempts int           // bound on the attempts of one request
	Seed        uint64        // seed of the load source's random choices
	Loads       []Load
	Phases      []Phase
	Actions     []Action // ordered by time
	Figures     []Figure
	Promises    []Promise
}

// Service is a group of identical targets.
type Service struct {
	Name           string
	Targets        int           // number of targets
	Slots          int           // calls that one target runs at the same time
	QueueCapacity  int           // calls that wait for a slot inside one target
	Connections    int           // open connections that one target accepts
	ConnectionCost time.Duration // time that accepting a connection takes
	ProbeCost      time.Duration // slot time of one health probe
	ColdStart      time.Duration // time until a started target runs at full speed
	ColdFactor     float64       // multiple of the service time at the beginning of a cold start
	Drain          time.Duration // longest time that a stopping target waits for calls in flight
	Operations     []Operation
	Line           int // line number in the file
}

// Operation is one kind of call.
type Operation struct {
	Name            string
	Class           string
	ServiceTime     time.Duration // time in a slot, child calls not included
	Spread          float64       // uniform variation of ServiceTime in both directions, as a fraction of it
	Deadline        time.Duration
	AtMostOnce      bool     // has an idempotency key, and runs at most once for each key; "paid" in the file
	Repeatable      bool     // may be retried after an unknown outcome
	Calls           []string // child calls, as service/operation
	Parallel        bool     // makes its child calls concurrently rather than one after the other
	StragglerOneIn  int      // one run in this many is a straggler; 0 for none
	StragglerFactor float64  // multiple of ServiceTime that a straggler takes
	Line            int      // line number in the file
}

// Load is a stream of requests for one operation. A caller sends a request as
// one or more calls: the first attempt and its retries. The scenario language
// names these calls "asks".
type Load struct {
	Operation        string // service/operation
	Caller           string
	Points           []Point // the rate over time, in order of time
	MaxCalls         int     // bound on a caller's calls for one request, retries included; "asks" in the file
	HonourRetryAfter bool    // callers wait for the retry-after delay before a retry; "polite" in the file
	Line             int     // line number in the file
}

// Point sets the rate from a time on.
type Point struct {
	At   time.Duration
	Rate float64 // requests/s
	Ramp bool    // the rate changes linearly from the previous point's, and is Rate at At
}

// Phase is a named interval of the run.
type Phase struct {
	Name     string
	From, To time.Duration
}

// Action is a fault or a signal that is applied at a time of the run.
type Action struct {
	At     time.Duration
	Verb   string
	Object string   // targets or operation that the verb applies to; empty for the platform
	Args   []string // the other words of the statement
	Line   int      // line number in the file
}

// Measure is a value that is computed from a run, restricted to what its
// fields name; an empty field doesn't restrict it.
type Measure struct {
	Name       string
	Phase      string
	Service    string
	Classes    []string
	Operations []string
	Callers    []string
	After      time.Duration // time of the run from which MeasureRecovery is counted
}

// Operator combines the two measures of an expression.
type Operator uint8

// Operators of expressions.
const (
	OperatorNone       Operator = iota // the first measure only
	OperatorOver                       // the first divided by the second
	OperatorMinus                      // the first minus the second
	OperatorMinusPlain                 // the first minus its value in the run without the layer
)

// Expression is a value computed from measures.
type Expression struct {
	First    Measure
	Operator Operator
	Second   Measure // second operand of OperatorOver and OperatorMinus
}

// Figure is a named value in the report.
type Figure struct {
	Name  string
	Unit  string
	Value Expression
	Line  int // line number in the file
}

// Promise is a bound that the run with the layer must satisfy.
type Promise struct {
	Name       string
	Value      Expression
	Comparison string // "<=", ">=" or "="
	Bound      float64
	Line       int // line number in the file
}

// Service returns the named service, or nil.
func (s *Scenario) Service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// Operation returns the operation named service/operation, or nil.
func (s *Scenario) Operation(name string) *Operation {
	service, operation := splitOperation(name)
	owner := s.Service(service)
	if owner == nil {
		return nil
	}
	for i := range owner.Operations {
		if owner.Operations[i].Name == operation {
			return &owner.Operations[i]
		}
	}
	return nil
}

// Phase returns the named phase, or nil.
func (s *Scenario) Phase(name string) *Phase {
	for i := range s.Phases {
		if s.Phases[i].Name == name {
			return &s.Phases[i]
		}
	}
	return nil
}

// Cost returns the slot time that one request for the operation uses in the
// service, over all its child calls. Time spent waiting for child calls isn't
// included.
func (s *Scenario) Cost(operation, service string) time.Duration {
	op := s.Operation(operation)
	if op == nil {
		return 0
	}
	cost := time.Duration(0)
	if owner, _ := splitOperation(operation); owner == service {
		cost = op.ServiceTime
	}
	for _, child := range op.Calls {
		cost += s.Cost(child, service)
	}
	return cost
}
