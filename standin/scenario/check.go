package scenario

import (
	"slices"
	"strings"
)

// maxDepth is the deepest chain of calls that a scenario may describe.
const maxDepth = 16

// check reports what is wrong with the scenario as a whole.
func (p *parser) check() {
	s := p.scenario
	if s.Name == "" {
		p.failAt(1, "name: is missing")
	}
	if s.Length <= 0 {
		p.failAt(1, "length: is missing")
	}
	if len(s.Domains) == 0 {
		s.Domains = []string{"domain-1"}
	}
	for i := range s.Services {
		p.checkService(&s.Services[i])
	}
	for _, load := range s.Loads {
		if s.Operation(load.Operation) == nil {
			p.failAt(load.Line, "load: no operation %s", load.Operation)
		}
		if load.Caller != "" && !slices.Contains(s.Callers, load.Caller) {
			p.failAt(load.Line, "load %s: no caller %s", load.Operation, load.Caller)
		}
	}
	for _, figure := range s.Figures {
		p.checkMeasure(figure.Line, figure.Name, figure.Value.First)
		if figure.Value.Relation == Over || figure.Value.Relation == Minus {
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
		p.failAt(service.Line, "service %s: needs a target and a slot", service.Name)
	}
	for _, op := range service.Operations {
		name := service.Name + "/" + op.Name
		if !slices.Contains(p.scenario.Classes, op.Class) {
			p.failAt(op.Line, "operation %s: class %q is not among the classes", name, op.Class)
		}
		for _, child := range op.Calls {
			if p.scenario.Operation(child) == nil {
				p.failAt(op.Line, "operation %s: calls %s, which no service offers", name, child)
			}
		}
		if p.depth(name, 0) > maxDepth {
			p.failAt(op.Line, "operation %s: its calls go deeper than %d or in a circle", name, maxDepth)
		}
	}
}

// depth returns the length of the longest chain below an operation.
func (p *parser) depth(name string, above int) int {
	op := p.scenario.Operation(name)
	if op == nil || above > maxDepth {
		return above
	}
	deepest := above + 1
	for _, child := range op.Calls {
		deepest = max(deepest, p.depth(child, above+1))
	}
	return deepest
}

func (p *parser) checkMeasure(line int, name string, m Measure) {
	s := p.scenario
	if m.Phase == "" && !slices.Contains(phaseless, m.Name) {
		p.failAt(line, "%s: %s needs a phase", name, m.Name)
	}
	if m.Phase != "" && s.Phase(m.Phase) == nil {
		p.failAt(line, "%s: no phase %s", name, m.Phase)
	}
	needsService := m.Name == MeasureCapacity || m.Name == MeasureUtilisation
	if needsService && s.Service(m.Service) == nil {
		p.failAt(line, "%s: %s needs a service", name, m.Name)
	}
	for _, class := range m.Classes {
		if !slices.Contains(s.Classes, class) {
			p.failAt(line, "%s: no class %s", name, class)
		}
	}
	for _, caller := range m.Callers {
		if !slices.Contains(s.Callers, caller) {
			p.failAt(line, "%s: no caller %s", name, caller)
		}
	}
	for _, operation := range m.Operations {
		if s.Operation(operation) == nil {
			p.failAt(line, "%s: no operation %s", name, operation)
		}
	}
}

func (p *parser) checkAction(a Action) {
	switch a.Verb {
	case VerbPlatform:
	case VerbStragglers:
		if p.scenario.Operation(a.Object) == nil {
			p.failAt(a.Line, "%s: no operation %s", a.Verb, a.Object)
		}
	default:
		if len(p.scenario.Matching(a.Object, 0)) == 0 {
			p.failAt(a.Line, "%s: no service or target %s", a.Verb, a.Object)
		}
	}
}

// Matching returns the names of the targets that an object names: a service
// stands for all its targets, SERVICE-next for its n-th repetition's, and all
// for every target.
func (s *Scenario) Matching(object string, repetition int) []string {
	var names []string
	for _, service := range s.Services {
		all := service.TargetNames()
		switch {
		case object == "all" || object == service.Name:
			names = append(names, all...)
		case object == service.Name+"-next":
			names = append(names, all[repetition%len(all)])
		case slices.Contains(all, object):
			names = append(names, object)
		}
	}
	if object == "all-next" {
		var every []string
		for i := range maxTargets(s) {
			for _, service := range s.Services {
				if i < service.Targets {
					every = append(every, service.TargetNames()[i])
				}
			}
		}
		return every[repetition%len(every) : repetition%len(every)+1]
	}
	return names
}

func maxTargets(s *Scenario) int {
	most := 0
	for _, service := range s.Services {
		most = max(most, service.Targets)
	}
	return most
}

// ServiceOf returns the service of a target.
func ServiceOf(target string) string {
	return target[:strings.LastIndex(target, "-")]
}
