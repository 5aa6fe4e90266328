package membershiptest

// datagram is a packet on its way.
type datagram struct {
	from int // node
	to   int
	data []byte
}

// event is what happens at a time: a datagram arrives, or call runs.
type event struct {
	datagram
	call func()
}

// wheel holds events by the millisecond in which they happen.
type wheel struct {
	slots [][]event
	at    int // the current millisecond, modulo the number of slots
}

func newWheel(milliseconds int) *wheel {
	return &wheel{slots: make([][]event, milliseconds)}
}

// add schedules an event, at least one millisecond ahead and less than the wheel's
// length.
func (w *wheel) add(milliseconds int, e event) {
	ahead := min(max(1, milliseconds), len(w.slots)-1)
	slot := (w.at + ahead) % len(w.slots)
	w.slots[slot] = append(w.slots[slot], e)
}

// step advances by one millisecond and returns what happens in it.
func (w *wheel) step() []event {
	w.at = (w.at + 1) % len(w.slots)
	due := w.slots[w.at]
	w.slots[w.at] = nil
	return due
}
