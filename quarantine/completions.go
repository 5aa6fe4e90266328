package quarantine

import (
	"encoding/binary"
	"time"
)

const (
	// completionSlots bounds the requests whose last completion is remembered.
	completionSlots = 4096
	// recentCompletion is how long before a crash a completed run of the same request refutes
	// the suspicion. A request that many callers send is in flight at most crashes, and
	// completes all the time.
	recentCompletion = 2 * time.Second
)

// Completions remembers which requests have run to a response at one target of late. A newer
// request takes the place of an older one in the same slot.
type Completions struct {
	slots [completionSlots]completion
}

type completion struct {
	fingerprint Fingerprint
	at          int64 // Unix milliseconds
}

func (c *Completions) slot(f Fingerprint) *completion {
	return &c.slots[binary.BigEndian.Uint16(f[:])%completionSlots]
}

// Record records that a request has run to a response.
func (c *Completions) Record(now time.Time, f Fingerprint) {
	*c.slot(f) = completion{f, now.UnixMilli()}
}

// Refutes reports whether a request completed so shortly before a crash, given in Unix
// milliseconds, or after it, that it isn't a suspect.
func (c *Completions) Refutes(f Fingerprint, crash int64) bool {
	s := c.slot(f)
	return s.at != 0 && s.fingerprint == f && crash-s.at <= recentCompletion.Milliseconds()
}
