// Package returntime decides when the caller of a refused request should come back, and
// whether one that comes back is served. Inputs are the arrivals at one entry by service and
// priority, the share of them that admission has room for, and fingerprints of requests.
//
// Callers honour a stated time up to a part of the time that they have left, and mostly retry
// once, as a new request. With a time drawn at random they met the same admission again, and
// most were refused again (21,000 requests a day).
//
// An entry admits a share of a priority's arrivals, so it has room for arrivals x share in a
// second. It gives half of that room to callers that it has refused, as places one after the
// other in time. A caller whose turn comes within what it waits gets a place and is admitted
// when it comes back; as many new requests of its priority yield. Others are told when there
// would be a place, so that they needn't come back in vain. Whoever comes back at once, before
// its time, is told the rest of it, however often: a try costs nothing and gains nothing.
//
// A retry has a new ID, so requests are recognized by what their callers can't change between
// tries. Equal requests of several callers are one here: the first that comes in time has the
// place. Early ones are taken for another caller's, and decided on like new ones, if none was
// seen for a moment; otherwise a URI that many ask for would be refused to all of them. The table holds a bounded number of requests;
// the oldest are forgotten first, and are then new requests.
package returntime

import (
	"maps"
	"math"
	"time"

	"github.com/gypsumford/gypsumford/loadshed"
)

const (
	// placesShare is the part of the room that is given to refused callers. New requests that
	// are admitted at once need no second try, so they keep the rest.
	placesShare = 0.5
	// rateTimeConstant is the time constant of the moving average of arrivals.
	rateTimeConstant = 2 * time.Second
	// earlyTolerance is how much too early a caller may come: its timers aren't exact.
	earlyTolerance = 15 * time.Millisecond
	// placeTime is how long a place is kept for a caller that comes late.
	placeTime = 400 * time.Millisecond
	// impatientTime is the time after a request within which an equal one is taken for a
	// further try of the same caller.
	impatientTime = 150 * time.Millisecond
	// maxDelay bounds the stated time.
	maxDelay = 30 * time.Second
	// maxRequests bounds the requests in each of two generations, and generationTime their age.
	maxRequests    = 4096
	generationTime = 10 * time.Second
	// maxYields bounds the new requests that are still to yield.
	maxYields = 8
)

// Status is what the table knows of a request that arrives.
type Status uint8

const (
	// New means that the request is decided on like any other.
	New Status = iota
	// Due means that the request has a place now.
	Due
	// Early means that the request was told to come later.
	Early
)

var statusNames = [...]string{"new", "due", "early"}

// String returns the status' name.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}

// IsEmpty reports whether no request is remembered.
func (t *Table) IsEmpty() bool { return len(t.current)+len(t.previous) == 0 }

// Limit is the service and the priority for which a request is refused or admitted, and the
// share of the priority's requests that is admitted there.
type Limit struct {
	Service  string
	Priority int
	Account  string // whose places they are, "" without one
	Share    float64
}

type queueKey struct {
	service  string
	priority int
	account  string
}

func (l *Limit) key() queueKey {
	return queueKey{l.Service, loadshed.ClampPriority(l.Priority), l.Account}
}

// places are those of one service and priority.
type places struct {
	perS      float64   // moving average of arrivals
	startedAt time.Time // of the average
	updatedAt time.Time
	nextFree  time.Time // the first place that nobody has
	yields    float64   // new requests that are still to yield
}

// told is what a caller was told.
type told struct {
	at       time.Time // when to come back
	seenAt   time.Time // when such a request last arrived
	hasPlace bool
	key      queueKey
}

// Table holds what refused callers were told.
type Table struct {
	queues            map[queueKey]*places
	current, previous map[uint64]told // by fingerprint
	rotatedAt         time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{queues: map[queueKey]*places{}, current: map[uint64]told{}, previous: map[uint64]told{}}
}

