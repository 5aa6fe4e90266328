package roster

import (
	"cmp"
	"slices"

	"github.com/gypsumford/gypsumford/quarantine"
)

// Table holds the latest record of each instance. It indexes the records by service,
// since every request looks up the targets of one.
type Table struct {
	records map[string]*Record
	serving map[string][]*Record // by service; each list is sorted by instance and never modified
	known   map[string]int       // number of instances by service, whatever the state of their targets
	// stated holds, by instance, the last target that stated something, while the instance's
	// record names no target or an earlier incarnation: the record of a node that has just
	// started, and has heard nothing yet or a late heartbeat, replaces the one with the
	// statements.
	stated map[string]statedTarget
}

// statedTarget is a target that stated something, and the incarnation of the node that heard it.
type statedTarget struct {
	target      Target
	incarnation int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[string]*Record{}, serving: map[string][]*Record{}, known: map[string]int{}, stated: map[string]statedTarget{}}
}

// Update stores a record if it is newer than the stored one of its instance. It reports
// whether it was.
func (t *Table) Update(r Record) bool {
	current := t.records[r.Instance]
	if current != nil && !r.Newer(current) {
		if current.Target.sameIncarnation(&r.Target) && r.Target.Leaving {
			t.markLeaving(current)
		}
		return false
	}
	if current != nil {
		t.keepStatements(current, &r)
		if r.Incarnation != current.Incarnation { // the new process may not know it yet
			r.Quarantine = quarantine.Join(current.Quarantine, r.Quarantine)
		}
	}
	t.replace(current, &r)
	return true
}

// replace stores a record in place of the current one of its instance, if there is one.
func (t *Table) replace(current, r *Record) {
	t.records[r.Instance] = r
	t.count(current, -1)
	t.count(r, 1)
	if current != nil && current.AcceptsRequests() {
		t.removeServing(current)
	}
	if r.AcceptsRequests() {
		t.addServing(r)
	}
}

// count adds to the number of instances of a record's service, unless its node or its target
// leaves.
func (t *Table) count(r *Record, change int) {
	if r == nil || r.Leaving || r.Target.isLeaving() || r.Target.Service == "" {
		return
	}
	if t.known[r.Target.Service] += change; t.known[r.Target.Service] == 0 {
		delete(t.known, r.Target.Service)
	}
}

// Known returns the number of instances whose targets are of the service and don't leave,
// those included whose targets are down.
func (t *Table) Known(service string) int { return t.known[service] }

// keepStatements keeps what the target stated according to the current record, which r replaces,
// if r's node may not have heard it: its process was started later.
func (t *Table) keepStatements(current, r *Record) {
	stated, ok := t.stated[r.Instance]
	if current.Target.hasStatement() && (!ok || current.Target.Born >= stated.target.Born) {
		stated, ok = statedTarget{current.Target, current.Incarnation}, true
	}
	if !ok {
		return
	}
	if r.Target.ID == "" || r.Target.Born < stated.target.Born {
		t.stated[r.Instance] = stated
		return
	}
	delete(t.stated, r.Instance)
	if !r.Target.sameIncarnation(&stated.target) {
		return
	}
	r.Target.Leaving = r.Target.Leaving || stated.target.isLeaving()
	if r.Target.RateLimit == 0 && r.Incarnation != stated.incarnation {
		r.Target.RateLimit = stated.target.RateLimit
	}
}

// hasStatement reports whether the target states anything for all nodes.
func (t *Target) hasStatement() bool { return t.RateLimit > 0 || t.isLeaving() }

// ObserveStatements records what the target of an instance states of itself, as a reply of
// its node reports it. Statements of a target that isn't the recorded one are ignored.
func (t *Table) ObserveStatements(instance string, stated Target) {
	current := t.records[instance]
	if current == nil || !current.Target.sameIncarnation(&stated) {
		return
	}
	if stated.Leaving {
		t.markLeaving(current)
		return
	}
	if isCloseRate(stated.RateLimit, current.Target.RateLimit) {
		return
	}
	updated := *current
	updated.Target.RateLimit = stated.RateLimit
	t.replace(current, &updated)
}

// StatedBeside returns the record of the node at the address, if its target states a rate
// limit or that it leaves, or if the node has seen a crash. Its target is the last one that stated
// something if the node hasn't named that one or a later one since.
func (t *Table) StatedBeside(address string) (Record, bool) {
	for _, r := range t.records {
		if r.Address != address {
			continue
		}
		beside := *r
		if stated, ok := t.stated[r.Instance]; ok {
			beside.Target = stated.target
		}
		return beside, beside.Target.hasStatement() || !beside.Quarantine.IsEmpty()
	}
	return Record{}, false
}

// markLeaving records that the target of a record leaves.
func (t *Table) markLeaving(current *Record) {
	if current.Target.Leaving {
		return
	}
	updated := *current
	updated.Target.Leaving = true
	t.replace(current, &updated)
}

func byInstance(a, b *Record) int { return cmp.Compare(a.Instance, b.Instance) }

// addServing adds a record to the list of its target's service.
func (t *Table) addServing(r *Record) {
	list := t.serving[r.Target.Service]
	i, _ := slices.BinarySearchFunc(list, r, byInstance)
	t.serving[r.Target.Service] = slices.Insert(slices.Clone(list), i, r)
}

// removeServing removes a record from the list of its target's service.
func (t *Table) removeServing(r *Record) {
	list := t.serving[r.Target.Service]
	i, found := slices.BinarySearchFunc(list, r, byInstance)
	if !found {
		return
	}
	if len(list) == 1 {
		delete(t.serving, r.Target.Service)
		return
	}
	t.serving[r.Target.Service] = slices.Delete(slices.Clone(list), i, i+1)
}

// Get returns the record of the instance, or nil.
func (t *Table) Get(instance string) *Record { return t.records[instance] }

// Staying returns the names of the instances whose nodes aren't stopping, sorted, and that of
// own in any case.
func (t *Table) Staying(own string) []string {
	names := make([]string, 0, len(t.records)+1)
	for name, r := range t.records {
		if !r.Leaving && name != own {
			names = append(names, name)
		}
	}
	names = append(names, own)
	slices.Sort(names)
	return names
}

// Len returns the number of instances.
func (t *Table) Len() int { return len(t.records) }

// TargetIDs returns the IDs of all targets that a record names.
func (t *Table) TargetIDs() map[string]bool {
	ids := make(map[string]bool, len(t.records))
	for _, r := range t.records {
		if r.Target.ID != "" {
			ids[r.Target.ID] = true
		}
	}
	return ids
}

// All returns all records, sorted by instance.
func (t *Table) All() []Record {
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Record) int { return byInstance(&a, &b) })
	return all
}

// Serving returns the records whose targets accept requests for the service, sorted by
// instance. The list is shared and must not be modified.
func (t *Table) Serving(service string) []*Record { return t.serving[service] }
