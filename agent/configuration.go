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
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/objects"
	"github.com/gypsumford/gypsumford/rollout"
	"github.com/gypsumford/gypsumford/rpc/peer"
)

const (
	// ConfigKey is the key of the platform's object that holds the inventory.
	ConfigKey = "config/inventory"
	// watchWait is how long one watch of the configuration waits.
	watchWait = 30 * time.Second
	// watchGrace is added to watchWait for the timeout of a watch.
	watchGrace = 5 * time.Second
	// watchRetry is the pause after a failed watch, and between two checks whether
	// this node is a watcher.
	watchRetry = 1 * time.Second
	// startupPulls is how many peers a starting node pulls from in one round.
	startupPulls = 8
	// startupPullRetry is the pause between two rounds of these pulls.
	startupPullRetry = 300 * time.Millisecond
	// pullTimeout bounds a pull of the configuration from a peer.
	pullTimeout = 3 * time.Second
)

// configurations puts new inventories in force. It gets them from the platform if
// this node is a watcher, from peers otherwise.
type configurations struct {
	now      func() time.Time
	platform *platformCalls
	http     *http.Client
	workers  *pool
	metrics  *metrics.Set
	announce func(bus.Announcement)
	current  *currentConfig
	// accepted is called, without any lock, after a new configuration came into force.
	accepted func(*configuration)
	wasReady atomic.Bool

	mu struct {
		sync.Mutex
		table       *rollout.Table
		seen        epoch.Revision     // what the platform returned last, even if it was refused
		cancelWatch context.CancelFunc // nil unless a watch waits
	}
}

// offer parses a document that arrived from a peer or the platform and puts it in
// force if the rollout accepts it. It parses without the lock, because a large
// document takes many milliseconds.
func (c *configurations) offer(version epoch.Version, document []byte, source string) {
	if version <= c.current.version() {
		return
	}
	parsed, finding := inventory.Parse(ConfigKey, document)
	result, swapped := c.swap(version, document, parsed, finding)
	c.metrics.Config.Add(result.String(), 1)
	if result == rollout.Invalid {
		c.announce(bus.Announcement{
			Topic: bus.TopicConfig, What: "config-refused", Subject: source,
			Detail: "version " + version.String() + ": " + describeFinding(finding), Value: float64(version.Number()),
		})
	}
	if swapped != nil {
		c.announce(bus.Announcement{
			Topic: bus.TopicConfig, What: "config-accepted", Subject: source,
			Detail: "version " + version.String(), Value: float64(version.Number()),
		})
		c.accepted(swapped)
	}
}

// swap puts the parsed document in force if the rollout accepts its version. The
// returned configuration is nil if it does not.
func (c *configurations) swap(version epoch.Version, document []byte, parsed *inventory.Inventory, finding error) (rollout.OfferResult, *configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.mu.table.Offer(c.now(), version, document, func([]byte) error { return finding })
	if result != rollout.Accepted {
		return result, nil
	}
	swapped := indexConfiguration(version, parsed)
	c.current.set(swapped)
	return result, swapped
}

// describeFinding returns why a document was refused.
func describeFinding(finding error) string {
	if finding == nil {
		return "too large, or refused before"
	}
	return finding.Error()
}

// watch watches the platform's object while this node is one of the watchers of its
// failure domain. Every node reads the object once at its start.
func (c *configurations) watch(ctx context.Context) {
	c.readOnce(ctx)
	for ctx.Err() == nil {
		if !c.isWatcher() || !c.watchOnce(ctx) {
			pause(ctx, watchRetry)
		}
	}
}

func (c *configurations) isWatcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.table.Watches()
}

func (c *configurations) readOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	object, err := c.platform.get(ctx, ConfigKey)
	c.handleObject(object, err)
}

// watchOnce waits for one change. It returns false if the platform returned an
// error.
func (c *configurations) watchOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	c.mu.Lock()
	seen := c.mu.seen
	c.mu.cancelWatch = cancel
	c.mu.Unlock()
	object, err := c.platform.watch(ctx, ConfigKey, seen, watchWait)
	c.mu.Lock()
	c.mu.cancelWatch = nil
	c.mu.Unlock()
	return c.handleObject(object, err)
}

// epochChanged ends a watch that waits for changes in the history of another epoch. The
// next watch returns the object as it is.
func (c *configurations) epochChanged(current epoch.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.cancelWatch != nil && c.mu.seen.Epoch != current {
		c.mu.cancelWatch()
	}
}

// handleObject handles the result of a read from the platform. It returns false if
// the read failed or the object does not exist.
func (c *configurations) handleObject(object objects.Object, err error) bool {
	switch {
	case err == nil:
		c.recordPlatform(object)
		c.offer(object.Version, object.Value, "platform")
		return true
	case errors.Is(err, objects.ErrNotModified):
		return true
	case errors.Is(err, objects.ErrNotFound):
		c.recordPlatform(objects.Object{})
		return false
	default:
		return false
	}
}

// recordPlatform records what the platform returned, which has no version if there is no
// such object. If that is older than the version in force, the platform has lost it.
func (c *configurations) recordPlatform(object objects.Object) {
	c.mu.Lock()
	c.mu.seen = object.Revision
	inForce := c.mu.table.Version()
	c.mu.table.PlatformResponded(c.now(), object.Version, object.IsFromCopy())
	c.mu.Unlock()
	if object.Version < inForce {
		c.announce(bus.Announcement{
			Topic: bus.TopicConfig, What: "config-lost", Subject: "platform",
			Detail: "the platform holds version " + object.Version.String() + ", version " + inForce.String() + " is in force",
			Value:  float64(object.Version.Number()),
		})
	}
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
	reply, err := client.PullConfig(ctx, &peer.PullConfigRequest{Version: uint64(c.current.version())})
	if err != nil {
		c.pullFailed(p.Peer)
		return
	}
	if len(reply.Document) > 0 {
		c.offer(epoch.Version(reply.Version), reply.Document, string(p.Peer))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.table.PeerResponded(c.now(), p.Peer, epoch.Version(reply.Version))
}

func (c *configurations) pullFailed(id fleet.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.table.PullFailed(c.now(), id)
}

// recordPeerVersions records the versions that peers reported.
func (c *configurations) recordPeerVersions(peers []membership.ConfigPeer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range peers {
		c.mu.table.RecordPeerVersion(c.now(), p.Instance, p.Address, p.Version)
	}
}

// pullUntilReady pulls configurations from peers until the node is ready, because
// the platform may be unavailable when a node starts.
func (c *configurations) pullUntilReady(ctx context.Context, peers func() []fleet.Instance) {
	for ctx.Err() == nil && !c.ready() {
		pulled := 0
		for _, p := range peers() {
			if pulled == startupPulls || c.ready() {
				break
			}
			c.pull(rollout.Pull{Peer: p.ID, Address: p.PeerAddress})
			pulled++
		}
		pause(ctx, startupPullRetry)
	}
}

// setMembers sets the live members of the node's failure domain and the number of
// live members of the fleet.
func (c *configurations) setMembers(domain []fleet.InstanceID, fleetSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.table.SetDomainMembers(c.now(), domain)
	c.mu.table.SetFleetSize(fleetSize)
}

// ready reports whether the node may serve callers with the configuration in force.
// It stays true once it is, and then takes no lock.
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

// newerDocument returns the version in force, and its document if the version is
// above the given one.
func (c *configurations) newerDocument(version epoch.Version) (epoch.Version, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inForce := c.mu.table.Version()
	if inForce <= version {
		return inForce, nil
	}
	return inForce, c.mu.table.Document()
}
