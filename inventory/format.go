package inventory

import (
	"bytes"
	"fmt"
	"strings"
)

// Format returns the inventory as a document in its canonical form: the defaults
// of retries, callers and contracts written out, lists in the order of the
// inventory, no comments. Parse returns an equal inventory for it, and equal
// inventories have equal documents.
func Format(inv *Inventory) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "classes: [%s]\n", joinNames(inv.Classes))
	fmt.Fprintf(&out, "attempts:\n  bound: %d\n", inv.Attempts.Bound)
	formatRetry(&out, inv.Retry)
	formatCallers(&out, inv.Callers)
	out.WriteString("services:\n")
	for i := range inv.Services {
		formatService(&out, inv, &inv.Services[i])
	}
	return out.Bytes()
}

func formatRetry(out *bytes.Buffer, retry Retry) {
	out.WriteString("retry:\n")
	fmt.Fprintf(out, "  budget-percent: %d\n", retry.BudgetPercent)
	fmt.Fprintf(out, "  max-per-call: %d\n", retry.MaxPerCall)
	fmt.Fprintf(out, "  backoff-min: %s\n", retry.BackoffMin)
	fmt.Fprintf(out, "  backoff-max: %s\n", retry.BackoffMax)
}

func formatCallers(out *bytes.Buffer, callers []Caller) {
	if len(callers) == 0 {
		return
	}
	out.WriteString("callers:\n")
	for _, caller := range callers {
		fmt.Fprintf(out, "  - name: %s\n    share: %d\n", quote(caller.Name), caller.Share)
	}
}

func formatService(out *bytes.Buffer, inv *Inventory, service *Service) {
	fmt.Fprintf(out, "  - name: %s\n", quote(service.Name))
	contract := service.Contract
	out.WriteString("    contract:\n")
	fmt.Fprintf(out, "      slots: %d\n", contract.Slots)
	fmt.Fprintf(out, "      connections: %d\n", contract.Connections)
	fmt.Fprintf(out, "      connection-cost: %s\n", contract.ConnectionCost)
	fmt.Fprintf(out, "      probe-cost: %s\n", contract.ProbeCost)
	fmt.Fprintf(out, "      cold-start: %s\n", contract.ColdStart)
	fmt.Fprintf(out, "      drain: %s\n", contract.Drain)
	if len(service.Calls) > 0 {
		fmt.Fprintf(out, "    calls: [%s]\n", joinNames(service.Calls))
	}
	out.WriteString("    operations:\n")
	for i := range service.Operations {
		formatOperation(out, inv, &service.Operations[i])
	}
}

func formatOperation(out *bytes.Buffer, inv *Inventory, operation *Operation) {
	fmt.Fprintf(out, "      - name: %s\n", quote(operation.Name))
	fmt.Fprintf(out, "        class: %s\n", quote(inv.ClassName(operation.Class)))
	if operation.AtMostOnce {
		out.WriteString("        at-most-once: true\n")
	}
	if operation.Repeatable {
		out.WriteString("        repeatable: true\n")
	}
	fmt.Fprintf(out, "        deadline: %s\n", operation.Deadline)
	if operation.Attempts > 0 {
		fmt.Fprintf(out, "        attempts: %d\n", operation.Attempts)
	}
}

func joinNames(names []string) string {
	quoted := make([]string, len(names))
	for i, name := range names {
		quoted[i] = quote(name)
	}
	return strings.Join(quoted, ", ")
}

// quote returns the name as it is written in the document. "null" is quoted: it
// is the only valid name that Parse would take for a missing value.
func quote(name string) string {
	if name == "null" {
		return `"null"`
	}
	return name
}
