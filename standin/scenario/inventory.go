package scenario

import (
	"fmt"
	"strings"
)

// TargetNames returns the names of the service's targets, SERVICE-1 first.
func (s *Service) TargetNames() []string {
	names := make([]string, s.Targets)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", s.Name, i+1)
	}
	return names
}

// Inventory returns the inventory document of the scenario, as an operator
// would write it.
func (s *Scenario) Inventory() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("classes: [%s]", strings.Join(s.Classes, ", "))
	line("attempts:\n  bound: %d", s.Attempts)
	if len(s.Callers) > 0 {
		line("callers:")
	}
	for _, caller := range s.Callers {
		line("  - name: %s\n    share: 1", caller)
	}
	line("services:")
	for i := range s.Services {
		writeService(line, &s.Services[i])
	}
	return b.String()
}

func writeService(line func(string, ...any), service *Service) {
	line("  - name: %s", service.Name)
	line("    contract:\n      slots: %d", service.Slots)
	line("      connections: %d", service.Connections)
	line("      connection-cost: %s\n      probe-cost: %s", service.ConnectionCost, service.ProbeCost)
	line("      cold-start: %s\n      drain: %s", service.ColdStart, service.Drain)
	line("    operations:")
	calls := map[string]bool{}
	var order []string
	for _, op := range service.Operations {
		line("      - name: %s\n        class: %s\n        deadline: %s", op.Name, op.Class, op.Deadline)
		if op.Paid {
			line("        at-most-once: true")
		}
		if op.Repeatable {
			line("        repeatable: true")
		}
		for _, child := range op.Calls {
			if name, _ := cut(child); !calls[name] {
				calls[name] = true
				order = append(order, name)
			}
		}
	}
	if len(order) > 0 {
		line("    calls: [%s]", strings.Join(order, ", "))
	}
}
