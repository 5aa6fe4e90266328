package membership

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumford/gypsumford/fleet"
	pb "github.com/gypsumford/gypsumford/membership/membershippb"
)

// SeedsPerDomain is the number of seed objects of a failure domain.
const SeedsPerDomain = 2

// SeedRefresh is the time after which a seed object is written again. A node that
// started more recently refreshes earlier: after as long as it has been running.
const SeedRefresh = 10 * time.Minute

const (
	minSeedRefresh = 5 * time.Second
	seedCheck      = 5 * time.Second  // time between two checks that a written object is still there
	seedRetry      = 10 * time.Second // time after a failed write, and between two checks of an object's owner
	seedAddresses  = 8                // addresses in one seed object
	maxSeedBytes   = 4096
)

// SeedKind is the kind of all seed objects on the platform, and the first part of
// their keys.
const SeedKind = "seeds"

// fleetSeedKey is the key of the seed object of the whole fleet. Through it, parts of
// the fleet that don't know each other find each other.
const fleetSeedKey = SeedKind + "/0"

// SeedKeys returns the keys of the seed objects of a failure domain and of the whole
// fleet. A new node reads these first and then, if no address in them responds, the
// other objects of SeedKind.
func SeedKeys(domain fleet.FailureDomain) []string {
	keys := make([]string, 0, SeedsPerDomain+1)
	for slot := range SeedsPerDomain {
		keys = append(keys, SeedKind+"/"+string(domain)+"/"+strconv.Itoa(slot))
	}
	return append(keys, fleetSeedKey)
}

// SeedWrite is a seed object that the node should write. The daemon first reads the
// object, exchanges tables with the addresses in it that the table does not hold
// (DecodeSeed, Knows), and then writes it if its version is still the one it read.
type SeedWrite struct {
	Key   string
	Value []byte
}

// SeedWrites returns the seed objects that the node owns and whose refresh is due.
// The owner of an object is chosen by rendezvous hashing: it is the live member of
// the failure domain, or of the fleet, with the highest hash of object and member.
func (t *Table) SeedWrites(now time.Time) []SeedWrite {
	t.setNow(now)
	var writes []SeedWrite
	if t.self.health == left {
		return nil
	}
	for _, key := range SeedKeys(t.self.identity.domain) {
		due, scheduled := t.seedDue[key]
		if scheduled && t.now < due {
			continue
		}
		t.seedDue[key] = t.now + seedRetry
		if !t.ownsSeed(key) {
			continue
		}
		writes = append(writes, SeedWrite{Key: key, Value: t.seedValue(now)})
	}
	return writes
}

// SeedChecks returns the keys of the seed objects that the node has written and owns, and
// that are due to be checked: the platform's store may have come back from a copy, without
// them. The daemon reads each of them, and calls SeedForgotten if it isn't the one that
// the node has written.
func (t *Table) SeedChecks(now time.Time) []string {
	t.setNow(now)
	var due []string
	for _, key := range SeedKeys(t.self.identity.domain) {
		checked, written := t.seedChecked[key]
		if !written || t.now < checked+seedCheck || !t.ownsSeed(key) {
			continue
		}
		t.seedChecked[key] = t.now
		due = append(due, key)
	}
	return due
}

// SeedForgotten makes the write of a seed object due, since the platform has lost it.
func (t *Table) SeedForgotten(now time.Time, key string) {
	t.setNow(now)
	t.seedDue[key] = t.now
}

// SeedWritten records that a write from SeedWrites succeeded, and schedules the next.
func (t *Table) SeedWritten(now time.Time, key string) {
	t.setNow(now)
	t.seedDue[key] = t.now + min(SeedRefresh, max(minSeedRefresh, t.now))
	t.seedChecked[key] = t.now
}

func (t *Table) ownsSeed(key string) bool {
	ownWeight := seedWeight(key, t.self.identity.ref)
	owner := true
	t.members.each(func(r *record) {
		concerned := key == fleetSeedKey || r.identity.domain == t.self.identity.domain
		if r.live() && concerned && seedWeight(key, r.identity.ref) > ownWeight {
			owner = false
		}
	})
	return owner
}

func seedWeight(key string, ref reference) uint64 {
	return xxhash.Sum64String(key + "/" + strconv.FormatUint(uint64(ref), 16))
}

func (t *Table) seedValue(now time.Time) []byte {
	seed := &pb.Seed{Addresses: []string{t.self.identity.address}, Written: now.UnixMilli()}
	for range seedAddresses - 1 {
		if r, ok := t.randomLive(); ok {
			seed.Addresses = append(seed.Addresses, r.identity.address)
		}
	}
	data, err := proto.Marshal(seed)
	if err != nil {
		t.counters.EncodeErrors++
	}
	return data
}

// Knows reports whether the table holds a live member at the address.
func (t *Table) Knows(address string) bool {
	_, ok := t.members.atAddress(address)
	return ok
}

// DecodeSeed returns the addresses in the value of a seed object.
func DecodeSeed(value []byte) ([]string, error) {
	if len(value) > maxSeedBytes {
		return nil, errors.Wrapf(ErrTooLarge, "seed object of %d bytes, at most %d", len(value), maxSeedBytes)
	}
	seed := &pb.Seed{}
	if err := proto.Unmarshal(value, seed); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "seed object: %v", err)
	}
	return seed.Addresses, nil
}
