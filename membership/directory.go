package membership

import (
	"math/rand/v2"
	"slices"

	"github.com/gypsumford/gypsumford/fleet"
)

const (
	compactMinChanges = 256 // changes up to which no new base is made
	compactDivisor    = 8   // beyond those, changes up to 1/8 of the base's records are kept
	randomTries       = 16
)

// directory holds the records of a table: an immutable base and the changes since.
type directory struct {
	base      *Base
	changed   map[reference]record
	removed   map[reference]bool   // in the base, removed since
	added     []reference          // in changed but not in the base, ordered by reference
	byAddress map[string]reference // changes to base.byAddress
	sums      []uint32             // one for each leaf of the digest
	digest    uint64
	live      int
}

func newDirectory(base *Base) *directory {
	d := &directory{}
	d.reset(base)
	return d
}

func (d *directory) reset(base *Base) {
	d.base = base
	d.changed = map[reference]record{}
	d.removed = map[reference]bool{}
	d.added = nil
	d.byAddress = map[string]reference{}
	d.sums = slices.Clone(base.sums)
	d.live = base.live
	d.digest = 0
	for leaf, sum := range d.sums {
		d.digest += leafDigest(leaf, sum)
	}
}

// get returns a copy of the record of ref.
func (d *directory) get(ref reference) (record, bool) {
	if r, ok := d.changed[ref]; ok {
		return r, true
	}
	if len(d.removed) > 0 && d.removed[ref] {
		return record{}, false
	}
	if i, ok := d.base.position(ref); ok {
		return d.base.records[i], true
	}
	return record{}, false
}

// atAddress returns the record of the live member at address.
func (d *directory) atAddress(address string) (record, bool) {
	ref, ok := d.byAddress[address]
	if !ok {
		ref, ok = d.base.byAddress[address]
	}
	if !ok {
		return record{}, false
	}
	r, ok := d.get(ref)
	return r, ok && r.live()
}

// put stores r in place of the member's old record, if there is one.
func (d *directory) put(r record) {
	ref := r.identity.ref
	old, known := d.get(ref)
	if known {
		d.updateSums(&old, -1)
	} else {
		d.insertAdded(ref)
	}
	d.updateSums(&r, 1)
	d.changed[ref] = r
	if r.live() {
		d.byAddress[r.identity.address] = ref
	}
}

func (d *directory) insertAdded(ref reference) {
	delete(d.removed, ref)
	if _, inBase := d.base.position(ref); inBase {
		return
	}
	if i, found := slices.BinarySearch(d.added, ref); !found {
		d.added = slices.Insert(d.added, i, ref)
	}
}

// updateSums adds r to the sums and the count of live members (sign 1), or
// subtracts it (sign -1).
func (d *directory) updateSums(r *record, sign int) {
	if !r.live() {
		return
	}
	d.live += sign
	leaf := leafOf(r.identity.ref)
	before := d.sums[leaf]
	after := before + r.hash()
	if sign < 0 {
		after = before - r.hash()
	}
	d.sums[leaf] = after
	d.digest += leafDigest(leaf, after) - leafDigest(leaf, before)
}

// remove removes the member's record.
func (d *directory) remove(ref reference) {
	r, ok := d.get(ref)
	if !ok {
		return
	}
	d.updateSums(&r, -1)
	delete(d.changed, ref)
	if d.byAddress[r.identity.address] == ref {
		delete(d.byAddress, r.identity.address)
	}
	if _, inBase := d.base.position(ref); inBase {
		d.removed[ref] = true
		return
	}
	if i, found := slices.BinarySearch(d.added, ref); found {
		d.added = slices.Delete(d.added, i, i+1)
	}
}

// len returns the number of records, including those of dead members and of members
// that left.
func (d *directory) len() int {
	return len(d.base.records) - len(d.removed) + len(d.added)
}

// each calls visit with each record: first the members of the base, then the added
// ones, both ordered by reference.
func (d *directory) each(visit func(r *record)) {
	for i := range d.base.records {
		r := &d.base.records[i]
		if changed, ok := d.changed[r.identity.ref]; ok {
			visit(&changed)
		} else if !d.removed[r.identity.ref] {
			visit(r)
		}
	}
	for _, ref := range d.added {
		r := d.changed[ref]
		visit(&r)
	}
}

