// Package node implements the daemon beside one target. It connects the listeners,
// the links to peers, the store and the tables by which requests are decided.
//
// Package ingress hands a request to the dispatcher of the entry node, which admits
// or refuses it and chooses a target by the tables. The request goes over a link to
// the node beside that target, or directly to the local one. There, delivery waits
// for a slot and sends the request to the target with package egress.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/internal/periodic"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/egress"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/node/store"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
	"github.com/gypsumford/gypsumford/startup"
)

const (
	// pruneInterval is the time between removals of targets that no record names.
	pruneInterval = 1 * time.Minute
	// recordPausePerInstance times the number of instances is how long, on average, a
	// node waits after a change of records until it reads them from the store again,
	// between minRecordPause and maxRecordPause. Pauses are drawn at random from zero
	// to twice that, so that in a large fleet some nodes read each change soon and send it
	// to the others.
	recordPausePerInstance = 100 * time.Millisecond
	minRecordPause         = 250 * time.Millisecond
	// minRecordReadInterval is the least time between reads of the records that
	// are started because a service has no target.
	minRecordReadInterval = 1 * time.Second
	maxRecordPause        = 20 * time.Second
	publishTimeout        = 1 * time.Second
	minPublishBackoff     = 100 * time.Millisecond
	// backoffLimitPerInstance times the number of instances is the longest pause before
	// a failed call to the store is retried, between minBackoffLimit and
	// maxBackoffLimit. While the store is unavailable, the rate of calls from all nodes
	// therefore hardly depends on their number. The first node that reaches the store
	// again sends what it reads to the others.
	backoffLimitPerInstance = 50 * time.Millisecond
	minBackoffLimit         = 1 * time.Second
	maxBackoffLimit         = 4 * time.Second
	// headerTimeout and controlIdleTimeout apply to connections of the platform, the
	// target and operators to the addresses for readiness, heartbeats and metrics.
	headerTimeout       = 5 * time.Second
	controlIdleTimeout  = 5 * time.Minute
	targetCheckInterval = 250 * time.Millisecond
	// peerPullDelay is how long the node waits for a newer version that a peer reported
	// to arrive from its own watch of the store, before it requests the version from
	// the peer.
	peerPullDelay = 300 * time.Millisecond
	// storeReadDelay is how long the node waits for the peer's state before it reads
	// the store.
	storeReadDelay         = 400 * time.Millisecond
	restrictionLogInterval = 1 * time.Second
	// pollSpacing times the number of instances is the time between a node's polls of
	// the configuration, at most maxPollPeriod. Up to that bound, some node polls every
	// pollSpacing on average, however many nodes there are.
	pollSpacing = 400 * time.Millisecond
	// initialPollDelay is the time from a node's start until it polls in turns. The node has
	// just read the configuration, and knows few of the other nodes, whose number sets
	// the period.
	initialPollDelay = 3 * time.Second
	maxPollPeriod    = 60 * time.Second
)

// Dialect reads and writes the header fields that the node exchanges with callers and
// targets.
type Dialect interface {
	ingress.Dialect
	egress.Dialect
}

// Directory is where nodes publish their records.
type Directory interface {
	store.Source[roster.Record]
	// ReadStale is like Read, but may return records that are seconds old, which
	// costs the store less.
	ReadStale(ctx context.Context) ([]store.Change[roster.Record], epoch.Revision, error)
	// Publish writes the node's own record.
	Publish(ctx context.Context, r roster.Record) error
	// PublishIf writes the record of another node if the store's record of that instance
	// is the one of the revision, or if it has none and the revision is zero. Otherwise it
	// returns store.ErrConflict or store.ErrRestored.
	PublishIf(ctx context.Context, r roster.Record, revision epoch.Revision) error
}

// Epochs reports the epoch of the platform's store.
type Epochs interface {
	// Epoch returns the current epoch.
	Epoch() epoch.ID
	// OnChange calls f whenever a response of the store shows something new about it.
	OnChange(f func(epoch.Change))
}

