package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/gypsumford/gypsumford/admission"
	"github.com/gypsumford/gypsumford/agent/bus"
	"github.com/gypsumford/gypsumford/agent/link"
	"github.com/gypsumford/gypsumford/agent/metrics"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/internal/periodic"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/objects"
	"github.com/gypsumford/gypsumford/rollout"
	"github.com/gypsumford/gypsumford/routing"
	"github.com/gypsumford/gypsumford/timeline"
)

const (
	pullWorkers = 8    // goroutines of the pool that pulls configurations from peers
	pullQueue   = 1024 // jobs that wait for one of them
	// instanceIDLength is the length of an instance id in base32 characters,
	// enough that no two processes share one.
	instanceIDLength       = 20
	headerTimeout          = 5 * time.Second // for reading a request's header
	controlTimeout         = 5 * time.Second // for a twirp request to another node
	seedInterval           = 5 * time.Second // time between rounds of seed refresh, table exchange and rejoin
	leaseInterval          = 100 * time.Millisecond
	rolloutInterval        = 100 * time.Millisecond
	admissionWatchInterval = 1 * time.Second
)

// Agent is the daemon of one node.
type Agent struct {
	settings    *Settings
	log         logr.Logger
	now         func() time.Time
	started     time.Time
	self        fleet.Instance
	callSocket  net.Listener
	peerSocket  net.Listener
	controlHTTP *http.Client
	metrics     *metrics.Set
	bus         *bus.Bus
	workers     *pool

	config         *currentConfig
	routes         *routeTable
	view           *fleetView
	ring           *ringTable
	target         *target
	parents        *parentTable
	delivery       *delivery
	quarantines    *quarantines
	dispatcher     *dispatcher
	entry          *entry
	members        *members
	configurations *configurations
	seeds          *seeds

	joined       atomic.Bool
	stopping     atomic.Bool  // a graceful stop has begun
	fleetChanged atomic.Bool  // the rollout doesn't have the current live members yet
	inFlight     atomic.Int64 // calls that the listeners serve
	bodies       byteBudget   // request bodies of those calls
}

// New opens the listeners and builds a node that uses the given store of the
// platform. Run starts it.
func New(s *Settings, store objects.Store, log logr.Logger) (*Agent, error) {
	a := &Agent{
		settings: s, log: log, now: time.Now, started: time.Now(),
		metrics: metrics.NewSet(), bus: bus.New(), workers: newPool(pullWorkers, pullQueue),
		config: &currentConfig{}, parents: newParentTable(),
	}
	socket, err := a.listen()
	if err != nil {
		return nil, err
	}
	id := fleet.InstanceID(strings.ToLower(rand.Text()[:instanceIDLength]))
	a.self = s.instance(id, a.peerSocket.Addr().String())
	control := link.NewTransport()
	control.MaxBodyBytes = maxControlBytes
	a.controlHTTP = &http.Client{Transport: control, Timeout: controlTimeout}
	a.buildTables()
	a.buildControl(socket, store)
	a.buildCallPath()
	a.addGauges()
	a.fleetChanged.Store(true)
	return a, nil
}

// listen opens the listeners.
func (a *Agent) listen() (net.PacketConn, error) {
	var err error
	if a.callSocket, err = net.Listen("tcp", *a.settings.CallListen); err != nil {
		return nil, errors.Wrap(err, "-call-listen")
	}
	var socket net.PacketConn
	if a.peerSocket, socket, err = listenBoth(*a.settings.PeerListen); err != nil {
		return nil, errors.Wrap(err, "-peer-listen")
	}
	return socket, nil
}

// maxPortTries bounds the tries to find a port when the system chooses it: a port
// that is free for TCP may be in use for UDP.
const maxPortTries = 16

