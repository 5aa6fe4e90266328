package inventory

import (
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/gypsumford/gypsumford/call"
)

// parser builds an inventory from a document. Checks that compare services use
// sources, which state where in the document a finding is.
type parser struct {
	reader
	inventory Inventory
	sources   []*serviceSource // in the order of the document
}

// serviceSource is a service with its path and the lines of its entries.
type serviceSource struct {
	Service
	path           string
	line           int
	contractLine   int
	callLines      []int
	operationLines []int
}

// Parse parses and checks a document, which is YAML, optionally compressed by
// gzip. The error is a *finding.List of all the faults; each finding names the
// file, as given, and the line. The memory that Parse uses is bounded by
// MaxExpandedBytes and MaxDelimiters.
func Parse(file string, data []byte) (*Inventory, error) {
	p := parser{reader: reader{file: file}}
	root := decodeTree(file, data, &p.findings)
	if root != nil {
		p.parseRoot(root)
		p.checkServices()
	}
	if err := p.findings.Err(); err != nil {
		return nil, err
	}
	inv := p.inventory
	inv.buildIndex()
	return &inv, nil
}

func (p *parser) parseRoot(node *yaml.Node) {
	m := p.mapping(node, "")
	if m == nil {
		return
	}
	p.parseClasses(m)
	p.parseAttempts(m)
	p.parseRetry(m)
	p.parseCallers(m)
	p.parseServices(m)
	m.reportUnknown()
}

func (p *parser) parseClasses(m *mapping) {
	node := m.require("classes")
	if node == nil {
		return
	}
	p.inventory.Classes, _ = p.names(node, "classes", call.MaxClasses)
	if node.Kind == yaml.SequenceNode && len(node.Content) == 0 {
		p.add(node, "classes", "at least one class is needed")
	}
}

func (p *parser) parseAttempts(m *mapping) {
	node := m.require("attempts")
	if node == nil {
		return
	}
	section := p.mapping(node, "attempts")
	if section == nil {
		return
	}
	p.inventory.Attempts.Bound = section.requireInt("bound", attemptsBounds)
	section.reportUnknown()
}

func (p *parser) parseRetry(m *mapping) {
	p.inventory.Retry = Retry{
		BudgetPercent: DefaultBudgetPercent, MaxPerCall: DefaultMaxPerCall,
		BackoffMin: DefaultBackoffMin, BackoffMax: DefaultBackoffMax,
	}
	node := m.take("retry")
	if node == nil {
		return
	}
	section := p.mapping(node, "retry")
	if section == nil {
		return
	}
	retry := &p.inventory.Retry
	retry.BudgetPercent = section.int("budget-percent", budgetBounds, DefaultBudgetPercent)
	retry.MaxPerCall = section.int("max-per-call", maxPerCallBounds, DefaultMaxPerCall)
	retry.BackoffMin = section.duration("backoff-min", backoffBounds, DefaultBackoffMin)
	retry.BackoffMax = section.duration("backoff-max", backoffBounds, DefaultBackoffMax)
	section.reportUnknown()
	p.checkRetry(node)
}

func (p *parser) parseCallers(m *mapping) {
	seen := make(map[string]int)
	for i, node := range p.list(m.take("callers"), "callers", MaxCallers) {
		entry := p.mapping(node, indexPath("callers", i))
		if entry == nil {
			continue
		}
		name := p.entryName(entry, "callers")
		share := entry.int("share", shareBounds, DefaultShare)
		entry.reportUnknown()
		if name != "" && p.checkUnique(seen, name, node.Line, "callers") {
			p.inventory.Callers = append(p.inventory.Callers, Caller{Name: name, Share: share})
		}
	}
	slices.SortFunc(p.inventory.Callers, func(a, b Caller) int { return strings.Compare(a.Name, b.Name) })
}

// entryName reads the name of a list's entry. From then on, paths of the entry
// and its fields have the name in place of the position.
func (p *parser) entryName(entry *mapping, listPath string) string {
	node := entry.require("name")
	if node == nil {
		return ""
	}
	name := p.name(node, func() string { return entry.fieldPath("name") })
	if name != "" {
		entry.path = joinPath(listPath, name)
	}
	return name
}

