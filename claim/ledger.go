package claim

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxEntries caps the claims of one shard; its object stays below 700 KB.
	MaxEntries = 16384
	// MaxUndated caps those of them that never age.
	MaxUndated = 2048

	// retainAge is the age from which a claim may be dropped.
	retainAge = 15 * time.Minute
	// minRetainAge is the age from which a claim may be dropped when the shard
	// is nearly full.
	minRetainAge = time.Minute
	// ageOutEntries is the number of claims from which old ones are dropped.
	ageOutEntries = 256
	// nearlyFullEntries is the number of claims from which minRetainAge holds.
	nearlyFullEntries = MaxEntries * 3 / 4
)

const (
	ledgerMagic  = 0x314c4347 // "GCL1"
	headerBytes  = 4 + 8 + 4
	entryBytes   = 16 + 8 + 8 + 8
	maxUnixMilli = 1 << 48 // times in a UUIDv7 have 48 bits
)

var errCorruptLedger = errors.New("corrupt claims object")

// entry is one claim.
type entry struct {
	fingerprint Fingerprint
	millis      int64 // Unix time of the key, 0 if undated
	claimant    Claimant
	sequence    uint64 // the claimant's own number of this claim
}

// ledger is the content of a shard's object: the claims, and the floor below
// which dated keys have been dropped. The floor only rises.
type ledger struct {
	floorMillis int64
	entries     []entry
	index       map[Fingerprint]int
	undated     int
}

func newLedger() *ledger {
	return &ledger{index: map[Fingerprint]int{}}
}

func (l *ledger) find(f Fingerprint) (entry, bool) {
	i, ok := l.index[f]
	if !ok {
		return entry{}, false
	}
	return l.entries[i], true
}

// tooOld reports whether a claim of the key may have been dropped.
func (l *ledger) tooOld(k Key) bool {
	return k.millis != 0 && k.millis < l.floorMillis
}

func (l *ledger) add(e entry) {
	l.index[e.fingerprint] = len(l.entries)
	l.entries = append(l.entries, e)
	if e.millis == 0 {
		l.undated++
	}
}

// after returns a copy of the ledger with a higher floor and without the claims
// that are dropped.
func (l *ledger) after(floorMillis int64, drops map[Fingerprint]bool) *ledger {
	next := newLedger()
	next.floorMillis = floorMillis
	next.entries = make([]entry, 0, len(l.entries)+1)
	for _, e := range l.entries {
		aged := e.millis != 0 && e.millis < floorMillis
		if !aged && !drops[e.fingerprint] {
			next.add(e)
		}
	}
	return next
}

// nextFloor returns the floor that the next write should set: just above the
// newest claim that is old enough to be dropped.
func (l *ledger) nextFloor(now time.Time) int64 {
	if len(l.entries) < ageOutEntries {
		return l.floorMillis
	}
	age := retainAge
	if len(l.entries) >= nearlyFullEntries {
		age = minRetainAge
	}
	oldest := now.Add(-age).UnixMilli()
	floor := l.floorMillis
	for _, e := range l.entries {
		if e.millis != 0 && e.millis < oldest {
			floor = max(floor, e.millis+1)
		}
	}
	return floor
}

func (l *ledger) encode() []byte {
	value := make([]byte, 0, headerBytes+len(l.entries)*entryBytes)
	value = binary.LittleEndian.AppendUint32(value, ledgerMagic)
	value = binary.LittleEndian.AppendUint64(value, uint64(l.floorMillis))
	value = binary.LittleEndian.AppendUint32(value, uint32(len(l.entries)))
	for _, e := range l.entries {
		value = append(value, e.fingerprint[:]...)
		value = binary.LittleEndian.AppendUint64(value, uint64(e.millis))
		value = binary.LittleEndian.AppendUint64(value, uint64(e.claimant))
		value = binary.LittleEndian.AppendUint64(value, e.sequence)
	}
	return value
}

// decodeLedger reads what encode wrote. An absent object is an empty value.
func decodeLedger(value []byte) (*ledger, error) {
	l := newLedger()
	if len(value) == 0 {
		return l, nil
	}
	if len(value) < headerBytes || binary.LittleEndian.Uint32(value) != ledgerMagic {
		return nil, errors.Wrap(errCorruptLedger, "header")
	}
	l.floorMillis = int64(binary.LittleEndian.Uint64(value[4:]))
	count := int(binary.LittleEndian.Uint32(value[12:]))
	if count > MaxEntries || len(value) != headerBytes+count*entryBytes || !validMillis(l.floorMillis) {
		return nil, errors.Wrap(errCorruptLedger, "size or floor")
	}
	l.entries = make([]entry, 0, count)
	for rest := value[headerBytes:]; len(rest) > 0; rest = rest[entryBytes:] {
		e := decodeEntry(rest)
		if _, twice := l.find(e.fingerprint); twice || !validMillis(e.millis) {
			return nil, errors.Wrap(errCorruptLedger, "entry")
		}
		l.add(e)
	}
	l.entries = slices.Clip(l.entries)
	return l, nil
}

func decodeEntry(b []byte) entry {
	return entry{
		fingerprint: Fingerprint(b[:16]),
		millis:      int64(binary.LittleEndian.Uint64(b[16:])),
		claimant:    Claimant(binary.LittleEndian.Uint64(b[24:])),
		sequence:    binary.LittleEndian.Uint64(b[32:]),
	}
}

func validMillis(millis int64) bool { return millis >= 0 && millis < maxUnixMilli }
