package admission

import (
	"math"
	"time"
)

// Parameters of the learned service times, times in seconds.
const (
	serviceGain       = 1.0 / 16 // weight of a new sample
	waitFactor        = 2.0      // service times that a call may wait
	serviceFadeAfter  = 250 * time.Millisecond
	serviceFadeFactor = 0.9 // per tick without a sample
)

// operation is what a queue has learned of one operation's service time.
type operation struct {
	mean      float64 // seconds, 0 if unknown
	deviation float64 // mean absolute deviation in seconds
	last      time.Time
}

// observe adds one service time.
func (o *operation) observe(now time.Time, spent time.Duration) {
	seconds := spent.Seconds()
	o.last = now
	if o.mean == 0 {
		o.mean = seconds
		o.deviation = seconds / 4
		return
	}
	difference := seconds - o.mean
	o.mean += serviceGain * difference
	o.deviation += serviceGain * (math.Abs(difference) - o.deviation)
}

// least returns a service time that most calls exceed.
func (o *operation) least() time.Duration {
	seconds := max(o.mean-o.deviation, o.mean/2)
	return time.Duration(seconds * float64(time.Second))
}

// usualWait returns how long a call that runs for long itself may wait as well.
func (o *operation) usualWait() time.Duration {
	return time.Duration(waitFactor * o.mean * float64(time.Second))
}

// fade lowers an estimate that no call has confirmed for a while. Otherwise an
// estimate above every deadline would refuse all calls that could correct it.
func (o *operation) fade(now time.Time) {
	if o.mean > 0 && now.Sub(o.last) > serviceFadeAfter {
		o.mean *= serviceFadeFactor
		o.deviation *= serviceFadeFactor
	}
}

// operations is the table of learned service times of one target.
type operations struct {
	index map[string]int32
	list  []operation
	usual float64 // service time of the usual call in seconds, 0 if unknown
}

func newOperations() operations {
	return operations{
		index: make(map[string]int32, MaxOperations),
		list:  make([]operation, 0, MaxOperations),
	}
}

// find returns the operation's place; a full table shares its last one.
func (t *operations) find(name string) int32 {
	if at, ok := t.index[name]; ok {
		return at
	}
	if len(t.list) == MaxOperations {
		return MaxOperations - 1
	}
	at := int32(len(t.list))
	t.list = append(t.list, operation{})
	t.index[name] = at
	return at
}

// usualStep is the relative step by which the usual service time moves.
const usualStep = 1.0 / 64

// observe adds one service time. The usual one follows the median: it moves by
// equal steps toward each sample, so a few long calls hardly change it.
func (t *operations) observe(now time.Time, at int32, spent time.Duration) {
	t.list[at].observe(now, spent)
	seconds := spent.Seconds()
	switch {
	case t.usual == 0:
		t.usual = seconds
	case seconds > t.usual:
		t.usual *= 1 + usualStep
	default:
		t.usual *= 1 - usualStep
	}
}

// long reports whether the operation runs at least factor times the usual.
func (t *operations) long(at int32, factor float64) bool {
	return t.usual > 0 && t.list[at].mean > factor*t.usual
}

func (t *operations) fade(now time.Time) {
	for i := range t.list {
		t.list[i].fade(now)
	}
}
