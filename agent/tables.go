package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumford/gypsumford/admission"
	"github.com/gypsumford/gypsumford/attempt"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/routing"
	"github.com/gypsumford/gypsumford/timeline"
)

// configuration is an inventory, indexed by the names in a call.
type configuration struct {
	version   epoch.Version
	inventory *inventory.Inventory
	services  map[string]*serviceIndex
}

type serviceIndex struct {
	service    *inventory.Service
	operations map[string]*inventory.Operation
}

func indexConfiguration(version epoch.Version, inv *inventory.Inventory) *configuration {
	c := &configuration{version: version, inventory: inv, services: make(map[string]*serviceIndex, len(inv.Services))}
	for i := range inv.Services {
		service := &inv.Services[i]
		index := &serviceIndex{service: service, operations: make(map[string]*inventory.Operation, len(service.Operations))}
		for j := range service.Operations {
			index.operations[service.Operations[j].Name] = &service.Operations[j]
		}
		c.services[service.Name] = index
	}
	return c
}

// operation returns the named operation of a service, or nil.
func (c *configuration) operation(service, operation string) *inventory.Operation {
	index := c.services[service]
	if index == nil {
		return nil
	}
	return index.operations[operation]
}

// unranked is the class name of a call that has no class in the inventory.
const unranked = "unranked"

// className returns the inventory's name of a class.
func (c *configuration) className(class call.Class) string {
	if c == nil || int(class) >= len(c.inventory.Classes) {
		return unranked
	}
	return c.inventory.Classes[class]
}

// currentConfig holds the configuration in force, which is replaced as a whole.
type currentConfig struct {
	current atomic.Pointer[configuration]
}

func (f *currentConfig) get() *configuration  { return f.current.Load() }
func (f *currentConfig) set(c *configuration) { f.current.Store(c) }

// version returns the version in force, 0 if there is none.
func (f *currentConfig) version() epoch.Version {
	if c := f.get(); c != nil {
		return c.version
	}
	return 0
}

// routeTable guards the table that chooses targets.
type routeTable struct {
	mu    sync.Mutex
	table *routing.Table
}

func (t *routeTable) setService(name string, config routing.ServiceConfig) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.SetService(name, config)
}

func (t *routeTable) hedged(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Hedged(service)
}

func (t *routeTable) setInstances(now time.Time, service string, list []fleet.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.SetInstances(now, service, list)
}

// begin chooses an instance and records that a call is sent to it.
func (t *routeTable) begin(now time.Time, service string, options routing.ChooseOptions) (fleet.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen, ok := t.table.Choose(now, service, options)
	if ok {
		t.table.Begin(now, chosen.ID)
	}
	return chosen, ok
}

func (t *routeTable) end(now time.Time, id fleet.InstanceID, s routing.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.End(now, id, s)
}

func (t *routeTable) mayHedge(now time.Time, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.MayHedge(now, service)
}

func (t *routeTable) hedgeAfter(now time.Time, service, operation string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.HedgeAfter(now, service, operation)
}

// levelTable guards the levels observed in replies.
type levelTable struct {
	mu     sync.Mutex
	levels *admission.Levels
}

func (t *levelTable) check(now time.Time, c *call.Call) admission.LevelVerdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.levels.Check(now, c.Service, c.Operation, c.Caller, c.Priority())
}

func (t *levelTable) observe(now time.Time, c *call.Call, level call.Level) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.levels.Observe(now, c.Service, c.Operation, c.Caller, level)
}

// attemptTable guards the observed needs of the operations, in attempts, and the
// retry budget of each called service.
type attemptTable struct {
	mu      sync.Mutex
	needs   *attempt.Needs
	budgets map[string]*attempt.Budget
}

func newAttemptTable() *attemptTable {
	return &attemptTable{needs: attempt.NewNeeds(), budgets: make(map[string]*attempt.Budget)}
}

func (t *attemptTable) share(service, operation string, left int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.needs.Share(service, operation, left)
}

// need returns the attempts that calls of an operation spent, as observed.
func (t *attemptTable) need(service, operation string) (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.needs.Need(service, operation)
}

// suffices reports whether the need of the call's operation is known and the given
// attempts cover it with its margin.
func (t *attemptTable) suffices(c *call.Call, attempts int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.needs.Need(c.Service, c.Operation); !known {
		return false
	}
	return t.needs.Share(c.Service, c.Operation, attempts+1) <= attempts
}

// completed records a completed call and the attempts that it spent.
func (t *attemptTable) completed(now time.Time, c *call.Call, spent, percent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.needs.Observe(c.Service, c.Operation, spent)
	t.budget(c.Service, percent).OnSuccess(now)
}

func (t *attemptTable) tryRetry(now time.Time, service string, percent int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(service, percent).TryRetry(now)
}

// budget returns the service's budget. Only services of the inventory get one,
// so their number is bounded.
func (t *attemptTable) budget(service string, percent int) *attempt.Budget {
	b := t.budgets[service]
	if b == nil {
		added := attempt.NewBudget(percent)
		b = &added
		t.budgets[service] = b
	}
	b.SetPercent(percent)
	return b
}

// ringTable guards the ring of the timeline's events.
type ringTable struct {
	mu   sync.Mutex
	ring *timeline.Ring
	now  func() time.Time
}

func (t *ringTable) record(e timeline.Event) {
	e.Time = t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring.Record(e)
}

// recordCall records an event of a call.
func (t *ringTable) recordCall(kind timeline.Kind, c *call.Call, class, detail string) {
	t.record(timeline.Event{
		Kind: kind, Request: c.Request, Service: c.Service,
		Operation: c.Operation, Class: class, Detail: detail,
	})
}

func (t *ringTable) observe(lamport uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring.Observe(lamport)
}

func (t *ringTable) lamport() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ring.Lamport()
}

func (t *ringTable) after(sequence uint64, filter timeline.Filter, limit int) ([]timeline.Event, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ring.After(sequence, filter, limit)
}
