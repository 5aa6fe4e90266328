package scenario

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of settings that a scenario omits.
const (
	defaultQueueCapacity = 1000 // calls
	defaultConnections   = 500  // open connections
	defaultDeadline      = time.Second
	defaultDrain         = 10 * time.Second
	defaultMaxAttempts   = 12
)

// Parse parses the text of a scenario file. The error lists every finding, one
// a line, as file:line: text.
func Parse(file, text string) (*Scenario, error) {
	p := &parser{file: file, scenario: &Scenario{MaxAttempts: defaultMaxAttempts, Seed: 1}}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		p.words = &words
		p.line = i + 1
		p.statement()
	}
	p.check()
	if len(p.findings) > 0 {
		return nil, errors.Newf("%s", strings.Join(p.findings, "\n"))
	}
	sort.SliceStable(p.scenario.Actions, func(i, j int) bool {
		return p.scenario.Actions[i].At < p.scenario.Actions[j].At
	})
	return p.scenario, nil
}

// parser is the state of a parse: the rest of the current statement, and the
// scenario and findings so far.
type parser struct {
	file     string
	line     int
	words    *[]string // rest of the statement
	scenario *Scenario
	findings []string
}

// reportf records a finding for the current line. Parsing continues, so that all
// findings are reported at once.
func (p *parser) reportf(format string, args ...any) { p.reportAt(p.line, format, args...) }

// reportAt records a finding for the given line.
func (p *parser) reportAt(line int, format string, args ...any) {
	p.findings = append(p.findings, fmt.Sprintf("%s:%d: %s", p.file, line, fmt.Sprintf(format, args...)))
}

// more reports whether the statement has words that aren't consumed yet.
func (p *parser) more() bool { return len(*p.words) > 0 }

// peek returns the next word without consuming it, or "" at the end.
func (p *parser) peek() string {
	if !p.more() {
		return ""
	}
	return (*p.words)[0]
}

// word consumes the next word. If there is none, the finding calls it what.
func (p *parser) word(what string) string {
	if !p.more() {
		p.reportf("%s is missing", what)
		return ""
	}
	next := (*p.words)[0]
	*p.words = (*p.words)[1:]
	return next
}

// rest consumes all remaining words of the statement.
func (p *parser) rest() []string {
	rest := *p.words
	*p.words = nil
	return rest
}

// duration consumes a duration such as 150ms.
func (p *parser) duration(what string) time.Duration {
	text := p.word(what)
	d, err := time.ParseDuration(text)
	if text != "" && (err != nil || d < 0) {
		p.reportf("%s: %q is not a duration such as 150ms", what, text)
	}
	return d
}

// count consumes a non-negative integer.
func (p *parser) count(what string) int {
	text := p.word(what)
	n, err := strconv.Atoi(text)
	if text != "" && (err != nil || n < 0) {
		p.reportf("%s: %q is not a non-negative integer", what, text)
	}
	return n
}

// number parses a word that was consumed already.
func (p *parser) number(what, text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		p.reportf("%s: %q is not a number", what, text)
	}
	return x
}

// percent consumes a percentage such as 20% and returns it as a fraction.
func (p *parser) percent(what string) float64 {
	return p.number(what, strings.TrimSuffix(p.word(what), "%")) / 100
}

// factor consumes a factor such as x5.
func (p *parser) factor(what string) float64 {
	return p.number(what, strings.TrimPrefix(p.word(what), "x"))
}

// oneIn consumes a share such as 1/100 and returns its denominator.
func (p *parser) oneIn() int {
	text := p.word("share of stragglers")
	n, err := strconv.Atoi(strings.TrimPrefix(text, "1/"))
	if err != nil || n < 1 {
		p.reportf("share of stragglers: %q is not of the form 1/100", text)
	}
	return n
}

// list consumes a word such as a,b and returns its parts.
func (p *parser) list(what string) []string { return strings.Split(p.word(what), ",") }

// statement parses one line that isn't empty.
func (p *parser) statement() {
	verb := p.word("statement")
	s := p.scenario
	switch verb {
	case "name":
		s.Name = p.word("name")
	case "length":
		s.Length = p.duration("length")
	case "classes":
		s.Classes = p.rest()
	case "callers":
		s.Callers = p.rest()
	case "domain":
		p.domain()
	case "attempts":
		s.MaxAttempts = p.count("attempts")
	case "seed":
		s.Seed = uint64(p.count("seed"))
	case "service":
		p.service()
	case "operation":
		p.operation()
	case "load":
		p.load()
	case "phase":
		s.Phases = append(s.Phases, Phase{Name: p.word("phase"), From: p.duration("start"), To: p.duration("end")})
	case "at":
		p.action(p.duration("time"))
	case "every":
		p.every()
	case "figure":
		p.figure()
	case "promise":
		p.promise()
	default:
		p.reportf("unknown statement %q", verb)
		return
	}
	if p.more() {
		p.reportf("%s: unexpected %q", verb, p.peek())
	}
}