// listenBoth listens for TCP and for UDP on the same port.
func listenBoth(address string) (net.Listener, net.PacketConn, error) {
	for try := 1; ; try++ {
		stream, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, err
		}
		packets, err := net.ListenPacket("udp", stream.Addr().String())
		if err == nil {
			return stream, packets, nil
		}
		_ = stream.Close() // nothing was accepted
		chosen := stream.Addr().(*net.TCPAddr).Port
		if _, port, split := net.SplitHostPort(address); split != nil || port == strconv.Itoa(chosen) || try == maxPortTries {
			return nil, nil, err
		}
	}
}

func (a *Agent) buildTables() {
	a.routes = &routeTable{table: routing.NewTable(routing.Config{}, a.self.FailureDomain, a.self.Region, randomSeed())}
	a.ring = &ringTable{ring: timeline.NewRing(a.self.ID, *a.settings.TimelineSize), now: a.now}
	a.target = &target{now: a.now, nodeReady: a.ready, apply: a.applyTarget, stateChanged: a.announceTarget}
}

func (a *Agent) buildControl(socket net.PacketConn, store objects.Store) {
	platformCalls := &platformCalls{
		client: store, metrics: a.metrics, announce: a.announce,
	}
	a.members = &members{
		now: a.now, socket: socket, http: a.controlHTTP, metrics: a.metrics, ring: a.ring,
		announce: a.announce, changed: a.membersChanged, started: a.started,
	}
	a.view = &fleetView{
		read: a.members.instances,
		use: func(service string, list []fleet.Instance) {
			a.routes.setInstances(a.now(), service, list)
		},
	}
	a.members.mu.table = membership.NewTable(membership.Config{}, a.self, a.now(), randomSeed())
	a.configurations = &configurations{
		now: a.now, platform: platformCalls, http: a.controlHTTP, workers: a.workers,
		metrics: a.metrics, announce: a.announce, current: a.config, accepted: a.configAccepted,
	}
	a.configurations.mu.table = rollout.NewTable(rollout.Config{}, a.self.ID, a.self.FailureDomain, a.now(), randomSeed())
	a.seeds = &seeds{
		now: a.now, self: a.self, static: *a.settings.Seeds, platform: platformCalls, members: a.members,
	}
	store.OnChange(func(c epoch.Change) {
		platformCalls.epochChanged(c)
		if c.BeginsHistory() {
			a.configurations.epochChanged(c.To)
			a.seeds.forgotten()
			go a.refreshSeeds(context.Background())
		}
	})
	a.metrics.Gauge("platform_epoch", func() int64 { return int64(store.Epoch()) })
}

func (a *Agent) buildCallPath() {
	calls := link.New(link.NewTransport(), a.now)
	calls.OnBroken = func(request call.RequestID, from string, reason error) {
		a.log.Info("answer broken", "request", request, "from", from, "error", reason.Error())
	}
	levels := &levelTable{levels: admission.NewLevels()}
	attempts := newAttemptTable()
	a.quarantines = newQuarantines(a)
	a.delivery = newDelivery(a, calls)
	a.delivery.quarantines = a.quarantines
	a.dispatcher = &dispatcher{
		self: a.self.ID, now: a.now, config: a.config, routes: a.routes, levels: levels,
		quarantines: a.quarantines,
		attempts:    attempts, link: calls, local: a.delivery, ring: a.ring, metrics: a.metrics,
		unreachable: a.members.unreachable,
	}
	a.entry = &entry{
		now: a.now, config: a.config, ready: a.ready, stopping: a.stopping.Load, fresh: a.members.fresh,
		parents: a.parents, levels: levels, attempts: attempts, dispatcher: a.dispatcher,
		ring: a.ring, metrics: a.metrics,
	}
}

