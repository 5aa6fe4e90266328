package membership

import "slices"

// queuedUpdate is a member whose record changed and is to be sent.
type queuedUpdate struct {
	full bool // in the full form, because receivers may not know the member
	sent int  // times
}

// updateQueue holds the members whose claims are to be sent. A claim is made from the
// record when it is sent, so it is never older than the table.
type updateQueue struct {
	items map[reference]*queuedUpdate
	order []reference // longest waiting first
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{items: map[reference]*queuedUpdate{}}
}

func (q *updateQueue) len() int { return len(q.items) }

// push adds a member, or restarts its count of transmissions.
func (q *updateQueue) push(ref reference, full bool) {
	if item, ok := q.items[ref]; ok {
		item.sent = 0
		item.full = item.full || full
		return
	}
	q.items[ref] = &queuedUpdate{full: full}
	q.order = append(q.order, ref)
}

// transmissionLimit returns the number of times that each update is sent.
func (q *updateQueue) transmissionLimit() int {
	if len(q.items) > bulkQueue {
		return transmissionsBulk
	}
	return transmissions
}

// pop takes the longest waiting member out of the order; requeue, putBack or remove
// follows.
func (q *updateQueue) pop() (reference, *queuedUpdate) {
	ref := q.order[0]
	q.order = q.order[1:]
	return ref, q.items[ref]
}

// requeue puts a member back after its claim was sent, unless it has been sent
// transmissionLimit times.
func (q *updateQueue) requeue(ref reference, item *queuedUpdate) {
	item.sent++
	if item.sent >= q.transmissionLimit() {
		delete(q.items, ref)
		return
	}
	q.order = append(q.order, ref)
}

// putBack puts a member back whose claim did not fit into the packet.
func (q *updateQueue) putBack(ref reference) {
	q.order = append(q.order, ref)
}

// remove removes members from the queue.
func (q *updateQueue) remove(refs ...reference) {
	before := len(q.items)
	for _, ref := range refs {
		delete(q.items, ref)
	}
	if len(q.items) < before {
		q.order = slices.DeleteFunc(q.order, func(ref reference) bool { return q.items[ref] == nil })
	}
}
