package roster

import (
	"cmp"
	"slices"
)

// Table holds the latest record of each instance.
type Table struct {
	records map[string]*Record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[string]*Record{}} }

// Offer takes in a record. It reports whether the record was news.
func (t *Table) Offer(r Record) bool {
	known := t.records[r.Instance]
	if known != nil && !r.Newer(known) {
		return false
	}
	t.records[r.Instance] = &r
	return true
}

// Remove forgets the instance, if its record is not newer than the incarnation.
func (t *Table) Remove(instance string, incarnation int64) bool {
	known := t.records[instance]
	if known == nil || known.Incarnation > incarnation {
		return false
	}
	delete(t.records, instance)
	return true
}

// Get returns the record of the instance, or nil.
func (t *Table) Get(instance string) *Record { return t.records[instance] }

// All returns all records, by name of the instance.
func (t *Table) All() []Record {
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Instance, b.Instance) })
	return all
}

// Serving returns the records whose targets take requests of the service.
func (t *Table) Serving(service string) []*Record {
	var serving []*Record
	for _, r := range t.records {
		if r.Target.Service == service && r.Takes() {
			serving = append(serving, r)
		}
	}
	slices.SortFunc(serving, func(a, b *Record) int { return cmp.Compare(a.Instance, b.Instance) })
	return serving
}
