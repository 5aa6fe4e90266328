package link

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/gypsumford/gypsumford/node/memory"
	"github.com/gypsumford/gypsumford/roster"
)

const (
	// TickInterval is the time between calls of Pool.Tick.
	TickInterval = 250 * time.Millisecond
	// DialTimeout bounds the setup of a connection. It allows for a few round trips
	// between regions.
	DialTimeout = 700 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay between two attempts to connect
	// to an unreachable peer.
	minRedialDelay = 400 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	// redialWindow is how long after a connection was lost the pool reconnects to the
	// peer without a call for it: the peer may have restarted and know no other node.
	redialWindow = 60 * time.Second
	// gossipFanout is how many peers a node sends a newer record to. Each of them
	// passes it on to as many: with 4, it reaches 98 in 100 nodes. The others get it
	// from the store.
	gossipFanout = 4
	// minAcceptPause is the pause after a failed accept, doubled each time up to maxAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 500 * time.Millisecond
	idleCloseTicks = 240 // ticks without a call until a connection is closed, 60 s
	// tcpUserTimeout ends a connection whose sent bytes stay unacknowledged that long.
	tcpUserTimeout = 2 * time.Second
)

// Pool holds the connections to peers, and those that peers opened.
type Pool struct {
	node Node
	now  func() time.Time
	// Proofs is nil if nodes exchange no proofs. It is set before the pool is used.
	Proofs Proofs
	budget *memory.Budget

	mu struct {
		sync.Mutex
		peers   map[string]*peer // by address
		inbound map[*conn]struct{}
	}
}

// peer holds the connection to one address.
type peer struct {
	dialing sync.Mutex // held while a connection is set up
	mu      struct {
		sync.Mutex
		conn        *conn
		redialDelay time.Duration // 0 unless the last attempt to connect failed
		redialAt    time.Time
		lostAt      time.Time // when the connection was found closed
	}
}

// NewPool returns a pool without connections.
func NewPool(node Node, now func() time.Time) *Pool {
	p := &Pool{node: node, now: now, budget: memory.NewBudget(0, 0, now)}
	p.mu.peers = map[string]*peer{}
	p.mu.inbound = map[*conn]struct{}{}
	return p
}

// UseBudget replaces the pool's own memory account. It is called before the first connection.
func (p *Pool) UseBudget(b *memory.Budget) { p.budget = b }

// Do sends the call to the node at the address. The error is ErrNotSent,
// ErrLost or that of the context.
func (p *Pool) Do(ctx context.Context, address string, call *Call) (*Reply, error) {
	c, err := p.peer(address).connect(ctx, p, address)
	if err != nil {
		return nil, err
	}
	return c.do(ctx, call)
}

// peer returns the peer at the address, which it creates if there is none.
func (p *Pool) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	existing := p.mu.peers[address]
	if existing == nil {
		existing = &peer{}
		p.mu.peers[address] = existing
	}
	return existing
}

// connect returns the connection to the peer and opens one if there is none.
func (r *peer) connect(ctx context.Context, p *Pool, address string) (*conn, error) {
	if c, err := r.current(p.now()); c != nil || err != nil {
		return c, err
	}
	r.dialing.Lock()
	defer r.dialing.Unlock()
	if c, err := r.current(p.now()); c != nil || err != nil {
		return c, err
	}
	return r.dial(ctx, p, address)
}

// dial opens a connection. The caller holds dialing.
func (r *peer) dial(ctx context.Context, p *Pool, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, Control: setUserTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			r.mu.redialDelay = min(max(2*r.mu.redialDelay, minRedialDelay), maxRedialDelay)
			r.mu.redialAt = p.now().Add(r.mu.redialDelay)
		}
		return nil, errors.Mark(errors.Wrapf(err, "connect to peer %s", address), ErrNotSent)
	}
	c := newConn(p.node, p.Proofs, socket, p.budget)
	r.mu.conn, r.mu.redialDelay = c, 0
	c.send(outgoing{frame: frame{Hello: p.hello(p.node.Record())}})
	c.tellStatements(address)
	go c.run()
	return c, nil
}

// current returns the open connection, ErrNotSent if the last attempt to connect
// failed, or neither if a connection may be opened. Calls don't dial an unreachable
// peer: only redial does.
func (r *peer) current(now time.Time) (*conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mu.conn != nil {
		select {
		case <-r.mu.conn.closed:
			r.mu.conn = nil
			r.mu.lostAt = now
		default:
			return r.mu.conn, nil
		}
	}
	if r.mu.redialDelay > 0 {
		return nil, ErrNotSent
	}
	return nil, nil
}