// Arrive returns what is known of a request that arrives, and for an early one how long it
// still has to wait. A place is used up by the request that is told that it is due.
func (t *Table) Arrive(now time.Time, fingerprint uint64) (status Status, wait time.Duration) {
	entry, ok := t.lookup(fingerprint)
	if !ok {
		return New, 0
	}
	if wait := entry.at.Sub(now); wait > earlyTolerance {
		isImpatient := now.Sub(entry.seenAt) < impatientTime
		entry.seenAt = now
		t.remember(fingerprint, entry)
		if isImpatient {
			return Early, wait
		}
		return New, 0
	}
	delete(t.current, fingerprint)
	delete(t.previous, fingerprint)
	if !entry.hasPlace || now.Sub(entry.at) > placeTime {
		return New, 0
	}
	if q := t.queues[entry.key]; q != nil {
		q.yields = min(q.yields+1, maxYields)
	}
	return Due, 0
}

// Admitted records that admission admits a new request although it restricts the priority. It
// returns false if the request is to be refused, as one that had a place has taken its room.
func (t *Table) Admitted(now time.Time, l Limit) bool {
	q := t.queue(now, l)
	q.arrive(now)
	if q.yields >= 1 {
		q.yields--
		return false
	}
	return true
}

// Refused records that admission refuses a new request.
func (t *Table) Refused(now time.Time, l Limit) { t.queue(now, l).arrive(now) }

// Tell returns after which time the caller of a refused request should come back: not before
// the time earliest, and with a place if that is at most the time longest.
func (t *Table) Tell(now time.Time, fingerprint uint64, l Limit, earliest, longest time.Duration) time.Duration {
	if entry, ok := t.lookup(fingerprint); ok && entry.at.Sub(now) > earlyTolerance {
		return entry.at.Sub(now) // no second place
	}
	q := t.queue(now, l)
	at := now.Add(earliest)
	if q.nextFree.After(at) {
		at = q.nextFree
	}
	room := q.rate() * min(max(l.Share, 0), 1) * placesShare // places a second
	delay := min(at.Sub(now), maxDelay)
	hasPlace := room > 0 && delay <= longest
	if hasPlace {
		q.nextFree = at.Add(time.Duration(min(1/room, maxDelay.Seconds()) * float64(time.Second)))
	} else {
		// Nobody waits that long for a place that is nearer.
		delay = max(delay, longest+earliest)
	}
	t.rotate(now)
	t.current[fingerprint] = told{
		at: now.Add(delay), seenAt: now, hasPlace: hasPlace, key: l.key(),
	}
	return delay
}

func (t *Table) lookup(fingerprint uint64) (entry told, ok bool) {
	if entry, ok = t.current[fingerprint]; !ok {
		entry, ok = t.previous[fingerprint]
	}
	return entry, ok
}

// remember replaces the entry of a request that is remembered.
func (t *Table) remember(fingerprint uint64, entry told) {
	generation := t.previous
	if _, ok := t.current[fingerprint]; ok {
		generation = t.current
	}
	generation[fingerprint] = entry
}

// rotate begins a new generation when the current one is full or old.
func (t *Table) rotate(now time.Time) {
	if len(t.current) < maxRequests && now.Sub(t.rotatedAt) < generationTime {
		return
	}
	t.current, t.previous = t.previous, t.current
	clear(t.current)
	t.rotatedAt = now
	maps.DeleteFunc(t.queues, func(_ queueKey, q *places) bool { return now.Sub(q.updatedAt) > maxDelay })
}

func (t *Table) queue(now time.Time, l Limit) *places {
	key := l.key()
	q := t.queues[key]
	if q == nil {
		q = &places{startedAt: now, updatedAt: now}
		t.queues[key] = q
	}
	return q
}

func (p *places) arrive(now time.Time) {
	p.perS = p.perS*fadeOver(now.Sub(p.updatedAt)) + 1/rateTimeConstant.Seconds()
	p.updatedAt = now
}

// rate returns the arrivals per second, corrected for an average that has just begun.
func (p *places) rate() float64 {
	const minKnown = 0.1
	return p.perS / max(1-fadeOver(p.updatedAt.Sub(p.startedAt)), minKnown)
}

func fadeOver(elapsed time.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(rateTimeConstant))
}
