package membership

import "slices"

// queued is a member of whom the node has news to spread.
type queued struct {
	full bool // the receivers may not know the member
	sent int
}

// queue holds the members whose claims are to be spread. The claim itself is made
// from the record when it is sent, so it is never older than the table.
type queue struct {
	items map[reference]*queued
	order []reference // the one that waits longest first
}

func newQueue() *queue {
	return &queue{items: map[reference]*queued{}}
}

func (q *queue) len() int { return len(q.items) }

func (q *queue) push(ref reference, full bool) {
	if item, ok := q.items[ref]; ok {
		item.sent = 0
		item.full = item.full || full
		return
	}
	q.items[ref] = &queued{full: full}
	q.order = append(q.order, ref)
}

// limit is the number of times that each claim is sent.
func (q *queue) limit() int {
	if len(q.items) > bulkQueue {
		return transmissionsBulk
	}
	return transmissions
}

// pop takes the member that waits longest.
func (q *queue) pop() (reference, *queued) {
	ref := q.order[0]
	q.order = q.order[1:]
	return ref, q.items[ref]
}

// again puts a member back after its claim was sent, unless that was the last
// time.
func (q *queue) again(ref reference, item *queued) {
	item.sent++
	if item.sent >= q.limit() {
		delete(q.items, ref)
		return
	}
	q.order = append(q.order, ref)
}

// unpop puts a member back whose claim did not fit.
func (q *queue) unpop(ref reference) {
	q.order = append(q.order, ref)
}

// drop takes members out of the news.
func (q *queue) drop(refs ...reference) {
	before := len(q.items)
	for _, ref := range refs {
		delete(q.items, ref)
	}
	if len(q.items) < before {
		q.order = slices.DeleteFunc(q.order, func(ref reference) bool { return q.items[ref] == nil })
	}
}
