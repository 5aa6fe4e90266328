package inventory

import (
	"strings"

	"go.yaml.in/yaml/v3"
)

// checkRetry adds a finding for each contradiction in the rules of retries.
func (p *parser) checkRetry(node *yaml.Node) {
	retry := p.inventory.Retry
	if retry.BackoffMin > retry.BackoffMax {
		p.add(node, "retry.backoff-min", "%s is longer than backoff-max, %s", retry.BackoffMin, retry.BackoffMax)
	}
	if bound := p.inventory.Attempts.Bound; bound > 0 && retry.MaxPerCall > bound {
		p.add(node, "retry.max-per-call", "%d is above attempts.bound, %d, and so never reached", retry.MaxPerCall, bound)
	}
}

// checkServices adds a finding for each contradiction within a service or between
// services.
func (p *parser) checkServices() {
	byName := make(map[string]*serviceSource, len(p.sources))
	for _, source := range p.sources {
		byName[source.Name] = source
	}
	depths := newCallDepths(byName)
	for _, source := range p.sources {
		p.checkContract(source)
		p.checkCalls(source, byName)
		p.checkDepth(source, depths)
	}
}

func (p *parser) checkContract(source *serviceSource) {
	contract := source.Contract
	if contract.Connections < contract.Slots {
		p.addLine(source.contractLine, source.path+".contract.connections",
			"%d connections can't fill %d slots: a connection carries one call at a time", contract.Connections, contract.Slots)
	}
	for i, operation := range source.Operations {
		if contract.Drain > 0 && operation.Deadline > contract.Drain {
			p.addLine(source.operationLines[i], source.path+".operations."+operation.Name+".deadline",
				"%s is longer than contract.drain, %s: a draining target could cut off a call of the operation", operation.Deadline, contract.Drain)
		}
	}
}

func (p *parser) checkCalls(source *serviceSource, byName map[string]*serviceSource) {
	for i, callee := range source.Calls {
		if byName[callee] == nil {
			p.addLine(source.callLines[i], joinPath(source.path+".calls", callee), "no service %q is in the inventory", callee)
		}
	}
}

func (p *parser) checkDepth(source *serviceSource, depths *callDepths) {
	if cycle := depths.cycleAt(source.Name); cycle != nil {
		p.addLine(source.line, source.path+".calls",
			"the calls form a cycle (%s): their depth has no bound, and targets without a free slot would wait for each other", strings.Join(cycle, " > "))
		return
	}
	depth := depths.depth(source.Name)
	if depth > MaxDepth {
		p.addLine(source.line, source.path+".calls", "a chain of %d services, at most %d are allowed", depth, MaxDepth)
		return
	}
	for i, operation := range source.Operations {
		if bound := p.inventory.AttemptBound(&operation); bound > 0 && bound < depth {
			p.addLine(source.operationLines[i], source.path+".operations."+operation.Name+".attempts",
				"a bound of %d attempts is below the %d services of the longest chain of calls, which needs one each", bound, depth)
		}
	}
}