func (p *parser) parseServices(m *mapping) {
	node := m.require("services")
	seen := make(map[string]int)
	for i, entryNode := range p.list(node, "services", MaxServices) {
		entry := p.mapping(entryNode, indexPath("services", i))
		if entry == nil {
			continue
		}
		source := p.parseService(entry)
		if source.Name == "" || !p.checkUnique(seen, source.Name, source.line, "services") {
			continue
		}
		p.sources = append(p.sources, source)
		p.inventory.Services = append(p.inventory.Services, sortLists(source.Service))
	}
	if node != nil && node.Kind == yaml.SequenceNode && len(node.Content) == 0 {
		p.add(node, "services", "at least one service is needed")
	}
	slices.SortFunc(p.inventory.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
}

// sortLists returns a copy of the service with its lists sorted by name, as their
// order in the document has no meaning.
func sortLists(service Service) Service {
	service.Calls = slices.Sorted(slices.Values(service.Calls))
	service.Operations = slices.Clone(service.Operations)
	slices.SortFunc(service.Operations, func(a, b Operation) int { return strings.Compare(a.Name, b.Name) })
	return service
}

func (p *parser) parseService(entry *mapping) *serviceSource {
	source := &serviceSource{line: entry.node.Line}
	source.Name = p.entryName(entry, "services")
	source.path = entry.path
	if node := entry.require("contract"); node != nil {
		source.contractLine = node.Line
		source.Contract = p.parseContract(node, entry.fieldPath("contract"))
	}
	source.Calls, source.callLines = p.names(entry.take("calls"), entry.fieldPath("calls"), MaxCalls)
	p.parseOperations(entry, source)
	entry.reportUnknown()
	return source
}

func (p *parser) parseContract(node *yaml.Node, path string) Contract {
	m := p.mapping(node, path)
	if m == nil {
		return Contract{}
	}
	contract := Contract{
		Slots:          m.requireInt("slots", slotsBounds),
		Connections:    m.requireInt("connections", connectionsBounds),
		ConnectionCost: m.duration("connection-cost", costBounds, DefaultConnectionCost),
		ProbeCost:      m.duration("probe-cost", costBounds, DefaultProbeCost),
		ColdStart:      m.duration("cold-start", coldStartBounds, DefaultColdStart),
		Drain:          m.duration("drain", drainBounds, DefaultDrain),
	}
	m.reportUnknown()
	return contract
}

func (p *parser) parseOperations(entry *mapping, source *serviceSource) {
	path := entry.fieldPath("operations")
	node := entry.take("operations")
	seen := make(map[string]int)
	for i, operationNode := range p.list(node, path, MaxOperations) {
		m := p.mapping(operationNode, indexPath(path, i))
		if m == nil {
			continue
		}
		operation := p.parseOperation(m, path)
		if operation.Name == "" || !p.checkUnique(seen, operation.Name, operationNode.Line, path) {
			continue
		}
		source.Operations = append(source.Operations, operation)
		source.operationLines = append(source.operationLines, operationNode.Line)
	}
	if node == nil || node.Kind == yaml.SequenceNode && len(node.Content) == 0 {
		p.addLine(source.line, path, "the service offers no operation, at least one is needed")
	}
}

func (p *parser) parseOperation(m *mapping, listPath string) Operation {
	operation := Operation{Name: p.entryName(m, listPath)}
	operation.Class = p.parseClass(m)
	operation.AtMostOnce = m.bool("at-most-once")
	operation.Repeatable = m.bool("repeatable")
	operation.Deadline = m.requireDuration("deadline", deadlineBounds)
	operation.Attempts = m.int("attempts", attemptsBounds, 0)
	m.reportUnknown()
	if operation.AtMostOnce && operation.Repeatable {
		p.add(m.take("repeatable"), m.fieldPath("repeatable"), "an at-most-once operation can't be repeatable: a retry could run it twice")
	}
	return operation
}

func (p *parser) parseClass(m *mapping) call.Class {
	node := m.require("class")
	if node == nil {
		return 0
	}
	name := p.name(node, func() string { return m.fieldPath("class") })
	if name == "" {
		return 0
	}
	position := slices.Index(p.inventory.Classes, name)
	if position < 0 {
		p.add(node, m.fieldPath("class"), "class %q is not ranked: classes has %s", name, strings.Join(p.inventory.Classes, ", "))
		return 0
	}
	return call.Class(position)
}
