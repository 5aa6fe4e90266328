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
	// ageOutShare divides the claims: old ones are dropped when they are as many.
	ageOutShare = 16
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

// change is what one write changes of a ledger.
type change struct {
	floorMillis int64
	drops       map[Fingerprint]bool // claims that are given back
	adds        []entry
	undated     int // of the adds
}

func (c *change) add(e entry) {
	c.adds = append(c.adds, e)
	if e.millis == 0 {
		c.undated++
	}
}

// keeps reports whether the change leaves a claim in the ledger.
func (c *change) keeps(e *entry) bool {
	aged := e.millis != 0 && e.millis < c.floorMillis
	return !aged && !c.drops[e.fingerprint]
}

// onlyAdds reports whether the change leaves every claim in the ledger.
func (l *ledger) onlyAdds(c *change) bool {
	return c.floorMillis == l.floorMillis && len(c.drops) == 0
}

// room returns how many claims, and how many undated ones, fit into the ledger
// once the change has dropped what it drops.
func (l *ledger) room(c *change) (claims, undated int) {
	if l.onlyAdds(c) {
		return MaxEntries - len(l.entries), MaxUndated - l.undated
	}
	claims, undated = MaxEntries, MaxUndated
	for i := range l.entries {
		if !c.keeps(&l.entries[i]) {
			continue
		}
		claims--
		if l.entries[i].millis == 0 {
			undated--
		}
	}
	return claims, undated
}

// apply makes the change.
func (l *ledger) apply(c *change) {
	if !l.onlyAdds(c) {
		kept := newLedger()
		for i := range l.entries {
			if c.keeps(&l.entries[i]) {
				kept.add(l.entries[i])
			}
		}
		*l = *kept
		l.floorMillis = c.floorMillis
	}
	for _, e := range c.adds {
		l.add(e)
	}
}

// nextFloor returns the floor that the next write should set: just above the
// newest claim that is old enough to be dropped. It stays where it is for a few
// of them.
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
	old := 0
	for i := range l.entries {
		if millis := l.entries[i].millis; millis != 0 && millis < oldest {
			floor = max(floor, millis+1)
			old++
		}
	}
	if old < len(l.entries)/ageOutShare {
		return l.floorMillis
	}
	return floor
}

// encodeWith returns the object's value once the change is made.
func (l *ledger) encodeWith(c *change) []byte {
	count := 0
	size := headerBytes + (len(l.entries)+len(c.adds))*entryBytes
	value := make([]byte, headerBytes, size)
	unchanged := l.onlyAdds(c)
	for i := range l.entries {
		if unchanged || c.keeps(&l.entries[i]) {
			value = appendEntry(value, &l.entries[i])
			count++
		}
	}
	for i := range c.adds {
		value = appendEntry(value, &c.adds[i])
		count++
	}
	binary.LittleEndian.PutUint32(value, ledgerMagic)
	binary.LittleEndian.PutUint64(value[4:], uint64(c.floorMillis))
	binary.LittleEndian.PutUint32(value[12:], uint32(count))
	return value
}

func appendEntry(value []byte, e *entry) []byte {
	value = append(value, e.fingerprint[:]...)
	value = binary.LittleEndian.AppendUint64(value, uint64(e.millis))
	value = binary.LittleEndian.AppendUint64(value, uint64(e.claimant))
	return binary.LittleEndian.AppendUint64(value, e.sequence)
}

// decodeLedger reads what encodeWith wrote. An absent object is an empty value.
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
