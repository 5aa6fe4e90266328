package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/freshness"
	"github.com/gypsumford/gypsumford/internal/bootclock"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/node/store"
	"github.com/gypsumford/gypsumford/route"
)

const (
	// proofQuestions is the number of connected peers that are asked at the same time.
	proofQuestions = 3
	// proofsUnneededWait is the time between checks while the configuration has no accounts.
	proofsUnneededWait = 1 * time.Second
	// watcherInterval is how long the choice of the nodes that wait for changes is kept.
	watcherInterval = 2 * time.Second
)

// proofs keeps the node's proof that its configuration is recent, and exchanges proofs with
// peers.
type proofs struct {
	node   *Node
	now    func() time.Duration // of the boot clock
	wanted chan struct{}        // signals run that a request lacked a proof

	mu struct {
		sync.Mutex
		tracker *freshness.Tracker
		proven  bool // as it was logged last
		// watcher is whether the node is among those that wait for changes of the
		// configuration, as it was found at watcherAt.
		watcher   bool
		watcherAt time.Duration
	}
}

func newProofs(n *Node) *proofs {
	p := &proofs{node: n, now: bootclock.Now, wanted: make(chan struct{}, 1)}
	p.mu.tracker = freshness.NewTracker(n.settings.Revocation.Bound, n.settings.FirstStart, rand.Uint64())
	n.metrics.gauges["configuration_proof_age_ms"] = p.ageMs
	return p
}

// ageMs returns the age of the proof in milliseconds, -1 without one.
func (p *proofs) ageMs() int64 {
	age, proven := p.Age()
	if !proven {
		return -1
	}
	return age.Milliseconds()
}

// isFresh reports whether requests may be accepted by the configuration of the version. If not,
// the node asks for a proof.
func (p *proofs) isFresh(v route.Version) bool {
	now := p.now()
	p.mu.Lock()
	fresh := p.mu.tracker.Fresh(now, v)
	p.mu.Unlock()
	if !fresh {
		select {
		case p.wanted <- struct{}{}:
		default:
		}
	}
	return fresh
}

// isRecent reports whether the configuration has just come into force.
func (p *proofs) isRecent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mu.tracker.IsRecent(p.now())
}

// inForce records that the configuration of the version has come into force.
func (p *proofs) inForce(v route.Version) {
	p.mu.Lock()
	p.mu.tracker.InForce(p.now(), v)
	p.mu.Unlock()
	p.changed()
}

// changed logs whether the node has a proof, if that has changed, and offers a new one to peers.
func (p *proofs) changed() {
	version := p.node.Version()
	p.mu.Lock()
	now := p.now()
	proven := p.mu.tracker.Fresh(now, version)
	age, _ := p.mu.tracker.Age(now)
	isNews := proven != p.mu.proven
	p.mu.proven = proven
	offer := p.mu.tracker.TakeOffer()
	p.mu.Unlock()
	if isNews {
		p.node.log.proofChanged(proven, age, version)
		p.count(map[bool]string{true: "regained", false: "lost"}[proven])
	}
	if offer && proven {
		p.node.links.Offer()
	}
}

func (p *proofs) count(what string) { p.node.metrics.proofs.Add(what, 1) }

// run asks peers and reads the store as the proof grows old.
func (p *proofs) run(ctx context.Context) {
	for {
		wait := p.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.wanted:
		case <-time.After(wait):
		}
	}
}

// step does what is due now, and returns the time until it is to be called again.
func (p *proofs) step(ctx context.Context) time.Duration {
	if c := p.node.tables.inForce.Load(); c == nil || len(c.Accounts) == 0 {
		return proofsUnneededWait
	}
	p.changed()
	instances := p.node.instances()
	p.mu.Lock()
	action := p.mu.tracker.Next(p.now(), instances, p.node.configurations.IsFailing())
	p.mu.Unlock()
	if action.Ask {
		p.ask(ctx, action.Dial)
	}
	if action.Read {
		p.count("read")
		go p.node.configurations.Poll(ctx)
	}
	return action.Wait
}

