package link

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/node/memory"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

const (
	writeQueueFrames = 2048     // frames that may wait to be written
	bufferBytes      = 16 << 10 // size of the read buffer, and of the write buffer
	maxSilentTicks   = 7        // ticks without a frame from the peer until the connection is closed
	probeTicks       = 2        // ticks without a frame from the peer until it is probed
	// idleProbeTicks is how many ticks after its last call an idle connection is
	// still probed, so that the next call isn't sent on a dead connection.
	idleProbeTicks = 20
)

var (
	// ErrNotSent means that no byte of the call was written to the connection.
	ErrNotSent = errors.New("call not sent")
	// ErrLost means that the connection ended after the call was written: the call
	// may have run.
	ErrLost = errors.New("connection lost")
)

// Node is the part of the local node that the connections use.
type Node interface {
	// Serve runs a call from a peer.
	Serve(ctx context.Context, c *Call) *Reply
	// Version returns the version of the configuration in force.
	Version() route.Version
	// ReceiveVersion is called with the configuration version that a peer reports.
	// pull asks that peer for its state.
	ReceiveVersion(v route.Version, pull func())
	// Record returns the record that the node publishes of itself.
	Record() roster.Record
	// StoreEpoch returns the epoch of the platform's store, and ReceiveStoreEpoch is called
	// with the one that a peer knows.
	StoreEpoch() epoch.ID
	ReceiveStoreEpoch(reported epoch.ID)
	// ReceiveRecord is called with a record that a peer sends: its own, one that it
	// passes on, or what it knows of this node.
	ReceiveRecord(r roster.Record)
	// StatedBeside returns the record of the node at the address if its target states
	// something for all nodes. That node may have restarted and not know it any more.
	StatedBeside(address string) (roster.Record, bool)
	// State returns the reply to a peer's pull. unconfigured is set if the peer has
	// no configuration yet.
	State(unconfigured bool) *State
	// ReceiveState is called with a peer's reply to a pull.
	ReceiveState(s *State)
	// LogUnexpected is called with an internal error, such as a panic, that ended a
	// call or a connection.
	LogUnexpected(where string, err error)
}

// outgoing is a frame that waits to be written. A call or a reply is encoded only
// then, since symbols are defined in the order of writing.
type outgoing struct {
	frame frame
	call  *Call
	reply *Reply
	// pending is set with call, and with the last part of its body. Once that is written, the call
	// may run.
	pending *pendingCall
	lease   *memory.Lease   // of the memory of the reply, released when it was written; may be nil
	written chan<- struct{} // receives when the frame was written; nil if nobody waits
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	done    chan struct{}
	written atomic.Bool   // part of the call may have reached the peer
	sentAt  time.Duration // of the boot clock, before it was written; set before written
	reply   *Reply
	err     error
}

// conn is a connection that this node or the peer opened.
type conn struct {
	node        Node
	proofs      Proofs // nil if none are exchanged
	questions   questions
	socket      net.Conn
	queue       chan outgoing
	closed      chan struct{}
	closeOnce   sync.Once
	received    atomic.Bool   // a frame was received since the last tick
	peerVersion atomic.Uint64 // configuration version that the peer reported last
	accepted    bool          // the peer opened the connection
	// toldStatements is set once the peer was told what is stated of it; used by the goroutine in
	// read only.
	toldStatements bool
	budget         *memory.Budget
	receiving      map[bodyKey]*receivedBody // used by the reading goroutine only
	greeted        chan struct{}             // closed by the peer's first Hello
	// peerTakesParts is set if the peer takes long bodies in parts, as older builds don't.
	peerTakesParts atomic.Bool

	mu struct {
		sync.Mutex
		pending     map[uint64]*pendingCall       // calls to the peer, by ID
		serving     map[uint64]context.CancelFunc // calls from the peer, by the ID that the peer chose
		pulls       []chan struct{}               // each is closed when the peer's state has been received
		nextID      uint64
		ended       bool
		silentTicks int // ticks without a frame from the peer
		idleTicks   int // ticks without a call
	}
}

func newConn(node Node, proofs Proofs, socket net.Conn, budget *memory.Budget) *conn {
	c := &conn{
		node: node, proofs: proofs, socket: socket, queue: make(chan outgoing, writeQueueFrames), closed: make(chan struct{}),
		budget: budget, receiving: map[bodyKey]*receivedBody{}, greeted: make(chan struct{}),
	}
	c.mu.pending = map[uint64]*pendingCall{}
	c.mu.serving = map[uint64]context.CancelFunc{}
	return c
}

// run serves the connection until it ends.
func (c *conn) run() {
	go c.write()
	c.read()
	c.close()
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.socket.Close() // nothing can be done about a failure
		c.mu.Lock()
		c.mu.ended = true
		pending, serving := c.mu.pending, c.mu.serving
		c.mu.pending, c.mu.serving = nil, nil
		c.mu.Unlock()
		for _, p := range pending {
			p.err = ErrNotSent
			if p.written.Load() {
				p.err = ErrLost
			}
			close(p.done)
		}
		for _, cancel := range serving {
			cancel()
		}
	})
}

