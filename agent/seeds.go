package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/objects"
)

const (
	// joinRetry is the pause after a failed join.
	joinRetry = 500 * time.Millisecond
	// maxSeedObjects bounds the seed objects that a joining node reads.
	maxSeedObjects = 16
	// maxSeedWrites bounds the writes of one seed object in one refresh.
	maxSeedWrites = 3
)

// seeds finds peers for a joining node and refreshes the platform's seed objects.
type seeds struct {
	now      func() time.Time
	self     fleet.Instance
	static   []string // addresses from the settings
	platform *platformCalls
	members  *members
}

// join tries to exchange tables with peers until one has responded, or until the
// platform has responded and lists none.
func (s *seeds) join(ctx context.Context) {
	for ctx.Err() == nil {
		if s.tryStatic(ctx) {
			return
		}
		if joined, alone := s.tryPlatform(ctx); joined || alone {
			return
		}
		pause(ctx, joinRetry)
	}
}

// rejoin looks for peers again if the node knows no other live member or is isolated.
func (s *seeds) rejoin(ctx context.Context) {
	s.members.mu.Lock()
	alone := s.members.mu.table.NeedsPeers(s.now())
	s.members.mu.Unlock()
	if alone && !s.tryStatic(ctx) {
		_, _ = s.tryPlatform(ctx) // a failure is retried in the next round
	}
}

func (s *seeds) tryStatic(ctx context.Context) bool {
	joined := false
	for _, address := range s.static {
		joined = s.tryAddress(ctx, address) || joined
	}
	return joined
}

func (s *seeds) tryAddress(ctx context.Context, address string) bool {
	return address != s.self.PeerAddress && s.members.exchangeTables(ctx, address) == nil
}

// tryPlatform tries the addresses that the platform lists, those of the node's
// failure domain first. alone is true if the settings have no seeds and the platform
// lists no address except this node's.
func (s *seeds) tryPlatform(ctx context.Context) (joined, alone bool) {
	addresses, err := s.listAddresses(ctx)
	if err != nil {
		return false, false
	}
	alone = len(s.static) == 0
	for _, address := range addresses {
		alone = alone && address == s.self.PeerAddress
		if s.tryAddress(ctx, address) {
			return true, false
		}
	}
	return false, alone
}

// listAddresses reads addresses from the seed objects, starting with those of the
// node's failure domain.
func (s *seeds) listAddresses(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	keys := membership.SeedKeys(s.self.FailureDomain)
	all, err := s.platform.list(ctx, membership.SeedKind)
	if err != nil {
		return nil, err
	}
	keys = append(keys, all...)
	var addresses []string
	read := map[string]bool{}
	for _, key := range keys {
		if read[key] || len(read) == maxSeedObjects {
			continue
		}
		read[key] = true
		found, _, err := s.read(ctx, key)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, found...)
	}
	return addresses, nil
}

// read returns the addresses in a seed object and its revision, zero if it does not
// exist.
func (s *seeds) read(ctx context.Context, key string) ([]string, epoch.Revision, error) {
	object, err := s.platform.get(ctx, key)
	if errors.Is(err, objects.ErrNotFound) {
		return nil, epoch.Revision{}, nil
	}
	if err != nil {
		return nil, epoch.Revision{}, err
	}
	addresses, err := membership.DecodeSeed(object.Value)
	if err != nil {
		s.members.metrics.BadInput.Add("seed", 1)
		return nil, object.Revision, nil // the next refresh replaces it
	}
	return addresses, object.Revision, nil
}

// refresh writes the seed objects that this node owns, and exchanges tables with the
// nodes in them that it didn't know.
func (s *seeds) refresh(ctx context.Context) {
	s.check(ctx)
	s.members.mu.Lock()
	writes := s.members.mu.table.SeedWrites(s.now())
	s.members.mu.Unlock()
	for _, write := range writes {
		s.refreshOne(ctx, write)
	}
}

// check reads the seed objects that this node has written and that are due to be checked.
func (s *seeds) check(ctx context.Context) {
	s.members.mu.Lock()
	keys := s.members.mu.table.SeedChecks(s.now())
	s.members.mu.Unlock()
	for _, key := range keys {
		s.checkOne(ctx, key)
	}
}

func (s *seeds) checkOne(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	addresses, _, err := s.read(ctx, key)
	if err != nil || slices.Contains(addresses, s.self.PeerAddress) {
		return // a failed read is repeated at the next check
	}
	s.members.mu.Lock()
	defer s.members.mu.Unlock()
	s.members.mu.table.SeedForgotten(s.now(), key)
}

// forgotten makes the writes of all seed objects due that the node owns.
func (s *seeds) forgotten() {
	s.members.mu.Lock()
	defer s.members.mu.Unlock()
	for _, key := range membership.SeedKeys(s.self.FailureDomain) {
		s.members.mu.table.SeedForgotten(s.now(), key)
	}
}

// refreshOne writes one seed object. If another node has written it since it was
// read, refreshOne exchanges tables with that node and retries.
func (s *seeds) refreshOne(ctx context.Context, write membership.SeedWrite) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	for range maxSeedWrites {
		addresses, revision, err := s.read(ctx, write.Key)
		if err != nil {
			return // retried at the next refresh
		}
		s.exchangeWithUnknown(ctx, addresses)
		_, err = s.platform.put(ctx, write.Key, write.Value, revision)
		if errors.Is(err, objects.ErrConflict) || errors.Is(err, objects.ErrRestored) {
			continue
		}
		if err != nil {
			return
		}
		s.members.mu.Lock()
		s.members.mu.table.SeedWritten(s.now(), write.Key)
		s.members.mu.Unlock()
		return
	}
}

// exchangeWithUnknown exchanges tables with the nodes at those addresses that are not
// in the table.
func (s *seeds) exchangeWithUnknown(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		if !s.knows(address) {
			_ = s.members.exchangeTables(ctx, address) // the node may have stopped; gossip doesn't need it
		}
	}
}

func (s *seeds) knows(address string) bool {
	s.members.mu.Lock()
	defer s.members.mu.Unlock()
	return s.members.mu.table.Knows(address)
}

// exchangeDue exchanges tables with a peer if the table requests it.
func (s *seeds) exchangeDue(ctx context.Context) {
	s.members.mu.Lock()
	address, due := s.members.mu.table.ExchangePeer()
	s.members.mu.Unlock()
	if due {
		_ = s.members.exchangeTables(ctx, address) // the table requests another exchange if it still needs one
	}
}
