package claim

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
)

const (
	// MaxIssued caps the issued keys that have not expired.
	MaxIssued = 65536
	// IssuedLifetime is the age at which an issued key expires; it is answered
	// 'unknown' from then on.
	IssuedLifetime = 10 * time.Minute
)

// issuedTable is the record of the keys that this instance issued. Nobody else
// may run them, so it needs no platform.
type issuedTable struct {
	self   fleet.InstanceID
	lowest uint64 // first sequence that has not expired
	next   uint64 // first sequence that has not been issued
	blocks []issuedBlock
	uses   map[uint64]issuedUse
}

// issuedBlock is a run of sequences that were issued at one time.
type issuedBlock struct {
	end uint64 // first sequence after the block
	at  time.Time
}

// issuedUse is what became of a sequence that was asked for.
type issuedUse struct {
	fingerprint Fingerprint // of the first call that used it
	taken       bool        // handed over, and not known to have not run
}

func newIssuedTable(self fleet.InstanceID) *issuedTable {
	return &issuedTable{self: self, lowest: 1, next: 1, uses: map[uint64]issuedUse{}}
}

func (t *issuedTable) issue(now time.Time, count int) []string {
	t.expire(now)
	count = min(count, MaxIssued-int(t.next-t.lowest))
	if count <= 0 {
		return nil
	}
	keys := make([]string, count)
	for i := range keys {
		keys[i] = issuedText(t.self, t.next)
		t.next++
	}
	t.blocks = append(t.blocks, issuedBlock{end: t.next, at: now})
	return keys
}

func (t *issuedTable) expire(now time.Time) {
	for len(t.blocks) > 0 && now.Sub(t.blocks[0].at) >= IssuedLifetime {
		for ; t.lowest < t.blocks[0].end; t.lowest++ {
			delete(t.uses, t.lowest)
		}
		t.blocks = t.blocks[1:]
	}
}

// notRun makes a key usable again whose run did not take place.
func (t *issuedTable) notRun(key Key) {
	use, ok := t.uses[key.sequence]
	if !ok {
		return
	}
	use.taken = false
	t.uses[key.sequence] = use
}

// askIssued decides on an issued key that this home is not running and has no
// answer for.
func (h *Home) askIssued(now time.Time, w waiter, key Key, issuer fleet.InstanceID) []Action {
	t := h.issued
	t.expire(now)
	if issuer != t.self {
		return h.unknown(w.id, key, ClaimantOf(issuer))
	}
	if key.sequence < t.lowest {
		return h.unknown(w.id, key, 0)
	}
	if key.sequence >= t.next {
		return h.refuse(w.id, key, call.ReasonKey, 0)
	}
	use, used := t.uses[key.sequence]
	if used && use.fingerprint != key.fingerprint {
		return h.refuse(w.id, key, call.ReasonKey, 0)
	}
	if use.taken {
		return h.unknown(w.id, key, h.self)
	}
	if reason := h.noRoom(now, w); reason != call.NoReason {
		return h.refuse(w.id, key, reason, overloadRetryAfter)
	}
	t.uses[key.sequence] = issuedUse{key.fingerprint, true}
	r := &record{key: key}
	h.records[key.fingerprint] = r
	h.addWaiter(r, w)
	return h.run(now, r)
}
