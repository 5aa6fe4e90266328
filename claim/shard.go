package claim

import "time"

// shard is what a home knows of one shard, and its one read or write in flight.
type shard struct {
	number  int
	version uint64  // the newest version that this home has seen
	ledger  *ledger // content at that version, nil if it must be read first
	seenAt  time.Time

	reading   bool
	write     *write // in flight
	unsettled bool   // an earlier write at unsettledAt may still take effect
	doubtAt   uint64 // version that the unsettled writes expect
	pace      pace

	// waiting has the records whose state depends on the object, oldest first.
	waiting []*record
	// idle has the owned records without waiters, oldest first.
	idle []*record
}

// write is a conditional write in flight.
type write struct {
	token   uint64
	version uint64 // the version that it expects
	change  *change
}

// busy reports whether a platform call of the shard is in flight.
func (s *shard) busy() bool { return s.reading || s.write != nil }

// settle is called with a fresh ledger. Writes that expected an older version
// can no longer take effect.
func (s *shard) settle() {
	if !s.unsettled || s.version == s.doubtAt {
		return
	}
	s.unsettled = false
	for _, r := range s.waiting {
		r.inDoubt = false
	}
}

// doubt notes that a write expecting this version may yet take effect.
func (s *shard) doubt(version uint64) {
	s.unsettled = true
	s.doubtAt = version
}
