package roster

import (
	"cmp"
	"slices"
)

// Table holds the latest record of each instance. It indexes the records by service,
// since every request looks up the targets of one.
type Table struct {
	records map[string]*Record
	serving map[string][]*Record // by service; each list is sorted by instance and never modified
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[string]*Record{}, serving: map[string][]*Record{}}
}

// Update stores a record if it is newer than the stored one of its instance. It reports
// whether it was.
func (t *Table) Update(r Record) bool {
	current := t.records[r.Instance]
	if current != nil && !r.Newer(current) {
		return false
	}
	t.records[r.Instance] = &r
	if current != nil && current.AcceptsRequests() {
		t.removeServing(current)
	}
	if r.AcceptsRequests() {
		t.addServing(&r)
	}
	return true
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
