package membership

import (
	"math/rand/v2"
	"slices"

	"github.com/gypsumford/gypsumford/fleet"
)

const (
	minChanges   = 256 // changes that never make a new base
	changesShare = 8   // a new base is made when a share of 1/8 has changed
	randomTries  = 16
)

// directory holds the records of a table: an immutable base, and what differs
// from it.
type directory struct {
	base      *Base
	changed   map[reference]record
	removed   map[reference]bool // in the base, and dropped since
	added     []reference        // in changed but not in the base, in order
	byAddress map[string]reference
	sums      []uint32 // per leaf of the digest
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

// put stores r in place of what was known of the member.
func (d *directory) put(r record) {
	ref := r.who.ref
	old, known := d.get(ref)
	if known {
		d.account(&old, -1)
	} else {
		d.insertAdded(ref)
	}
	d.account(&r, 1)
	d.changed[ref] = r
	if r.live() {
		d.byAddress[r.who.address] = ref
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

// account adds (sign 1) or takes away (sign -1) the part of r in the sums.
func (d *directory) account(r *record, sign int) {
	if !r.live() {
		return
	}
	d.live += sign
	leaf := leafOf(r.who.ref)
	before := d.sums[leaf]
	after := before + r.hash()
	if sign < 0 {
		after = before - r.hash()
	}
	d.sums[leaf] = after
	d.digest += leafDigest(leaf, after) - leafDigest(leaf, before)
}

// remove forgets the member.
func (d *directory) remove(ref reference) {
	r, ok := d.get(ref)
	if !ok {
		return
	}
	d.account(&r, -1)
	delete(d.changed, ref)
	if d.byAddress[r.who.address] == ref {
		delete(d.byAddress, r.who.address)
	}
	if _, inBase := d.base.position(ref); inBase {
		d.removed[ref] = true
		return
	}
	if i, found := slices.BinarySearch(d.added, ref); found {
		d.added = slices.Delete(d.added, i, i+1)
	}
}

// len returns the number of records, also of dead members and those that left.
func (d *directory) len() int {
	return len(d.base.records) - len(d.removed) + len(d.added)
}

// each calls visit with each record, those of the base first, in the order of
// references.
func (d *directory) each(visit func(r *record)) {
	for i := range d.base.records {
		r := &d.base.records[i]
		if changed, ok := d.changed[r.who.ref]; ok {
			visit(&changed)
		} else if !d.removed[r.who.ref] {
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
		if !r.live() && d.inBaseUnchanged(r.who.ref) {
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

// ofService calls visit with each record of the service, in no particular order.
func (d *directory) ofService(service string, visit func(r *record)) {
	d.among(d.base.byService[service], func(r *record) bool { return r.service == service }, visit)
}

// ofDomain calls visit with each record of the failure domain, in no particular
// order.
func (d *directory) ofDomain(domain fleet.FailureDomain, visit func(r *record)) {
	d.among(d.base.byDomain[domain], func(r *record) bool { return r.who.domain == domain }, visit)
}

// among calls visit with the records at those positions of the base that have not
// changed, and with the changed ones that belong to them.
func (d *directory) among(positions []int32, belongs func(r *record) bool, visit func(r *record)) {
	for _, i := range positions {
		r := &d.base.records[i]
		if d.inBaseUnchanged(r.who.ref) {
			visit(r)
		}
	}
	for _, r := range d.changed {
		if belongs(&r) {
			visit(&r)
		}
	}
}

// successors returns the first count live members after ref on the ring.
func (d *directory) successors(ref reference, count int) []record {
	found := make([]record, 0, count)
	inBase, _ := d.base.position(ref)
	inAdded, _ := slices.BinarySearch(d.added, ref)
	total := len(d.base.records) + len(d.added)
	walk := ringWalk{base: d.base.records, added: d.added, inBase: inBase, inAdded: inAdded}
	for range total {
		next := walk.next()
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

// ringWalk goes over two ordered lists of references as over one, from a position
// on and round the end.
type ringWalk struct {
	base    []record
	added   []reference
	inBase  int
	inAdded int
}

func (w *ringWalk) next() reference {
	if w.inBase >= len(w.base) && w.inAdded >= len(w.added) {
		w.inBase, w.inAdded = 0, 0
	}
	if w.inAdded >= len(w.added) || (w.inBase < len(w.base) && w.base[w.inBase].who.ref < w.added[w.inAdded]) {
		w.inBase++
		return w.base[w.inBase-1].who.ref
	}
	w.inAdded++
	return w.added[w.inAdded-1]
}

// random returns a random record that accept takes. It gives up after some tries.
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
		return d.get(d.base.records[i].who.ref)
	}
	return d.get(d.added[i-len(d.base.records)])
}

// compact folds the changes into a new base if there are many.
func (d *directory) compact() {
	changes := len(d.changed) + len(d.removed)
	if changes <= minChanges+len(d.base.records)/changesShare {
		return
	}
	records := make([]record, 0, d.len())
	d.each(func(r *record) { records = append(records, *r) })
	d.reset(newBase(records))
}