func (a *Agent) addGauges() {
	a.metrics.Gauge("members", func() int64 { return int64(a.members.len()) })
	a.metrics.Gauge("config_version", func() int64 { return int64(a.config.version()) })
	a.metrics.Gauge("calls_suspect", func() int64 { suspects, _ := a.quarantines.count(); return int64(suspects) })
	a.metrics.Gauge("calls_quarantined", func() int64 { _, quarantined := a.quarantines.count(); return int64(quarantined) })
	a.metrics.Gauge("calls_in_flight", a.inFlight.Load)
	a.metrics.Gauge("target_running", func() int64 { return int64(a.delivery.stats().Running) })
	a.metrics.Gauge("target_queued", func() int64 { return int64(a.delivery.stats().Queued) })
	a.metrics.Gauge("target_limit", func() int64 { return int64(a.delivery.stats().Limit) })
}

// ready reports whether the node has joined and has a configuration in force.
func (a *Agent) ready() bool { return a.joined.Load() && a.configurations.ready() }

// serving reports whether the node admits new requests of callers.
func (a *Agent) serving() bool { return a.ready() && a.members.fresh() && !a.stopping.Load() }

func (a *Agent) callAddress() string { return a.callSocket.Addr().String() }

// randomSeed returns a seed for the random choices of one table.
func randomSeed() uint64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // never fails, see crypto/rand
	return binary.LittleEndian.Uint64(seed[:])
}

// slotsOf returns the slots in the service's contract, 0 if the service is unknown.
func (a *Agent) slotsOf(service string) int {
	if config := a.config.get(); config != nil {
		if index := config.services[service]; index != nil {
			return index.service.Contract.Slots
		}
	}
	return 0
}

// applyTarget configures the queue for the local target's state and the inventory
// in force, and publishes the state to the fleet.
func (a *Agent) applyTarget(service string, state fleet.State) {
	a.delivery.setQueueConfig(a.queueConfig(service))
	a.delivery.setDraining(state == fleet.Draining)
	a.members.setTarget(service, a.slotsOf(service), state)
	a.membersChanged([]string{service}) // the table reports only changes of other members
}

func (a *Agent) announceTarget(service string, state fleet.State) {
	a.announce(bus.Announcement{Topic: bus.TopicTarget, What: "target-state", Service: service, Detail: state.String()})
}

// queueConfig returns the queue's configuration according to the inventory in force.
func (a *Agent) queueConfig(service string) admission.Config {
	config := admission.DefaultConfig(a.slotsOf(service))
	if current := a.config.get(); current != nil {
		for _, c := range current.inventory.Callers {
			config.Callers = append(config.Callers, admission.CallerShare{Name: c.Name, Share: c.Share})
		}
	}
	return config
}

// membersChanged passes new lists of the services' instances to the call path.
func (a *Agent) membersChanged(services []string) {
	a.view.refresh(services)
	a.fleetChanged.Store(true)
}

// updateRollout passes the live members to the rollout if they have changed.
func (a *Agent) updateRollout() {
	if !a.fleetChanged.Swap(false) {
		return
	}
	domain, fleetSize := a.members.live()
	a.configurations.setMembers(domain, fleetSize)
}

func isLive(state fleet.State) bool { return state != fleet.Dead && state != fleet.Left }

// peers returns the live instances except this one.
func (a *Agent) peers() []fleet.Instance {
	var peers []fleet.Instance
	for _, m := range a.members.all() {
		if isLive(m.State) && m.ID != a.self.ID {
			peers = append(peers, m)
		}
	}
	return peers
}

// configAccepted applies a configuration that has come into force to the other
// tables.
func (a *Agent) configAccepted(config *configuration) {
	a.members.setConfigVersion(config.version)
	for name, index := range config.services {
		contract := index.service.Contract
		a.routes.setService(name, routing.ServiceConfig{ColdStart: contract.ColdStart, Slots: contract.Slots})
	}
	a.target.reapply()
}