// send queues a frame without blocking. It returns false if the connection is closed or
// the queue is full.
func (c *conn) send(o outgoing) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.queue <- o:
		return true
	default:
		return false // the peer doesn't read; the call fails at once instead of waiting
	}
}

func (c *conn) write() {
	buffer := bufio.NewWriterSize(c.socket, bufferBytes)
	encoder := gob.NewEncoder(buffer)
	symbols := newSymbolEncoder()
	for {
		select {
		case <-c.closed:
			return
		case o := <-c.queue:
			if err := c.writeBatch(encoder, symbols, buffer, o); err != nil {
				c.close()
				return
			}
		}
	}
}

// writeBatch writes the frame and all frames queued behind it with one flush.
func (c *conn) writeBatch(encoder *gob.Encoder, symbols *symbolEncoder, buffer *bufio.Writer, o outgoing) error {
	for {
		c.stampFrame(&o)
		switch {
		case o.call != nil:
			o.frame.Call = symbols.call(o.call)
		case o.reply != nil:
			o.frame.Reply = symbols.reply(o.reply)
		}
		if o.pending != nil && (o.call == nil || len(o.call.Rest) == 0) {
			o.pending.written.Store(true)
		}
		o.frame.Symbols = symbols.takeDefined()
		o.frame.Version = c.node.Version()
		if err := encoder.Encode(&o.frame); err != nil {
			return err
		}
		o.lease.Release()
		if o.written != nil {
			o.written <- struct{}{} // has room, as it holds as many as may wait
		}
		select {
		case o = <-c.queue:
		default:
			return buffer.Flush()
		}
	}
}

// read receives frames until the connection ends. A frame that can't be decoded or
// handled ends it.
func (c *conn) read() {
	defer c.recoverPanic("connection with a peer")
	defer c.dropBodies()
	var symbols symbolDecoder
	var searchedAt time.Time // for abandoned bodies
	reader := newFrameReader(c.socket)
	decoder := gob.NewDecoder(reader)
	for {
		var f frame
		reader.startFrame()
		if err := decoder.Decode(&f); err != nil {
			if errors.Is(err, errFrameTooLong) {
				c.node.LogUnexpected("connection with a peer", err)
			}
			return
		}
		c.received.Store(true)
		if !symbols.define(f.Symbols) {
			return
		}
		c.handle(&f, &symbols)
		if len(c.receiving) == 0 {
			continue
		}
		if now := time.Now(); now.Sub(searchedAt) >= abandonedInterval {
			searchedAt = now
			c.dropAbandoned(now)
		}
	}
}

func (c *conn) handle(f *frame, symbols *symbolDecoder) {
	if v := uint64(f.Version); c.peerVersion.Swap(v) != v || f.Version > c.node.Version() {
		c.node.ReceiveVersion(f.Version, func() { c.send(outgoing{frame: frame{Pull: true}}) })
	}
	switch {
	case f.Call != nil:
		if call := symbols.call(f.Call); call != nil {
			c.receiveCall(f.ID, call, f.Call.Rest)
		}
	case f.Reply != nil:
		c.receiveReplyProof(f)
		c.receiveReply(f.ID, symbols.reply(f.Reply), f.Reply.Rest)
	case f.Part != nil:
		c.receivePart(f.ID, f.Part)
	case f.Cancel:
		if !c.dropBody(f.ID) {
			c.cancel(f.ID)
		}
	case f.Ping:
		c.send(outgoing{frame: frame{ID: f.ID, Pong: true}})
	case f.Pong:
		c.receiveProof(f)
	case f.Hello != nil:
		c.receiveGreeting(f.Hello)
		c.node.ReceiveStoreEpoch(f.Hello.StoreEpoch)
		c.node.ReceiveRecord(f.Hello.Record)
		if c.accepted && !c.toldStatements {
			c.toldStatements = true // the first record is the peer's own
			c.tellStatements(f.Hello.Record.Address)
		}
	case f.Pull:
		c.send(outgoing{frame: frame{ID: f.ID, State: c.node.State(f.Version == 0)}})
	case f.State != nil:
		c.node.ReceiveState(f.State)
		c.receiveProof(f)
		c.finishPulls()
	case f.Quota != nil:
		c.receiveQuota(f.Quota)
	}
}

// tellStatements tells the peer at the address what its target has stated to this node, as the
// peer may have restarted since.
func (c *conn) tellStatements(address string) {
	if stated, ok := c.node.StatedBeside(address); ok {
		c.send(outgoing{frame: frame{Hello: &Hello{Record: stated, StoreEpoch: c.node.StoreEpoch()}}})
	}
}

