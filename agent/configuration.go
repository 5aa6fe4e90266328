package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/agent/bus"
	"github.com/gypsumford/gypsumford/agent/metrics"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/objects"
	"github.com/gypsumford/gypsumford/rollout"
	"github.com/gypsumford/gypsumford/rpc/peer"
)

const (
	// ConfigKey is the platform's object that holds the inventory.
	ConfigKey = "config/inventory"
	// watchWait is how long one watch of the configuration waits.
	watchWait = 30 * time.Second
	// watchGrace is added to watchWait before a watch is given up.
	watchGrace = 5 * time.Second
	// watchRetry is the pause after a failed watch, and between two looks at
	// whether this node is to watch.
	watchRetry = 1 * time.Second
	// startUpPeers is how many peers a starting node asks in one round.
	startUpPeers = 8
	// startUpRetry is the pause between two rounds.
	startUpRetry = 300 * time.Millisecond
	// pullTimeout ends a pull of the configuration from a peer.
	pullTimeout = 3 * time.Second
)

// configurations brings new inventories in force: from the platform if this
// node watches it, from peers otherwise.
type configurations struct {
	now      func() time.Time
	platform *platformCalls
	http     *http.Client
	workers  *pool
	metrics  *metrics.Set
	announce func(bus.Announcement)
	inForce  *inForce
	// accepted is called, without any lock, after a new one came into force.
	accepted func(*configuration)
	wasReady atomic.Bool

	mu struct {
		sync.Mutex
		table *rollout.Table
		seen  uint64 // newest version that the platform gave, also if it was refused
	}
}

// offer takes a document that a peer or the platform gave. It is parsed without
// the lock, as a large one takes many milliseconds.
func (c *configurations) offer(version uint64, document []byte, source string) {
	if version <= c.inForce.version() {
		return
	}
	parsed, finding := inventory.Parse(ConfigKey, document)
	result, swapped := c.swap(version, document, parsed, finding)
	c.metrics.Config.Add(result.String(), 1)
	if result == rollout.Invalid {
		c.announce(bus.Announcement{
			Topic: bus.TopicConfig, What: "config-refused", Subject: source,
			Detail: describe(finding), Value: float64(version),
		})
	}
	if swapped != nil {
		c.announce(bus.Announcement{
			Topic: bus.TopicConfig, What: "config-accepted", Subject: source, Value: float64(version),
		})
		c.accepted(swapped)
	}
}

// swap brings the parsed document in force if the rollout accepts its version;
// the configuration is nil if not.
func (c *configurations) swap(version uint64, document []byte, parsed *inventory.Inventory, finding error) (rollout.OfferResult, *configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.mu.table.Offer(c.now(), version, document, func([]byte) error { return finding })
	if result != rollout.Accepted {
		return result, nil
	}
	swapped := indexConfiguration(version, parsed)
	c.inForce.set(swapped)
	return result, swapped
}

// describe returns the findings of a refused document.
func describe(finding error) string {
	if finding == nil {
		return "too large, or refused before"
	}
	return finding.Error()
}

// watch keeps a watch on the platform's object while this node is one of its
// failure domain's watchers. The first read is made by every node.
func (c *configurations) watch(ctx context.Context) {
	c.readOnce(ctx)
	for ctx.Err() == nil {
		if !c.watches() || !c.watchOnce(ctx) {
			pause(ctx, watchRetry)
		}
	}
}

func (c *configurations) watches() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.table.Watches()
}

func (c *configurations) readOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	object, err := c.platform.get(ctx, ConfigKey)
	c.take(object, err)
}

// watchOnce waits for one change; it returns false if the platform failed.
func (c *configurations) watchOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	object, err := c.platform.watch(ctx, ConfigKey, c.known(), watchWait)
	return c.take(object, err)
}

// known is the version after which the watch waits: also a refused one is not
// read again.
func (c *configurations) known() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.mu.table.Version(), c.mu.seen)
}

// take handles an answer of the platform; it returns false if there was none.
func (c *configurations) take(object objects.Object, err error) bool {
	switch {
	case err == nil:
		c.platformAnswered(object.Version)
		c.offer(object.Version, object.Value, "platform")
		return true
	case errors.Is(err, objects.ErrNotModified):
		return true
	case errors.Is(err, objects.ErrNotFound):
		c.platformAnswered(0)
		return false
	default:
		return false
	}
}

func (c *configurations) platformAnswered(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.seen = max(c.mu.seen, version)
	c.mu.table.PlatformResponded(c.now(), version)
}

// tick starts the pulls that are due.
func (c *configurations) tick() {
	c.mu.Lock()
	pulls := c.mu.table.Tick(c.now())
	c.mu.Unlock()
	for _, pull := range pulls {
		if !c.workers.submit(func() { c.pull(pull) }) {
			c.pullFailed(pull.Peer)
		}
	}
}

func (c *configurations) pull(p rollout.Pull) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	client := peer.NewPeerProtobufClient("http://"+p.Address, c.http)
	reply, err := client.PullConfig(ctx, &peer.PullConfigRequest{Version: c.inForce.version()})
	if err != nil {
		c.pullFailed(p.Peer)
		return
	}
	if len(reply.Document) > 0 {
		c.offer(reply.Version, reply.Document, string(p.Peer))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.table.PeerResponded(c.now(), p.Peer, reply.Version)
}

func (c *configurations) pullFailed(id fleet.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.table.PullFailed(c.now(), id)
}

// heard takes versions that peers told of.
func (c *configurations) heard(peers []membership.ConfigPeer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range peers {
		c.mu.table.RecordPeerVersion(c.now(), p.Instance, p.Address, p.Version)
	}
}

// startUp asks peers for their configuration until the node is ready, as the
// platform may be out when a node starts.
func (c *configurations) startUp(ctx context.Context, peers func() []fleet.Instance) {
	for ctx.Err() == nil && !c.ready() {
		asked := 0
		for _, p := range peers() {
			if asked == startUpPeers || c.ready() {
				break
			}
			c.pull(rollout.Pull{Peer: p.ID, Address: p.PeerAddress})
			asked++
		}
		pause(ctx, startUpRetry)
	}
}

// setMembers tells who is live: in the own failure domain, and in all.
func (c *configurations) setMembers(domain []fleet.InstanceID, fleetSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.table.SetDomainMembers(c.now(), domain)
	c.mu.table.SetFleetSize(fleetSize)
}

// ready reports whether the node may answer callers by what it has in force.
// Once it may, it always may, and no lock is taken.
func (c *configurations) ready() bool {
	if c.wasReady.Load() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ready := c.mu.table.Ready(c.now())
	c.wasReady.Store(ready)
	return ready
}

// newer returns the document in force if its version is above the given one.
func (c *configurations) newer(version uint64) (uint64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.mu.table.Version()
	if own <= version {
		return own, nil
	}
	return own, c.mu.table.Document()
}
