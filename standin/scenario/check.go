package scenario

import (
	"slices"
	"strings"
)

// maxDepth bounds the length of a chain of calls, in operations. A cycle of
// calls exceeds it too.
const maxDepth = 16

// check reports the findings that need the whole scenario, such as references
// to names that nothing declares. It adds a failure domain if there is none.
func (p *parser) check() {
	s := p.scenario
	if s.Name == "" {
		p.reportAt(1, "name: is missing")
	}
	if s.Length <= 0 {
		p.reportAt(1, "length: is missing")
	}
	if len(s.Domains) == 0 {
		s.Domains = []string{"domain-1"}
	}
	for i := range s.Services {
		p.checkService(&s.Services[i])
	}
	for _, load := range s.Loads {
		if s.Operation(load.Operation) == nil {
			p.reportAt(load.Line, "load: unknown operation %s", load.Operation)
		}
		if load.Caller != "" && !slices.Contains(s.Callers, load.Caller) {
			p.reportAt(load.Line, "load %s: unknown caller %s", load.Operation, load.Caller)
		}
	}
	for _, figure := range s.Figures {
		p.checkMeasure(figure.Line, figure.Name, figure.Value.First)
		if figure.Value.Operator == OperatorOver || figure.Value.Operator == OperatorMinus {
			p.checkMeasure(figure.Line, figure.Name, figure.Value.Second)
		}
	}
	for _, promise := range s.Promises {
		p.checkMeasure(promise.Line, promise.Name, promise.Value.First)
	}
	for _, action := range s.Actions {
		p.checkAction(action)
	}
}

func (p *parser) checkService(service *Service) {
	if service.Targets < 1 || service.Slots < 1 {
		p.reportAt(service.Line, "service %s: needs at least one target and one slot", service.Name)
	}
	for _, op := range service.Operations {
		name := service.Name + "/" + op.Name
		if !slices.Contains(p.scenario.Classes, op.Class) {
			p.reportAt(op.Line, "operation %s: class %q is not declared", name, op.Class)
		}
		for _, child := range op.Calls {
			if p.scenario.Operation(child) == nil {
				p.reportAt(op.Line, "operation %s: calls %s, which no service offers", name, child)
			}
		}
		if p.depth(name, 0) > maxDepth {
			p.reportAt(op.Line, "operation %s: its child calls are nested deeper than %d or form a cycle", name, maxDepth)
		}
	}
}

// depth returns the length, in operations, of the longest chain of calls through
// the operation, given the number of its ancestors in the chain. It doesn't
// follow a chain beyond maxDepth, so that a cycle ends.
func (p *parser) depth(name string, ancestors int) int {
	op := p.scenario.Operation(name)
	if op == nil || ancestors > maxDepth {
		return ancestors
	}
	deepest := ancestors + 1
	for _, child := range op.Calls {
		deepest = max(deepest, p.depth(child, ancestors+1))
	}
	return deepest
}

func (p *parser) checkMeasure(line int, name string, m Measure) {
	s := p.scenario
	if m.Phase == "" && !slices.Contains(wholeRunMeasures, m.Name) {
		p.reportAt(line, "%s: %s needs a phase", name, m.Name)
	}
	if m.Phase != "" && s.Phase(m.Phase) == nil {
		p.reportAt(line, "%s: unknown phase %s", name, m.Phase)
	}
	needsService := m.Name == MeasureCapacity || m.Name == MeasureUtilisation
	if needsService && s.Service(m.Service) == nil {
		p.reportAt(line, "%s: %s needs a service", name, m.Name)
	}
	for _, class := range m.Classes {
		if !slices.Contains(s.Classes, class) {
			p.reportAt(line, "%s: unknown class %s", name, class)
		}
	}
	for _, caller := range m.Callers {
		if !slices.Contains(s.Callers, caller) {
			p.reportAt(line, "%s: unknown caller %s", name, caller)
		}
	}
	for _, operation := range m.Operations {
		if s.Operation(operation) == nil {
			p.reportAt(line, "%s: unknown operation %s", name, operation)
		}
	}
}

func (p *parser) checkAction(a Action) {
	switch a.Verb {
	case VerbPlatform:
	case VerbStragglers:
		if p.scenario.Operation(a.Object) == nil {
			p.reportAt(a.Line, "%s: unknown operation %s", a.Verb, a.Object)
		}
	default:
		if len(p.scenario.MatchingTargets(a.Object, 0)) == 0 {
			p.reportAt(a.Line, "%s: unknown service or target %q", a.Verb, a.Object)
		}
	}
}

// MatchingTargets returns the names of the targets that an action's object
// selects: a target's name selects that target, a service's all its targets, and
// "all" every target. SERVICE-next and all-next select one target, the next in
// turn at each repetition; all-next takes the first target of each service, then
// the second ones, and so on.
func (s *Scenario) MatchingTargets(object string, repetition int) []string {
	var names []string
	for _, service := range s.Services {
		targets := service.TargetNames()
		switch {
		case object == "all" || object == service.Name:
			names = append(names, targets...)
		case object == service.Name+"-next":
			names = append(names, targets[repetition%len(targets)])
		case slices.Contains(targets, object):
			names = append(names, object)
		}
	}
	if object == "all-next" {
		var interleaved []string
		for i := range maxTargets(s) {
			for _, service := range s.Services {
				if i < service.Targets {
					interleaved = append(interleaved, service.TargetNames()[i])
				}
			}
		}
		return interleaved[repetition%len(interleaved) : repetition%len(interleaved)+1]
	}
	return names
}

// maxTargets returns the number of targets of the largest service.
func maxTargets(s *Scenario) int {
	most := 0
	for _, service := range s.Services {
		most = max(most, service.Targets)
	}
	return most
}

// ServiceOf returns the name of the service that a target belongs to.
func ServiceOf(target string) string {
	return target[:strings.LastIndex(target, "-")]
}