// pull asks the peer for its state and waits until the node has received it.
func (c *conn) pull(ctx context.Context) error {
	done := make(chan struct{})
	c.mu.Lock()
	c.mu.pulls = append(c.mu.pulls, done)
	c.mu.Unlock()
	if !c.send(outgoing{frame: frame{Pull: true}}) {
		return ErrNotSent
	}
	select {
	case <-done:
		return nil
	case <-c.closed:
		return ErrLost
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *conn) finishPulls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, done := range c.mu.pulls {
		close(done)
	}
	c.mu.pulls = nil
}

// serve runs a call. The lease is of the memory of its body.
func (c *conn) serve(id uint64, call *Call, lease *memory.Lease) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	if c.mu.ended {
		c.mu.Unlock()
		cancel()
		lease.Release()
		return
	}
	c.mu.serving[id] = cancel
	c.mu.idleTicks = 0
	c.mu.Unlock()
	go func() {
		reply := c.serveSafely(ctx, call)
		lease.Release()
		c.sendReply(ctx, id, reply)
		c.mu.Lock()
		delete(c.mu.serving, id)
		c.mu.Unlock()
		cancel()
	}()
}

// serveSafely runs a call. After a panic the outcome is unknown, as the call may have
// run.
func (c *conn) serveSafely(ctx context.Context, call *Call) (reply *Reply) {
	reply = &Reply{Outcome: OutcomeUnknown, Reason: ReasonBroken, Arrived: true}
	defer c.recoverPanic("call from a peer")
	reply = c.node.Serve(ctx, call)
	return reply
}

// recoverPanic is deferred: it logs a panic, which would otherwise end the process.
func (c *conn) recoverPanic(where string) {
	if v := recover(); v != nil {
		c.node.LogUnexpected(where, errors.Newf("panic: %v\n%s", v, debug.Stack()))
	}
}

func (c *conn) cancel(id uint64) {
	c.mu.Lock()
	cancel := c.mu.serving[id]
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *conn) finish(id uint64, reply *Reply) {
	c.mu.Lock()
	p := c.mu.pending[id]
	delete(c.mu.pending, id)
	c.mu.Unlock()
	if p != nil {
		p.reply = reply
		close(p.done)
	}
}

// do sends a call and waits for its reply, the end of the connection or that of the
// context.
func (c *conn) do(ctx context.Context, call *Call) (*Reply, error) {
	p := &pendingCall{done: make(chan struct{})}
	if len(call.Rest) > 0 && !c.takesParts(ctx) {
		if ctx.Err() != nil {
			return nil, ctx.Err() // the caller left before anything was sent
		}
		body, lease, ok := c.joinBody(call.Body, call.Rest)
		if !ok {
			return &Reply{Outcome: OutcomeNotRun, Reason: ReasonNoMemory}, nil
		}
		defer lease.Release()
		joined := *call
		joined.Body, joined.Rest = body, nil
		call = &joined
	}
	c.mu.Lock()
	if c.mu.ended {
		c.mu.Unlock()
		return nil, ErrNotSent
	}
	c.mu.nextID++
	id := c.mu.nextID
	c.mu.pending[id] = p
	c.mu.idleTicks = 0
	c.mu.Unlock()
	if !c.send(outgoing{frame: frame{ID: id}, call: call, pending: p}) {
		c.forget(id)
		return nil, ErrNotSent
	}
	whole := c.sendParts(ctx, id, call.Rest, p, p.done)
	select {
	case <-p.done:
		return p.reply, p.err
	default:
	}
	if !whole && ctx.Err() == nil && !c.isClosed() {
		c.abandon(id) // the queue is full, and the peer can't run a call without all parts
		return nil, ErrNotSent
	}
	select {
	case <-p.done:
		return p.reply, p.err
	case <-ctx.Done():
	}
	c.abandon(id)
	return nil, ctx.Err()
}

func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// abandon gives up a call that was sent at least in part.
func (c *conn) abandon(id uint64) {
	c.forget(id)
	c.send(outgoing{frame: frame{ID: id, Cancel: true}})
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.mu.pending, id)
}

// tick probes the peer, or closes the connection, if no frame was received for some
// ticks. It reports whether the connection has been unused for so long that it can be
// closed. Ticks are counted, rather than time measured, because a paused process
// receives nothing however healthy the peer is.
func (c *conn) tick() (unused bool) {
	received := c.received.Swap(false)
	c.mu.Lock()
	if received {
		c.mu.silentTicks = 0
	} else {
		c.mu.silentTicks++
	}
	c.mu.idleTicks++
	active := len(c.mu.pending) > 0 || len(c.mu.serving) > 0 || c.mu.idleTicks < idleProbeTicks
	if !active {
		c.mu.silentTicks = 0
	}
	silent, idle := c.mu.silentTicks, c.mu.idleTicks
	c.mu.Unlock()
	switch {
	case silent >= maxSilentTicks:
		c.close()
	case silent >= probeTicks:
		c.send(outgoing{frame: frame{Ping: true}})
	}
	return idle > idleCloseTicks && !active
}
