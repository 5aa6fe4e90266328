// Package node is the daemon beside one target: it joins the listeners, the
// links to peers, the store and the tables that decide.
//
// A request goes from ingress to the dispatcher, which asks the tables for a
// target; over a link to the node beside that target, or straight to the own
// one; there delivery waits for a slot and sends it with egress.
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

	"github.com/gypsumford/gypsumford/internal/periodic"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/egress"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/node/store"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

const (
	// forgetInterval paces the removal of what is known of targets that are gone.
	forgetInterval = 1 * time.Minute
	// recordSpacing times the number of instances is how long, on average, a node lets
	// records change before it reads them from the store again, within the bounds
	// below. Pauses are drawn from zero to twice that, so that of many nodes some hear
	// of each change soon; they tell the others.
	recordSpacing  = 100 * time.Millisecond
	minRecordPause = 250 * time.Millisecond
	// seekInterval paces the reads that requests without a target lead to.
	seekInterval   = 1 * time.Second
	maxRecordPause = 20 * time.Second
	publishTimeout = 1 * time.Second
	minPublishWait = 100 * time.Millisecond
	// retrySpacing times the number of instances is the longest pause between two tries
	// to reach the store, within the bounds below: while it is away, all nodes together
	// try about as often however many they are. Whoever finds it back tells the others.
	retrySpacing = 50 * time.Millisecond
	minRetryWait = 1 * time.Second
	maxRetryWait = 4 * time.Second
	// headerTimeout and controlIdleTimeout bound what the platform, the target and
	// operators take at the control addresses.
	headerTimeout      = 5 * time.Second
	controlIdleTimeout = 5 * time.Minute
	ownInterval        = 250 * time.Millisecond
	// versionDelay is how long a newer version that a peer has may take to come
	// from the store, by the own wait there, before the peer is asked for it.
	versionDelay = 300 * time.Millisecond
	// pullDelay is how long the peer may take before the store is read.
	pullDelay      = 400 * time.Millisecond
	reportInterval = 1 * time.Second
	// pollSpacing is the time between two nodes' reads of the configuration.
	pollSpacing = 400 * time.Millisecond
	// pollDelay is how long after its start a node begins to: it has just read the
	// configuration, and knows of few others to take turns with.
	pollDelay     = 3 * time.Second
	maxPollPeriod = 60 * time.Second
)

// Dialect is all that the node needs to know of the callers' and targets' fields.
type Dialect interface {
	ingress.Dialect
	egress.Dialect
}

// Directory is where nodes publish what they state of themselves.
type Directory interface {
	store.Source[roster.Record]
	// ReadCheaply is Read that may return records which are seconds old.
	ReadCheaply(ctx context.Context) ([]store.Change[roster.Record], store.Revision, error)
	Publish(ctx context.Context, r roster.Record) error
}

// Platform is everything that the node needs of its surroundings.
type Platform struct {
	Dialect        Dialect
	Configurations store.Source[*route.Configuration]
	Directory      Directory
	// Heartbeats and Ready make the handlers of the two listeners.
	Heartbeats func(n *Node) http.Handler
	Ready      func(ready func() bool) http.Handler
	// LinesOmitted counts log lines that were left out, nil if none ever are.
	LinesOmitted func() uint64
}

// Node is one node.
type Node struct {
	settings *Settings
	platform Platform
	now      func() time.Time
	log      decisionLog

	metrics    *metrics
	tables     *tables
	delivery   *delivery
	links      *link.Pool
	dispatcher *dispatcher
	ingress    *ingress.Server
	configs    *store.Follower[*route.Configuration]
	records    *store.Follower[roster.Record]

	publish  chan struct{}
	stopping atomic.Bool
	pulling  atomic.Bool
	// recordsSought is when a request without a target made the node read the records,
	// in nanoseconds since the epoch.
	recordsSought atomic.Int64
	mu            struct {
		sync.Mutex
		record roster.Record
	}
}

// New returns a node that isn't running.
func New(s *Settings, p Platform, log logr.Logger) *Node {
	n := &Node{settings: s, platform: p, now: time.Now, log: decisionLog{log}, publish: make(chan struct{}, 1)}
	n.metrics = newMetrics()
	n.tables = newTables(s, rand.Float64())
	n.delivery = newDelivery(s, p.Dialect, n.now)
	n.delivery.tables, n.delivery.metrics, n.delivery.log = n.tables, n.metrics, n.log
	n.links = link.NewPool(n, n.now)
	n.dispatcher = &dispatcher{
		settings: s, now: n.now, tables: n.tables, delivery: n.delivery, links: n.links, log: n.log, metrics: n.metrics,
		noTarget: n.readRecords,
	}
	n.ingress = ingress.NewServer(p.Dialect, n.dispatcher, s.MemoryBytes, n.now)
	n.ingress.Failed = n.log.unexpected
	n.mu.record = roster.Record{
		Instance: s.Name, Incarnation: time.Now().UnixMilli(), Address: s.advertised(), Domain: s.Domain,
	}
	n.buildFollowers()
	n.addGauges()
	return n
}

