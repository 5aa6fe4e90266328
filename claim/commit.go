package claim

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// proceed starts the next platform call of a shard if one is needed and none
// is in flight.
func (h *Home) proceed(now time.Time, s *shard) []Action {
	if s.busy() || !h.needsPlatform(now, s) {
		return nil
	}
	if h.outage.blocks(now) {
		return nil
	}
	if s.ledger == nil {
		return h.read(now, s)
	}
	if now.Before(s.pace.earliest()) {
		return nil
	}
	return h.commit(now, s)
}

func (h *Home) needsPlatform(now time.Time, s *shard) bool {
	return len(s.waiting) > 0 || len(h.due(now, s)) > 0
}

// due returns the idle records whose claims should be given back now.
func (h *Home) due(now time.Time, s *shard) []*record {
	count := 0
	for _, r := range s.idle {
		if now.Sub(r.idleSince) < h.config.ReleaseAfter {
			break
		}
		count++
	}
	return s.idle[:count]
}

func (h *Home) read(now time.Time, s *shard) []Action {
	h.stats.Reads++
	h.outage.probing()
	s.reading = true
	return []Action{{Kind: Read, Shard: s.number}}
}

// commit writes the claims of all waiting keys, and the releases that are due,
// in one conditional write. A write without any still settles the earlier ones
// that expect the same version: once it is in, they can't be.
func (h *Home) commit(now time.Time, s *shard) []Action {
	c := &change{floorMillis: s.ledger.nextFloor(now), drops: h.collectReleases(now, s)}
	actions := h.collectClaims(s, c)
	settles := s.unsettled && len(s.waiting) > 0
	if len(c.adds) == 0 && len(c.drops) == 0 && !settles {
		return actions
	}
	h.lastToken++
	h.outage.probing()
	s.pace.started(now)
	s.write = &write{token: h.lastToken, version: s.version, change: c}
	value := s.ledger.encodeWith(c)
	h.stats.Writes++
	h.stats.WrittenClaims += uint64(len(c.adds))
	h.stats.WrittenBytes += uint64(len(value))
	return append(actions, Action{
		Kind:          Write,
		Shard:         s.number,
		ExpectVersion: s.version,
		Value:         value,
		Token:         s.write.token,
	})
}

// collectReleases returns the claims that the next write gives back.
func (h *Home) collectReleases(now time.Time, s *shard) map[Fingerprint]bool {
	due := h.due(now, s)
	s.idle = s.idle[len(due):]
	for _, r := range due {
		r.state = releasing
		s.waiting = append(s.waiting, r)
	}
	drops := map[Fingerprint]bool{}
	for _, r := range s.waiting {
		if r.state == releasing && len(r.waiters) == 0 {
			r.inDoubt = true
			drops[r.key.fingerprint] = true
		}
	}
	return drops
}

// collectClaims adds the claims of the waiting keys to the change. Keys for
// which the shard has no room are refused.
func (h *Home) collectClaims(s *shard, c *change) []Action {
	room, undated := s.ledger.room(c)
	var actions []Action
	for _, r := range s.waiting {
		if r.state == releasing || len(r.waiters) == 0 {
			continue
		}
		switch {
		case len(c.adds) >= room:
			actions = append(actions, h.refuseAll(r, call.ReasonPlatform, minRetainAge)...)
		case r.key.millis == 0 && c.undated >= undated:
			actions = append(actions, h.refuseAll(r, call.ReasonKey, 0)...)
		default:
			r.inDoubt = true
			c.add(r.entry(h.self))
		}
	}
	h.prune(s)
	return actions
}