// Platform holds the interfaces between the node and the platform that it runs on.
type Platform struct {
	Dialect        Dialect
	Configurations store.Source[*route.Configuration]
	Directory      Directory
	Epochs         Epochs
	// Heartbeats returns the handler for the target's heartbeats, and Ready the handler
	// for the platform's readiness probes.
	Heartbeats func(n *Node) http.Handler
	Ready      func(ready func() bool) http.Handler
	// LinesOmitted returns the number of log lines that were left out. It is nil if
	// the log leaves none out.
	LinesOmitted func() uint64
}

// Node is the daemon beside one target.
type Node struct {
	settings *Settings
	platform Platform
	now      func() time.Time
	log      decisionLog

	metrics        *metrics
	tables         *tables
	delivery       *delivery
	retries        *retryLedger
	whole          *wholeRequests
	links          *link.Pool
	domains        *domains
	dispatcher     *dispatcher
	quotas         *quotas
	ingress        *ingress.Server
	proofs         *proofs // nil if requests with a key need no proof
	configurations *store.Follower[*route.Configuration]
	records        *store.Follower[roster.Record]

	publish  chan struct{} // signals publishLoop that the record has changed
	confirm  chan struct{} // signals confirmTarget that a target is to be checked
	clearing atomic.Bool   // clearances are going to be published
	pulling  atomic.Bool   // set while the node waits to pull a newer configuration from a peer
	// lastRecordRead is when the node last read the records because a service had no
	// target, in Unix nanoseconds.
	lastRecordRead atomic.Int64
	// recordsMissing is the number of instances of which the store, when it was last read,
	// held no record or an older one than the node knows.
	recordsMissing atomic.Int64
	restore        atomic.Bool  // a restore of the store is going to be handled
	lastRestore    atomic.Int64 // when one was handled last, in Unix nanoseconds
	// lastEpochPoll is when the node last read the store because of an epoch that a peer
	// reported, in Unix nanoseconds.
	lastEpochPoll atomic.Int64
	mu            struct {
		sync.Mutex
		record      roster.Record
		published   roster.Record // the one that was written to the store last
		ownOutdated bool          // the store was seen to hold an older record than that, or none
		// olderLogged are the versions that were last logged as older in the store than in force.
		olderLogged [2]route.Version
	}
	startup struct {
		sync.Mutex
		gate          *startup.Gate
		isOpen        bool
		candidate     *route.Configuration // the newest, until the gate opens
		candidateFrom string
		answered      chan struct{} // signals consult that a peer has answered
	}
}

// New returns a node that isn't running.
func New(s *Settings, p Platform, log logr.Logger) *Node {
	n := &Node{settings: s, platform: p, now: time.Now, log: decisionLog{log}, publish: make(chan struct{}, 1), confirm: make(chan struct{}, 1)}
	n.metrics = newMetrics()
	n.tables = newTables(s, rand.Float64())
	n.delivery = newDelivery(s, p.Dialect, n.now)
	n.delivery.tables, n.delivery.metrics, n.delivery.log = n.tables, n.metrics, n.log
	n.delivery.speed.metrics, n.delivery.speed.log = n.metrics, n.log
	n.retries = newRetryLedger(s, n.tables, n.now)
	n.whole = newWholeRequests(s, n.now)
	n.delivery.retries, n.delivery.whole = n.retries, n.whole
	n.delivery.onTargetChanged, n.delivery.onHeld = n.targetChanged, n.signalConfirm
	n.delivery.onCrash, n.delivery.onCleared = n.targetCrashed, n.requestsCleared
	n.domains = newDomains(s, n.tables, n.log, n.metrics)
	n.links = link.NewPool(n, n.now)
	n.dispatcher = &dispatcher{
		settings: s, now: n.now, tables: n.tables, delivery: n.delivery, links: n.links, log: n.log, metrics: n.metrics,
		whole: n.whole, fair: newFairShares(), domains: n.domains, onNoTarget: n.readRecords,
	}
	n.ingress = ingress.NewServer(p.Dialect, n.dispatcher, s.MemoryBytes, n.now)
	n.ingress.OnUnexpected = n.log.unexpectedError
	n.shareMemory()
	n.mu.record = roster.Record{
		Instance: s.Name, Incarnation: time.Now().UnixMilli(), Address: s.advertised(), Domain: s.Domain,
	}
	n.quotas = newQuotas(n)
	n.dispatcher.quotas = n.quotas
	n.startup.gate, n.startup.answered = startup.NewGate(s.FirstStart), make(chan struct{}, 1)
	if s.Revocation.FailClosed {
		n.proofs = newProofs(n)
		n.links.Proofs, n.dispatcher.proofs = n.proofs, n.proofs
		n.platform.Configurations = &provingSource{n.platform.Configurations, n.proofs}
	}
	n.buildFollowers()
	if n.proofs != nil {
		n.configurations.Watches = n.proofs.watches
	}
	n.addGauges()
	n.addQuotaGauges()
	p.Epochs.OnChange(n.epochChanged)
	return n
}