// isRedialDue reports whether to connect to the peer now without a call for it.
func (r *peer) isRedialDue(now time.Time) bool {
	c, _ := r.current(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if c != nil || now.Before(r.mu.redialAt) {
		return false
	}
	return r.mu.redialDelay > 0 || !r.mu.lostAt.IsZero() && now.Sub(r.mu.lostAt) < redialWindow
}

// redial tries to connect to the peer.
func (p *Pool) redial(r *peer, address string) {
	if !r.dialing.TryLock() {
		return // another goroutine is dialing
	}
	defer r.dialing.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	_, _ = r.dial(ctx, p, address) // each failure increases the delay
}

// Serve accepts connections from peers until the listener is closed. It waits and tries again after
// any other error, such as a lack of descriptors, which others use and may give back.
func (p *Pool) Serve(listener net.Listener) error {
	pause := minAcceptPause
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			pause = minAcceptPause
			p.accept(socket)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			p.node.LogUnexpected("accept a connection from a peer", err)
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
		}
	}
}

func (p *Pool) accept(socket net.Conn) {
	c := newConn(p.node, p.Proofs, socket, p.budget)
	c.accepted = true
	p.mu.Lock()
	p.mu.inbound[c] = struct{}{}
	p.mu.Unlock()
	c.send(outgoing{frame: frame{Hello: p.hello(p.node.Record())}})
	go func() {
		c.run()
		p.mu.Lock()
		delete(p.mu.inbound, c)
		p.mu.Unlock()
	}()
}

func (p *Pool) hello(r roster.Record) *Hello {
	return &Hello{Record: r, StoreEpoch: p.node.StoreEpoch(), TakesParts: true}
}

// Pull asks the node at the address for its state, and returns when this node has received
// it. The error is ErrNotSent, ErrLost or that of the context.
func (p *Pool) Pull(ctx context.Context, address string) error {
	c, err := p.peer(address).connect(ctx, p, address)
	if err != nil {
		return err
	}
	return c.pull(ctx)
}

// Announce sends the node's record to all connected peers.
func (p *Pool) Announce() {
	hello := p.hello(p.node.Record())
	for _, c := range p.openConns() {
		c.send(outgoing{frame: frame{Hello: hello}})
	}
}

// Gossip sends a record to gossipFanout connected peers, chosen at random.
func (p *Pool) Gossip(r roster.Record) {
	p.sendToSome(gossipFanout, frame{Hello: p.hello(r)})
}

// sendToSome sends the frame to up to n connected peers, chosen at random, and returns to how
// many.
func (p *Pool) sendToSome(n int, f frame) (sent int) {
	conns := p.openConns()
	for i := range min(n, len(conns)) {
		j := i + rand.IntN(len(conns)-i)
		conns[i], conns[j] = conns[j], conns[i]
		if conns[i].send(outgoing{frame: f}) {
			sent++
		}
	}
	return sent
}

// AnnounceVersion sends the configuration version in force, which every frame
// carries, to all connected peers.
func (p *Pool) AnnounceVersion() {
	for _, c := range p.openConns() {
		c.send(outgoing{frame: frame{Pong: true}})
	}
}

// openConns returns the connections of both directions.
func (p *Pool) openConns() []*conn {
	p.mu.Lock()
	peers := make([]*peer, 0, len(p.mu.peers))
	for _, r := range p.mu.peers {
		peers = append(peers, r)
	}
	conns := make([]*conn, 0, len(p.mu.inbound)+len(peers))
	for c := range p.mu.inbound {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, r := range peers {
		r.mu.Lock()
		if r.mu.conn != nil {
			conns = append(conns, r.mu.conn)
		}
		r.mu.Unlock()
	}
	return conns
}

// Tick probes connections, closes those that are dead or unused, and reconnects to
// peers. It is called every TickInterval.
func (p *Pool) Tick() {
	now := p.now()
	p.mu.Lock()
	for address, r := range p.mu.peers {
		if r.isRedialDue(now) {
			go p.redial(r, address)
		}
	}
	p.mu.Unlock()
	for _, c := range p.openConns() {
		if c.tick() {
			c.close()
		}
	}
}

// Remove drops the peer at the address, where no node listens any more.
func (p *Pool) Remove(address string) {
	p.mu.Lock()
	r := p.mu.peers[address]
	delete(p.mu.peers, address)
	p.mu.Unlock()
	if r == nil {
		return
	}
	r.mu.Lock()
	c := r.mu.conn
	r.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	for _, c := range p.openConns() {
		c.close()
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
	})
	return errors.CombineErrors(err, optionErr)
}
