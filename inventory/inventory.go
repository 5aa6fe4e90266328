// Package inventory parses, checks, compares and formats the configuration that
// operators edit: the classes in the order of their importance, the rules of
// retries, the callers with their shares, and the services with the capacity of
// their targets and their operations.
//
// A document is parsed and checked as a whole. The inventory that results is
// immutable, so a newer one replaces it in one step. The package does no I/O.
package inventory

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// Inventory is one checked configuration.
type Inventory struct {
	Classes  []string  // names, the most important first
	Attempts Attempts  // bound on the attempts of one root request
	Retry    Retry     // rules of retries
	Callers  []Caller  // client accounts that share the services, sorted by name; may be empty
	Services []Service // sorted by name

	index map[string]int // position in Services by name, nil unless parsed
}

// Attempts bounds the attempts that one root request may cause.
type Attempts struct {
	Bound int // attempts in total over all hops, unless the operation has its own bound
}

// Retry states when and how often a call may be retried.
type Retry struct {
	BudgetPercent int           // retries of a node's calls to one service per 100 recent successes
	MaxPerCall    int           // times that one hop sends a call, the first included, hedges not counted
	BackoffMin    time.Duration // delay of the second retry, doubled for each one after it; the first has none
	BackoffMax    time.Duration // longest delay of a retry
}

// Caller is a client account that sends requests.
type Caller struct {
	Name  string
	Share int // weight of the caller's fair share under overload
}

// Service is a group of targets that offer the same operations.
type Service struct {
	Name       string
	Contract   Contract
	Operations []Operation // sorted by name
	Calls      []string    // names of the services that its targets call, sorted
}

// Contract states the capacity of each target of a service, and the costs and
// times that nodes have to allow for.
type Contract struct {
	Slots          int           // calls that a target runs at the same time
	Connections    int           // connections that a target accepts
	ConnectionCost time.Duration // time of the target that a new connection uses
	ProbeCost      time.Duration // time of the target that one probe uses
	ColdStart      time.Duration // time over which a new target's share of the calls grows to its full size
	Drain          time.Duration // longest time that a draining target has to finish its calls
}

// Operation is one kind of call that a service offers.
type Operation struct {
	Name       string
	Class      call.Class
	AtMostOnce bool          // a call must not run twice, as with a paid order
	Repeatable bool          // a call may be retried after an unknown outcome
	Deadline   time.Duration // timeout of a call that states none
	Attempts   int           // the operation's bound on attempts, 0 to use Attempts.Bound
}

// Service returns the named service, or nil.
func (inv *Inventory) Service(name string) *Service {
	if inv.index != nil {
		if i, ok := inv.index[name]; ok {
			return &inv.Services[i]
		}
		return nil
	}
	for i := range inv.Services {
		if inv.Services[i].Name == name {
			return &inv.Services[i]
		}
	}
	return nil
}

// buildIndex builds the index that lets Service find a service in a large
// inventory without a linear search.
func (inv *Inventory) buildIndex() {
	inv.index = make(map[string]int, len(inv.Services))
	for i := range inv.Services {
		inv.index[inv.Services[i].Name] = i
	}
}

// Operation returns the named operation, or nil.
func (s *Service) Operation(name string) *Operation {
	for i := range s.Operations {
		if s.Operations[i].Name == name {
			return &s.Operations[i]
		}
	}
	return nil
}

// AttemptBound returns the number of attempts that a root request of the
// operation may cause.
func (inv *Inventory) AttemptBound(op *Operation) int {
	if op.Attempts > 0 {
		return op.Attempts
	}
	return inv.Attempts.Bound
}

// ClassName returns the name of a class, or "" if the inventory has no such
// class.
func (inv *Inventory) ClassName(class call.Class) string {
	if int(class) < len(inv.Classes) {
		return inv.Classes[class]
	}
	return ""
}