// backoffLimit returns the longest pause before a failed call to the store is retried.
func (n *Node) backoffLimit() time.Duration {
	return min(max(time.Duration(n.instances())*backoffLimitPerInstance, minBackoffLimit), maxBackoffLimit)
}

func (n *Node) buildFollowers() {
	n.configurations = store.NewFollower(n.platform.Configurations)
	n.configurations.OnChange = n.configurationsReceived
	n.configurations.OnState = func(state []store.Change[*route.Configuration], _ epoch.ID) { n.configurationsReceived(state) }
	n.configurations.RestorePause = func() time.Duration { return n.restorePause(1) }
	n.configurations.MaxBackoff = n.backoffLimit
	n.configurations.OnFailure = func(err error) { n.storeFailed("store: configuration", err) }
	n.configurations.OnRecovery = func() { n.log.dependencyRegained("store: configuration") }
	n.records = store.NewFollower[roster.Record](n.platform.Directory)
	n.records.OnState, n.records.OnChange = n.recordsRead, n.recordsChanged
	n.records.ReadAfterChange = n.platform.Directory.ReadStale
	n.records.MaxBackoff = n.backoffLimit
	n.records.RestorePause = func() time.Duration { return n.restorePause(1 + n.instances()/recordsPerPage) }
	n.records.OnFailure = func(err error) { n.storeFailed("store: instances", err) }
	n.records.OnRecovery = func() { n.log.dependencyRegained("store: instances") }
	n.records.Pause = func() time.Duration {
		mean := min(max(time.Duration(n.instances())*recordPausePerInstance, minRecordPause), maxRecordPause)
		return rand.N(2 * mean)
	}
}

// readRecords makes the node read the records now, at most once per
// minRecordReadInterval: the watch may have missed the record that a request needs.
func (n *Node) readRecords() {
	now, last := n.now().UnixNano(), n.lastRecordRead.Load()
	if time.Duration(now-last) >= minRecordReadInterval && n.lastRecordRead.CompareAndSwap(last, now) {
		n.records.Refresh()
	}
}

func (n *Node) storeFailed(dependency string, err error) {
	n.metrics.storeFailures.Add(dependency, 1)
	n.log.dependencyFailed(dependency, err)
}

func (n *Node) addGauges() {
	n.metrics.gauges["configuration_version"] = func() int64 { return int64(n.Version()) }
	n.metrics.gauges["instances"] = func() int64 { return int64(n.instances()) }
	n.metrics.gauges["store_epoch"] = func() int64 { return int64(n.platform.Epochs.Epoch()) }
	n.metrics.gauges["store_records_to_write"] = func() int64 {
		n.tables.mu.Lock()
		defer n.tables.mu.Unlock()
		return int64(n.tables.mu.republish.Pending())
	}
	n.metrics.gauges["requests_suspect"] = func() int64 { suspects, _ := n.suspects(); return int64(suspects) }
	n.metrics.gauges["requests_quarantined"] = func() int64 { _, quarantined := n.suspects(); return int64(quarantined) }
	n.metrics.gauges["store_records_missing"] = func() int64 { return n.recordsMissing.Load() }
	n.metrics.gauges["requests_in_flight"] = func() int64 { return int64(n.ingress.InFlight()) }
	n.metrics.gauges["target_running"] = func() int64 { load, _, _ := n.delivery.load(); return int64(load.Running) }
	n.metrics.gauges["target_waiting"] = func() int64 { load, _, _ := n.delivery.load(); return int64(load.Waiting) }
	n.metrics.gauges["target_slowdown_percent"] = func() int64 { return n.delivery.speed.slowdown(n.now()) }
	n.metrics.gauges["target_rate_limit_milli"] = func() int64 { return int64(n.delivery.target().RateLimit * 1000) }
	n.metrics.gauges["target_leaving"] = func() int64 {
		if n.delivery.target().Leaving {
			return 1
		}
		return 0
	}
	n.metrics.gauges["target_unconfirmed"] = func() int64 {
		if _, isHeld := n.delivery.held(); isHeld {
			return 1
		}
		return 0
	}
	if n.platform.LinesOmitted != nil {
		n.metrics.gauges["log_lines_omitted"] = func() int64 { return int64(n.platform.LinesOmitted()) }
	}
}

