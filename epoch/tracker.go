package epoch

// Finding is what a response shows about the epoch.
type Finding uint8

const (
	// Same means that the response is of the current epoch.
	Same Finding = iota
	// First means that this is the first response, and states an epoch.
	First
	// Restored means that the store has begun a new epoch. A first epoch that is stated
	// after responses without one is new, too: it isn't known what these belonged to.
	Restored
	// WentBack means that the store states a lower epoch than before, in a response to a
	// request that was sent when the higher one was known. It begins a new history, too.
	WentBack
	// Late means that the response is of an earlier epoch: what it says may not hold any
	// more.
	Late
	// NotStated means that the response states no epoch, though others did.
	NotStated
)

var findingNames = [...]string{"same", "first", "restored", "went-back", "late", "not-stated"}

// String returns the finding's name.
func (f Finding) String() string {
	if int(f) < len(findingNames) {
		return findingNames[f]
	}
	return "invalid"
}

// Change is a finding other than Same, with the current epoch before and the stated one.
type Change struct {
	Finding  Finding
	From, To ID
	Err      error // why the epoch that the response states can't be read
}

// BeginsHistory reports whether the store's revisions have a new meaning from here on.
func (c Change) BeginsHistory() bool { return c.Finding == Restored || c.Finding == WentBack }

// Mark tells when a request was sent.
type Mark uint64

// Tracker holds the current epoch.
type Tracker struct {
	current  ID
	changes  Mark // number of changes of the current epoch
	received bool // a response was received
}

// Current returns the current epoch.
func (t *Tracker) Current() ID { return t.current }

// Sent returns the mark of a request that is about to be sent.
func (t *Tracker) Sent() Mark { return t.changes }

// Received evaluates the epoch that the response to a request states. mayBeStale tells that
// the request allows an old state, so that a lower epoch doesn't show that the store went
// back.
func (t *Tracker) Received(sent Mark, stated ID, mayBeStale bool) Change {
	change := Change{From: t.current, To: stated}
	isFirst := !t.received
	t.received = true
	switch {
	case stated == t.current:
		return change
	case stated == Unknown:
		change.Finding = NotStated
		return change
	case isFirst:
		change.Finding = First
	case stated > t.current:
		change.Finding = Restored
	case sent < t.changes || mayBeStale:
		change.Finding = Late
		return change
	default:
		change.Finding = WentBack
	}
	t.current = stated
	t.changes++
	return change
}