// retryWait is the longest pause between two tries to reach the store.
func (n *Node) retryWait() time.Duration {
	return min(max(time.Duration(n.instances())*retrySpacing, minRetryWait), maxRetryWait)
}

func (n *Node) buildFollowers() {
	n.configs = store.NewFollower(n.platform.Configurations)
	n.configs.OnState, n.configs.OnChange = n.configurationsHeard, n.configurationsHeard
	n.configs.MaxBackoff = n.retryWait
	n.configs.OnFailure = func(err error) { n.storeFailed("store: configuration", err) }
	n.configs.OnRecovery = func() { n.log.regained("store: configuration") }
	n.records = store.NewFollower[roster.Record](n.platform.Directory)
	n.records.OnState, n.records.OnChange = n.recordsRead, n.recordsChanged
	n.records.ReadAfterChange = n.platform.Directory.ReadCheaply
	n.records.MaxBackoff = n.retryWait
	n.records.OnFailure = func(err error) { n.storeFailed("store: instances", err) }
	n.records.OnRecovery = func() { n.log.regained("store: instances") }
	n.records.Pause = func() time.Duration {
		mean := min(max(time.Duration(n.instances())*recordSpacing, minRecordPause), maxRecordPause)
		return rand.N(2 * mean)
	}
}

// readRecords reads the records now, at most once in seekInterval: the watch may
// have missed the record that a request needs.
func (n *Node) readRecords() {
	now, last := n.now().UnixNano(), n.recordsSought.Load()
	if time.Duration(now-last) >= seekInterval && n.recordsSought.CompareAndSwap(last, now) {
		n.records.Refresh()
	}
}

func (n *Node) storeFailed(dependency string, err error) {
	n.metrics.store.Add(dependency, 1)
	n.log.dependency(dependency, err)
}

func (n *Node) addGauges() {
	n.metrics.gauges["configuration_version"] = func() int64 { return int64(n.Version()) }
	n.metrics.gauges["instances"] = func() int64 { return int64(n.instances()) }
	n.metrics.gauges["requests_in_flight"] = func() int64 { return int64(n.ingress.Active()) }
	n.metrics.gauges["target_running"] = func() int64 { load, _ := n.delivery.fill(); return int64(load.Running) }
	n.metrics.gauges["target_waiting"] = func() int64 { load, _ := n.delivery.fill(); return int64(load.Waiting) }
	if n.platform.LinesOmitted != nil {
		n.metrics.gauges["log_lines_omitted"] = func() int64 { return int64(n.platform.LinesOmitted()) }
	}
}

// Run serves until the context ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	n.log.Info("node started", "instance", n.settings.Name, "incarnation", n.mu.record.Incarnation)
	go n.configs.Run(background)
	go n.records.Run(background)
	go n.publishLoop(background)
	go n.poll(background)
	go periodic.Every(background, link.TickInterval, n.links.Tick)
	go periodic.Every(background, loadshed.TickInterval, func() { n.tables.tick(n.now()) })
	go periodic.Every(background, reportInterval, n.reportHeldBack)
	go periodic.Every(background, ownInterval, n.watchTarget)
	go periodic.Every(background, expireInterval, n.delivery.pool.CloseExpired)
	go periodic.Every(background, forgetInterval, n.tables.forgetTargets)
	select {
	case <-ctx.Done():
	case err := <-servers.failed:
		return err
	}
	n.stopGracefully(servers)
	return nil
}

type servers struct {
	control []*http.Server
	peers   net.Listener
	failed  chan error
}

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
		control[n.settings.MetricsAddress] = n.metrics
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

// ready reports whether callers may send requests here.
func (n *Node) ready() bool { return n.tables.inForce.Load() != nil && !n.stopping.Load() }

// reportHeldBack logs which services hold requests back.
func (n *Node) reportHeldBack() {
	n.tables.mu.Lock()
	states := n.tables.mu.shed.Restrictions(n.now())
	n.tables.mu.Unlock()
	for i := range states {
		n.log.heldBack(&states[i])
	}
}