// eachEnded calls visit with each record of a member that is dead or left, in no
// particular order.
func (d *directory) eachEnded(visit func(r *record)) {
	for _, r := range d.changed {
		if !r.live() {
			visit(&r)
		}
	}
	if d.base.live == len(d.base.records) {
		return
	}
	for i := range d.base.records {
		r := &d.base.records[i]
		if !r.live() && d.inBaseUnchanged(r.identity.ref) {
			visit(r)
		}
	}
}

func (d *directory) inBaseUnchanged(ref reference) bool {
	if len(d.changed) > 0 {
		if _, ok := d.changed[ref]; ok {
			return false
		}
	}
	return len(d.removed) == 0 || !d.removed[ref]
}

// eachOfService calls visit with each record of the service, in no particular order.
func (d *directory) eachOfService(service string, visit func(r *record)) {
	d.eachAmong(d.base.byService[service], func(r *record) bool { return r.service == service }, visit)
}

// eachInDomain calls visit with each record of the failure domain, in no particular
// order.
func (d *directory) eachInDomain(domain fleet.FailureDomain, visit func(r *record)) {
	d.eachAmong(d.base.byDomain[domain], func(r *record) bool { return r.identity.domain == domain }, visit)
}

// eachAmong calls visit with the records at the given positions of the base that
// have not changed, and with the changed records that belongs accepts.
func (d *directory) eachAmong(positions []int32, belongs func(r *record) bool, visit func(r *record)) {
	for _, i := range positions {
		r := &d.base.records[i]
		if d.inBaseUnchanged(r.identity.ref) {
			visit(r)
		}
	}
	for _, r := range d.changed {
		if belongs(&r) {
			visit(&r)
		}
	}
}

// successors returns the next count live members after ref on the ring, or all if
// there are fewer.
func (d *directory) successors(ref reference, count int) []record {
	found := make([]record, 0, count)
	nextBase, _ := d.base.position(ref)
	nextAdded, _ := slices.BinarySearch(d.added, ref)
	total := len(d.base.records) + len(d.added)
	ring := ringIterator{base: d.base.records, added: d.added, nextBase: nextBase, nextAdded: nextAdded}
	for range total {
		next := ring.next()
		if next == ref {
			continue
		}
		r, ok := d.get(next)
		if ok && r.live() {
			found = append(found, r)
		}
		if len(found) == count {
			break
		}
	}
	return found
}

// ringIterator merges the ordered references of the base and of the added members,
// from a position on. After the end it continues at the beginning.
type ringIterator struct {
	base      []record
	added     []reference
	nextBase  int
	nextAdded int
}

func (it *ringIterator) next() reference {
	if it.nextBase >= len(it.base) && it.nextAdded >= len(it.added) {
		it.nextBase, it.nextAdded = 0, 0
	}
	if it.nextAdded >= len(it.added) || (it.nextBase < len(it.base) && it.base[it.nextBase].identity.ref < it.added[it.nextAdded]) {
		it.nextBase++
		return it.base[it.nextBase-1].identity.ref
	}
	it.nextAdded++
	return it.added[it.nextAdded-1]
}

// random returns a random record that accept returns true for. It fails after
// randomTries records.
func (d *directory) random(rng *rand.Rand, accept func(r *record) bool) (record, bool) {
	total := len(d.base.records) + len(d.added)
	if total == 0 {
		return record{}, false
	}
	for range randomTries {
		r, ok := d.at(rng.IntN(total))
		if ok && accept(&r) {
			return r, true
		}
	}
	return record{}, false
}

func (d *directory) at(i int) (record, bool) {
	if i < len(d.base.records) {
		return d.get(d.base.records[i].identity.ref)
	}
	return d.get(d.added[i-len(d.base.records)])
}

// compact merges the changes into a new base if there are many.
func (d *directory) compact() {
	changes := len(d.changed) + len(d.removed)
	if changes <= compactMinChanges+len(d.base.records)/compactDivisor {
		return
	}
	records := make([]record, 0, d.len())
	d.each(func(r *record) { records = append(records, *r) })
	d.reset(newBase(records))
}
