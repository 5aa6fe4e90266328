package membershiptest

// datagram is a packet in flight.
type datagram struct {
	from int // index of the node
	to   int // index of the node
	data []byte
}

// event is a scheduled event: run is called or, if it is nil, the datagram arrives.
type event struct {
	datagram
	run func()
}

// timingWheel holds events, with one bucket for each millisecond.
type timingWheel struct {
	buckets [][]event
	current int // the current millisecond, modulo the number of buckets
}

func newTimingWheel(milliseconds int) *timingWheel {
	return &timingWheel{buckets: make([][]event, milliseconds)}
}

// add schedules an event after a delay in milliseconds. The delay is raised to 1 and
// limited to the wheel's length less 1.
func (w *timingWheel) add(milliseconds int, e event) {
	delay := min(max(1, milliseconds), len(w.buckets)-1)
	bucket := (w.current + delay) % len(w.buckets)
	w.buckets[bucket] = append(w.buckets[bucket], e)
}

// step advances by one millisecond and returns the events of the new one.
func (w *timingWheel) step() []event {
	w.current = (w.current + 1) % len(w.buckets)
	due := w.buckets[w.current]
	w.buckets[w.current] = nil
	return due
}