// Run serves until the context ends, then stops gracefully.
func (a *Agent) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if err := a.subscribe(background); err != nil {
		return err
	}
	callServer := newServer(a.callRouter())
	peerServer := newServer(a.peerRouter())
	failed := make(chan error, 2)
	go func() { failed <- callServer.Serve(a.callSocket) }()
	go func() { failed <- peerServer.Serve(a.peerSocket) }()
	a.startControl(background)
	a.log.Info("node started", "node", a.self.ID, "call", a.callAddress(), "peer", a.self.PeerAddress)
	a.ring.record(timeline.Event{Kind: timeline.NodeStarted})
	select {
	case <-ctx.Done():
	case err := <-failed:
		return errors.Wrap(err, "listener")
	}
	a.stopGracefully(callServer, peerServer)
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: resetOnAbort(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: link.ServerIdleTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

// startControl starts the background work, which is all that doesn't serve calls.
func (a *Agent) startControl(ctx context.Context) {
	go a.members.listen()
	go periodic.Every(ctx, membership.TickInterval, a.members.tick)
	go a.delivery.pacer.run(ctx, admission.TickInterval, a.delivery.tick)
	go periodic.Every(ctx, leaseInterval, a.target.expire)
	go periodic.Every(ctx, rolloutInterval, a.rolloutTick)
	go periodic.Every(ctx, admissionWatchInterval, a.watchAdmission())
	go a.configurations.watch(ctx)
	go func() {
		a.seeds.join(ctx)
		a.seeds.refresh(ctx)
		a.quarantines.learn(ctx)
		a.joined.Store(true)
		// A restored store may have listed no other node: the others write their seed objects
		// again soon.
		a.configurations.pullUntilReady(ctx, func() []fleet.Instance {
			a.seeds.rejoin(ctx)
			return a.peers()
		})
	}()
	go periodic.Every(ctx, quarantineInterval, func() { a.quarantines.tick(ctx) })
	go periodic.Every(ctx, seedInterval, func() {
		if a.joined.Load() {
			a.seeds.refresh(ctx)
			a.seeds.exchangeDue(ctx)
			a.seeds.rejoin(ctx)
		}
	})
}

// refreshSeeds writes the seed objects that are due, unless the node hasn't joined yet.
func (a *Agent) refreshSeeds(ctx context.Context) {
	if a.joined.Load() {
		a.seeds.refresh(ctx)
	}
}

// rolloutTick passes the versions that peers reported to the rollout and starts
// pulls.
func (a *Agent) rolloutTick() {
	a.updateRollout()
	a.members.mu.Lock()
	newer := a.members.mu.table.NewerConfigPeers()
	a.members.mu.Unlock()
	a.configurations.recordPeerVersions(newer)
	a.configurations.tick()
}

// stopGracefully waits for calls in flight to complete, for as long as the settings
// allow, and leaves the fleet.
func (a *Agent) stopGracefully(callServer, peerServer *http.Server) {
	a.log.Info("node stopping", "in-flight", a.inFlight.Load())
	a.ring.record(timeline.Event{Kind: timeline.NodeStopping, Detail: "signal"})
	a.stopping.Store(true)
	a.target.drain()
	deadline := a.now().Add(*a.settings.DrainTimeout)
	a.waitIdle(deadline)
	a.members.leave()
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(time.Second))
	defer cancel()
	if err := callServer.Shutdown(ctx); err != nil {
		a.log.Error(err, "calls cut off", "in-flight", a.inFlight.Load())
	}
	_ = peerServer.Shutdown(ctx) // peers see the connections close
	_ = a.members.socket.Close()
	_ = a.bus.Close()
	a.log.Info("node stopped")
}

// quietPeriod is how long no call may be in flight before a node stops. Meanwhile
// its peers receive the message that its target is draining.
const quietPeriod = 500 * time.Millisecond

// waitIdle returns once no call has been in flight for quietPeriod, or at the
// deadline.
func (a *Agent) waitIdle(deadline time.Time) {
	const step = 20 * time.Millisecond
	idle := time.Duration(0)
	for idle < quietPeriod && a.now().Before(deadline) {
		time.Sleep(step)
		idle += step
		if a.inFlight.Load() > 0 || a.delivery.stats().Running > 0 {
			idle = 0
		}
	}
}
