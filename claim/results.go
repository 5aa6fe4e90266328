package claim

import "container/list"

// results keeps the answers of recent keys, dropping the least recently used
// one when it is full.
type results struct {
	maxBytes int
	maxCount int
	bytes    int
	byKey    map[Fingerprint]*list.Element
	recent   *list.List // of *result, the most recently used first
}

// largestShare divides the memory: a larger answer is not kept, so that it
// doesn't push out many others.
const largestShare = 8

type result struct {
	fingerprint Fingerprint
	answer      *Answer
}

func newResults(maxBytes, maxCount int) *results {
	return &results{
		maxBytes: maxBytes,
		maxCount: maxCount,
		byKey:    map[Fingerprint]*list.Element{},
		recent:   list.New(),
	}
}

func (r *results) get(f Fingerprint) (*Answer, bool) {
	element, ok := r.byKey[f]
	if !ok {
		return nil, false
	}
	r.recent.MoveToFront(element)
	return element.Value.(*result).answer, true
}

func (r *results) put(f Fingerprint, answer *Answer) {
	if answer == nil || r.byKey[f] != nil || answer.bytes() > r.maxBytes/largestShare {
		return
	}
	r.byKey[f] = r.recent.PushFront(&result{f, answer})
	r.bytes += answer.bytes()
	for r.bytes > r.maxBytes || r.recent.Len() > r.maxCount {
		r.dropOldest()
	}
}

func (r *results) dropOldest() {
	oldest := r.recent.Remove(r.recent.Back()).(*result)
	delete(r.byKey, oldest.fingerprint)
	r.bytes -= oldest.answer.bytes()
}