// ReadDone reports a read: the object's version and value, version 0 if it is
// absent.
func (h *Home) ReadDone(now time.Time, number int, version uint64, value []byte, err ReadError) []Action {
	s := h.shards[number]
	if !s.reading {
		return nil
	}
	s.reading = false
	if err != ReadOK {
		h.outage.failed(now)
		if h.tolerates(now) {
			return nil
		}
		return h.refuseWaiting(now, s)
	}
	h.outage.ended()
	l, decodeErr := decodeLedger(value)
	if decodeErr != nil || version < s.version || (version > 0 && len(value) == 0) {
		h.stats.Corrupt++
		return h.refuseWaiting(now, s)
	}
	s.version = version
	s.ledger = l
	s.seenAt = now
	s.settle()
	return append(h.evaluate(now, s), h.proceed(now, s)...)
}

// WriteDone reports a write under its token; newVersion counts if it was
// written.
func (h *Home) WriteDone(now time.Time, number int, token uint64, result WriteResult, newVersion uint64) []Action {
	s := h.shards[number]
	w := s.write
	if w == nil || w.token != token {
		return nil
	}
	s.write = nil
	switch result {
	case Written:
		h.outage.ended()
		return h.written(now, s, w, newVersion)
	case Rejected:
		h.outage.ended()
		h.stats.Rejected++
		s.ledger = nil
		s.doubt(w.version)
		return h.refuseWaiting(now, s)
	case Conflict:
		h.outage.ended()
		h.stats.Conflicts++
	default:
		h.outage.unanswered(now)
		h.stats.Unsettled++
	}
	s.doubt(w.version)
	s.ledger = nil
	return h.proceed(now, s)
}

func (h *Home) written(now time.Time, s *shard, w *write, newVersion uint64) []Action {
	s.version = newVersion
	s.ledger.apply(w.change)
	s.seenAt = now
	s.settle()
	for _, r := range s.waiting {
		r.inDoubt = false
	}
	return append(h.evaluate(now, s), h.proceed(now, s)...)
}

// evaluate brings every waiting record in line with the shard's fresh ledger.
func (h *Home) evaluate(now time.Time, s *shard) []Action {
	var actions []Action
	var still []*record
	for _, r := range s.waiting {
		stays, a := h.evaluateRecord(now, s, r)
		actions = append(actions, a...)
		if stays {
			still = append(still, r)
		}
	}
	s.waiting = still
	return actions
}

func (h *Home) evaluateRecord(now time.Time, s *shard, r *record) (stays bool, actions []Action) {
	e, claimed := s.ledger.find(r.key.fingerprint)
	mine := claimed && e.claimant == h.self && e.sequence == r.sequence
	switch {
	case r.state == releasing && r.inDoubt:
		return true, nil
	case mine:
		r.state = owned
		return false, h.run(now, r)
	case claimed || s.ledger.tooOld(r.key):
		h.drop(r)
		return false, h.forWaiters(r, func(w waiter) []Action { return h.unknown(w.id, r.key, e.claimant) })
	}
	if r.state == releasing {
		h.released(r)
	}
	if len(r.waiters) > 0 || r.inDoubt {
		return true, nil
	}
	h.drop(r)
	return false, nil
}

// released makes a key whose claim was given back claimable again.
func (h *Home) released(r *record) {
	h.lastSequence++
	r.sequence = h.lastSequence
	r.state = unclaimed
}

// refuseWaiting refuses every call that waits for the shard's object. Keys
// whose claim may be in the object stay known, so that they don't run for a
// call that was refused.
func (h *Home) refuseWaiting(now time.Time, s *shard) []Action {
	var actions []Action
	var still []*record
	for _, r := range s.waiting {
		actions = append(actions, h.refuseAll(r, call.ReasonPlatform, h.outage.retryAfter(now))...)
		if r.inDoubt {
			still = append(still, r)
		} else {
			h.drop(r)
		}
	}
	s.waiting = still
	return actions
}

func (h *Home) refuseAll(r *record, reason call.Reason, retryAfter time.Duration) []Action {
	return h.forWaiters(r, func(w waiter) []Action { return h.refuse(w.id, r.key, reason, retryAfter) })
}
