package scenario

import (
	"fmt"
	"strings"
)

// TargetNames returns the names of the service's targets: SERVICE-1, SERVICE-2
// and so on.
func (s *Service) TargetNames() []string {
	names := make([]string, s.Targets)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", s.Name, i+1)
	}
	return names
}

// Inventory returns the scenario's inventory document in the form that operators
// apply. Each caller has an equal share.
func (s *Scenario) Inventory() string {
	var b strings.Builder
	writef := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	writef("classes: [%s]", strings.Join(s.Classes, ", "))
	writef("attempts:\n  bound: %d", s.MaxAttempts)
	if len(s.Callers) > 0 {
		writef("callers:")
	}
	for _, caller := range s.Callers {
		writef("  - name: %s\n    share: 1", caller)
	}
	writef("services:")
	for i := range s.Services {
		writeService(writef, &s.Services[i])
	}
	return b.String()
}

// writeService writes the service's entry in the inventory, with the services
// that its operations call.
func writeService(writef func(string, ...any), service *Service) {
	writef("  - name: %s", service.Name)
	writef("    contract:\n      slots: %d", service.Slots)
	writef("      connections: %d", service.Connections)
	writef("      connection-cost: %s\n      probe-cost: %s", service.ConnectionCost, service.ProbeCost)
	writef("      cold-start: %s\n      drain: %s", service.ColdStart, service.Drain)
	writef("    operations:")
	listed := map[string]bool{}
	var callees []string
	for _, op := range service.Operations {
		writef("      - name: %s\n        class: %s\n        deadline: %s", op.Name, op.Class, op.Deadline)
		if op.AtMostOnce {
			writef("        at-most-once: true")
		}
		if op.Repeatable {
			writef("        repeatable: true")
		}
		for _, child := range op.Calls {
			if name, _ := splitOperation(child); !listed[name] {
				listed[name] = true
				callees = append(callees, name)
			}
		}
	}
	if len(callees) > 0 {
		writef("    calls: [%s]", strings.Join(callees, ", "))
	}
}