// domain parses: domain NAME... [apart DELAY] [clients DELAY].
func (p *parser) domain() {
	for p.more() {
		switch word := p.word("failure domain"); word {
		case "apart":
			p.scenario.DomainDelay = p.duration("apart")
		case "clients":
			p.scenario.ClientDelay = p.duration("clients")
		default:
			p.scenario.Domains = append(p.scenario.Domains, word)
		}
	}
}

// service parses: service NAME [FIELD VALUE]...
func (p *parser) service() {
	service := Service{Name: p.word("service"), Line: p.line, Targets: 1, Slots: 1, QueueCapacity: defaultQueueCapacity, Connections: defaultConnections, Drain: defaultDrain}
	for p.more() {
		switch word := p.word("field"); word {
		case "targets":
			service.Targets = p.count(word)
		case "slots":
			service.Slots = p.count(word)
		case "queue":
			service.QueueCapacity = p.count(word)
		case "connections":
			service.Connections = p.count(word)
		case "connection-cost":
			service.ConnectionCost = p.duration(word)
		case "probe-cost":
			service.ProbeCost = p.duration(word)
		case "cold-start":
			service.ColdStart = p.duration(word)
			service.ColdFactor = p.factor("cold-start factor such as x3")
		case "drain":
			service.Drain = p.duration(word)
		default:
			p.reportf("service: unknown field %q", word)
			p.rest()
		}
	}
	if p.scenario.Service(service.Name) != nil {
		p.reportf("service %s: declared twice", service.Name)
		return
	}
	p.scenario.Services = append(p.scenario.Services, service)
}

// operation parses: operation SERVICE/NAME [FIELD VALUE]...
func (p *parser) operation() {
	name := p.word("operation")
	owner, short := splitOperation(name)
	operation := Operation{Name: short, Deadline: defaultDeadline, Repeatable: true, Line: p.line}
	for p.more() {
		switch word := p.word("field"); word {
		case "class":
			operation.Class = p.word(word)
		case "time":
			operation.ServiceTime = p.duration(word)
		case "spread":
			operation.Spread = p.percent(word)
		case "deadline":
			operation.Deadline = p.duration(word)
		case "paid":
			operation.AtMostOnce = true
			operation.Repeatable = false
		case "calls":
			operation.Calls = p.list(word)
		case "parallel":
			operation.Parallel = true
		case "stragglers":
			operation.StragglerOneIn = p.oneIn()
			operation.StragglerFactor = p.factor("factor")
		default:
			p.reportf("operation: unknown field %q", word)
			p.rest()
		}
	}
	service := p.scenario.Service(owner)
	if service == nil {
		p.reportf("operation %s: service %q is not declared above it", name, owner)
		return
	}
	service.Operations = append(service.Operations, operation)
}

// load parses: load SERVICE/OPERATION [FIELD VALUE]...
func (p *parser) load() {
	load := Load{Operation: p.word("operation"), MaxCalls: 1, Line: p.line}
	for p.more() {
		switch word := p.word("field"); word {
		case "caller":
			load.Caller = p.word(word)
		case "from":
			load.Points = append(load.Points, p.point(false))
		case "ramp":
			load.Points = append(load.Points, p.point(true))
		case "asks":
			load.MaxCalls = p.count(word)
		case "polite":
			load.HonourRetryAfter = true
		default:
			p.reportf("load: unknown field %q", word)
			p.rest()
		}
	}
	for i := 1; i < len(load.Points); i++ {
		if load.Points[i].At < load.Points[i-1].At {
			p.reportf("load %s: the times of its points decrease", load.Operation)
		}
	}
	p.scenario.Loads = append(p.scenario.Loads, load)
}

// point consumes a time and a rate, such as 5s 400/s.
func (p *parser) point(ramp bool) Point {
	at := p.duration("time")
	return Point{At: at, Rate: p.number("rate", strings.TrimSuffix(p.word("rate"), "/s")), Ramp: ramp}
}

// every parses: every PERIOD from TIME until TIME ACTION. It adds the action once
// for each repetition.
func (p *parser) every() {
	period := p.duration("period")
	p.expect("from")
	from := p.duration("from")
	p.expect("until")
	until := p.duration("until")
	action := append([]string{}, *p.words...)
	if period <= 0 || until-from > 1000*period {
		p.reportf("every: want a positive period and at most 1000 repetitions")
		p.rest()
		return
	}
	for at := from; at < until; at += period {
		*p.words = append([]string{}, action...)
		p.action(at)
	}
}

// expect consumes a word that must be the given one.
func (p *parser) expect(word string) {
	if got := p.word(word); got != word {
		p.reportf("want %q, found %q", word, got)
	}
}

// splitOperation splits service/operation.
func splitOperation(name string) (service, operation string) {
	service, operation, _ = strings.Cut(name, "/")
	return service, operation
}