// watches reports whether the node is to wait for changes of the configuration at the store:
// only some nodes do, as long as their proofs spread. A young proof shows that what was
// acknowledged before is in force.
func (p *proofs) watches() bool {
	if c := p.node.tables.inForce.Load(); c == nil || len(c.Accounts) == 0 {
		return true
	}
	p.mu.Lock()
	now := p.now()
	needed := p.mu.tracker.NeedsWatch(now)
	watcher, known := p.mu.watcher, p.mu.watcherAt > 0 && now-p.mu.watcherAt < watcherInterval
	p.mu.Unlock()
	if needed || known {
		return needed || watcher
	}
	watcher = p.isWatcher()
	p.mu.Lock()
	p.mu.watcher, p.mu.watcherAt = watcher, now
	p.mu.Unlock()
	return watcher
}

// isWatcher reports whether the node is among those that wait for changes of the configuration.
func (p *proofs) isWatcher() bool {
	var instances []freshness.Instance
	for _, r := range p.node.others() {
		instances = append(instances, freshness.Instance{Name: r.Instance, Domain: r.Domain})
	}
	return freshness.IsWatcher(freshness.Instance{Name: p.node.settings.Name, Domain: p.node.settings.Domain}, instances)
}

// ask asks connected peers for proofs. If there are few, or dial is set, it asks another one, too.
func (p *proofs) ask(ctx context.Context, dial bool) {
	p.count("asked")
	if p.node.links.Ask(proofQuestions) == proofQuestions && !dial {
		return
	}
	others := p.node.others()
	if len(others) == 0 {
		return
	}
	address := others[rand.IntN(len(others))].Address
	go func() {
		ctx, cancel := context.WithTimeout(ctx, link.DialTimeout)
		defer cancel()
		_ = p.node.links.AskAt(ctx, address) // another peer is asked in the next round
	}()
}

// Now returns the time of the boot clock.
func (p *proofs) Now() time.Duration { return p.now() }

// Age returns the age of the node's proof for its configuration, and false without one.
func (p *proofs) Age() (age time.Duration, proven bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mu.tracker.Age(p.now())
}

// Answered receives a peer's answer to what was sent to it at the given time.
func (p *proofs) Answered(asked time.Duration, v route.Version, age time.Duration, proven bool) {
	p.mu.Lock()
	p.mu.tracker.PeerAnswered(p.now(), asked, v, age, proven)
	isNews := !p.mu.proven || p.mu.tracker.HasOffer()
	p.mu.Unlock()
	if isNews && proven {
		p.changed()
	}
}

// Offered reports whether a peer with a proof of that age is to be asked for it.
func (p *proofs) Offered(age time.Duration) (ask bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mu.tracker.IsUseful(p.now(), age)
}

// provingSource reads the configuration and records which reads are proofs.
type provingSource struct {
	store.Source[*route.Configuration]
	proofs *proofs
}

// Read implements store.Source.
func (s *provingSource) Read(ctx context.Context) ([]store.Change[*route.Configuration], epoch.Revision, error) {
	sent := s.proofs.now()
	state, revision, err := s.Source.Read(ctx)
	s.proofs.storeRead(sent, state, revision.Epoch, err)
	return state, revision, err
}

// storeRead records a read of the store that was sent at the given time.
func (p *proofs) storeRead(sent time.Duration, state []store.Change[*route.Configuration], read epoch.ID, err error) {
	version := route.Version(0)
	for i := range state {
		if !state[i].Deleted {
			version = max(version, state[i].Value.Version)
		}
	}
	p.mu.Lock()
	unproven := false
	if err != nil {
		p.mu.tracker.ReadFailed()
	} else {
		unproven = !p.mu.tracker.StoreRead(p.now(), sent, version, read)
	}
	p.mu.Unlock()
	if unproven {
		p.count("read-unproven")
	}
	p.changed()
}