// Run serves until the context ends, then stops gracefully. It returns an error if a
// listener fails.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	n.log.Info("node started", "instance", n.settings.Name, "incarnation", n.mu.record.Incarnation)
	go n.configurations.Run(background)
	go n.records.Run(background)
	go n.publishLoop(background)
	go n.confirmTarget(background)
	go n.consult(background)
	go n.poll(background)
	if n.proofs != nil {
		go n.proofs.run(background)
	}
	go n.quotas.run(background)
	go periodic.Every(background, republishInterval, n.writeForgotten)
	go periodic.Every(background, link.TickInterval, n.links.Tick)
	go periodic.Every(background, loadshed.TickInterval, func() { n.tables.tick(n.now()) })
	go periodic.Every(background, restrictionLogInterval, n.logRestrictions)
	go periodic.Every(background, spilloverLogInterval, func() { n.domains.logChanges(n.now()) })
	go periodic.Every(background, statementLogInterval, n.delivery.logLimited)
	go periodic.Every(background, targetCheckInterval, n.expireTarget)
	go periodic.Every(background, idleCheckInterval, n.delivery.pool.CloseExpired)
	go periodic.Every(background, pruneInterval, n.tables.retainTargets)
	go periodic.Every(background, quarantinePruneInterval, n.pruneQuarantine)
	select {
	case <-ctx.Done():
	case err := <-servers.failed:
		return err
	}
	n.stopGracefully(servers)
	return nil
}

// servers are the node's listeners other than that for callers.
type servers struct {
	control []*http.Server // for readiness, heartbeats and metrics
	peers   net.Listener
	failed  chan error // of any listener, including that for callers
}

// listen opens all listeners and starts to serve them.
func (n *Node) listen() (*servers, error) {
	s := &servers{failed: make(chan error, 4)}
	serve := func(address string, handler http.Handler) (*http.Server, error) {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrapf(err, "listener at %s", address)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: controlIdleTimeout}
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				s.failed <- errors.Wrapf(err, "listener at %s", address)
			}
		}()
		return server, nil
	}
	callers, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "listener at %s", n.settings.CallerAddress)
	}
	go func() {
		if err := n.ingress.Serve(callers); !errors.Is(err, ingress.ErrStopped) {
			s.failed <- err
		}
	}()
	control := map[string]http.Handler{
		n.settings.ReadyAddress:     n.platform.Ready(n.ready),
		n.settings.HeartbeatAddress: n.platform.Heartbeats(n),
	}
	if n.settings.MetricsAddress != "" {
		control[n.settings.MetricsAddress] = n.operatorHandler()
	}
	for address, handler := range control {
		server, err := serve(address, handler)
		if err != nil {
			return nil, err
		}
		s.control = append(s.control, server)
	}
	if s.peers, err = net.Listen("tcp", n.settings.PeerAddress); err != nil {
		return nil, errors.Wrapf(err, "listener at %s", n.settings.PeerAddress)
	}
	go func() {
		if err := n.links.Serve(s.peers); err != nil {
			s.failed <- err
		}
	}()
	return s, nil
}

// ready reports whether callers may send requests to this node.
func (n *Node) ready() bool { return n.tables.inForce.Load() != nil && n.dispatcher.stop.Load() == nil }

// logRestrictions logs the services for which requests are refused.
func (n *Node) logRestrictions() {
	n.tables.mu.Lock()
	restrictions := n.tables.mu.shed.Restrictions(n.now())
	n.tables.mu.Unlock()
	for i := range restrictions {
		n.log.serviceRestricted(&restrictions[i])
	}
	n.whole.logChanges(n.log)
}
