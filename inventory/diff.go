package inventory

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ChangeKind states whether an entry or a field was added, removed or changed.
type ChangeKind string

// The kinds of a Change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two inventories.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Path   string     `json:"path"`             // such as services.search.contract.slots
	Before string     `json:"before,omitempty"` // old value, "" if added or if the entry has fields
	After  string     `json:"after,omitempty"`  // new value, "" if removed or if the entry has fields
}

// String returns the change as one line of text without a line end.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return strings.TrimSpace(fmt.Sprintf("+ %s %s", c.Path, c.After))
	case Removed:
		return strings.TrimSpace(fmt.Sprintf("- %s %s", c.Path, c.Before))
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Diff returns the changes from one inventory to the other, sorted by path. An
// entry that was added or removed with all its fields is one change. Two
// inventories are equal if there is no change. A nil inventory has no fields.
func Diff(before, after *Inventory) []Change {
	old, new := flatten(before), flatten(after)
	var changes []Change
	for path, value := range old {
		if _, kept := new[path]; !kept && !parentMissing(path, old, new) {
			changes = append(changes, Change{Kind: Removed, Path: path, Before: value})
		}
	}
	for path, value := range new {
		previous, existed := old[path]
		switch {
		case !existed && !parentMissing(path, new, old):
			changes = append(changes, Change{Kind: Added, Path: path, After: value})
		case existed && previous != value:
			changes = append(changes, Change{Kind: Changed, Path: path, Before: previous, After: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return changes
}

// parentMissing reports whether an entry that contains the path is in have but
// not in other. The change of that entry then covers the path.
func parentMissing(path string, have, other fields) bool {
	for {
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return false
		}
		path = path[:dot]
		_, inHave := have[path]
		_, inOther := other[path]
		if inHave && !inOther {
			return true
		}
	}
}

// fields maps the path of each field of an inventory to its value, and the path
// of each entry that has fields to "".
type fields map[string]string

func flatten(inv *Inventory) fields {
	all := fields{}
	if inv == nil {
		return all
	}
	all["classes"] = strings.Join(inv.Classes, " > ")
	all["attempts.bound"] = strconv.Itoa(inv.Attempts.Bound)
	all["retry.budget-percent"] = strconv.Itoa(inv.Retry.BudgetPercent)
	all["retry.max-per-call"] = strconv.Itoa(inv.Retry.MaxPerCall)
	all["retry.backoff-min"] = inv.Retry.BackoffMin.String()
	all["retry.backoff-max"] = inv.Retry.BackoffMax.String()
	for _, caller := range inv.Callers {
		all["callers."+caller.Name] = ""
		all["callers."+caller.Name+".share"] = strconv.Itoa(caller.Share)
	}
	for i := range inv.Services {
		all.addService(inv, &inv.Services[i])
	}
	return all
}

func (f fields) addService(inv *Inventory, service *Service) {
	path := "services." + service.Name
	f[path] = ""
	contract := service.Contract
	f[path+".contract.slots"] = strconv.Itoa(contract.Slots)
	f[path+".contract.connections"] = strconv.Itoa(contract.Connections)
	f[path+".contract.connection-cost"] = contract.ConnectionCost.String()
	f[path+".contract.probe-cost"] = contract.ProbeCost.String()
	f[path+".contract.cold-start"] = contract.ColdStart.String()
	f[path+".contract.drain"] = contract.Drain.String()
	f[path+".calls"] = "[" + strings.Join(service.Calls, ", ") + "]"
	for i := range service.Operations {
		f.addOperation(inv, path, &service.Operations[i])
	}
}

func (f fields) addOperation(inv *Inventory, servicePath string, operation *Operation) {
	path := servicePath + ".operations." + operation.Name
	f[path] = ""
	f[path+".class"] = inv.ClassName(operation.Class)
	f[path+".at-most-once"] = strconv.FormatBool(operation.AtMostOnce)
	f[path+".repeatable"] = strconv.FormatBool(operation.Repeatable)
	f[path+".deadline"] = operation.Deadline.String()
	if operation.Attempts > 0 {
		f[path+".attempts"] = strconv.Itoa(operation.Attempts)
	}
}
