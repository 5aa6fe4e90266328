package link

import (
	"context"
	"time"

	"github.com/gypsumford/gypsumford/node/memory"
)

// A body that is longer than its first part follows its call or reply in frames of their own, with
// other frames between them. So a connection's buffers stay small, and a short call doesn't wait
// for a long one. The receiver takes memory for the whole body when the first frame arrives, and
// refuses the call if there is no room. A call of which a part wasn't written has not run.

const (
	// partsAhead is how many parts of one body may wait to be written.
	partsAhead = 2
	// helloTimeout is how long a long body waits for the peer's Hello, which states whether the peer
	// takes bodies in parts.
	helloTimeout = 1 * time.Second
	// uncountedBytes is what the body of a call or reply may have without being counted. The number
	// of frames that wait on a connection is bounded.
	uncountedBytes = 16 << 10
	// cancelDelay is how long after the deadline of a call its sender's Cancel may still arrive.
	cancelDelay = 2 * time.Second
	// abandonedInterval is the least time between two searches for abandoned bodies.
	abandonedInterval = 250 * time.Millisecond
)

// wirePart is a part of the body of the call or the reply with the frame's ID.
type wirePart struct {
	OfReply bool
	Data    []byte
	Broken  bool // no further part follows, and the body stays incomplete
}

// bodyKey identifies a body that is being received.
type bodyKey struct {
	id      uint64
	ofReply bool
}

// receivedBody is a call or a reply of which parts of the body are missing.
type receivedBody struct {
	call    *Call
	reply   *Reply
	lease   *memory.Lease
	missing int64
	started time.Time
}

// leaseBody takes memory for a body of that size. It returns false if there is no room.
func (c *conn) leaseBody(size int64) (*memory.Lease, bool) {
	if size <= uncountedBytes {
		return nil, true
	}
	lease := c.budget.Lease(size)
	return lease, lease != nil
}

// receiveCall starts a call, or waits for the rest of its body. It runs in the reading goroutine, as
// do the other methods that use c.receiving.
func (c *conn) receiveCall(id uint64, call *Call, rest int64) {
	lease, ok := c.leaseBody(int64(len(call.Body)) + rest)
	switch {
	case rest < 0 || !ok:
		lease.Release()
		c.refuseCall(id)
	case rest == 0:
		c.serve(id, call, lease)
	default:
		c.recordUse()
		c.receiving[bodyKey{id, false}] = &receivedBody{call: call, lease: lease, missing: rest, started: time.Now()}
	}
}

// recordUse begins the time anew after which an unused connection is closed. A call of which parts
// are missing isn't among those that are served.
func (c *conn) recordUse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.idleTicks = 0
}

// refuseCall states that a call has not run, since its body can't be held.
func (c *conn) refuseCall(id uint64) {
	c.send(outgoing{frame: frame{ID: id}, reply: &Reply{Outcome: OutcomeNotRun, Reason: ReasonNoMemory}})
}

// receiveReply ends a call, or waits for the rest of the reply's body.
func (c *conn) receiveReply(id uint64, reply *Reply, rest int64) {
	lease, ok := c.leaseBody(int64(len(reply.Body)) + rest)
	lease.ReleaseWhenUnreachable() // the reply may be dropped in many places
	reply.Lease = lease
	switch {
	case rest < 0 || !ok:
		lease.Release()
		reply.Outcome, reply.Reason, reply.Body = OutcomeUnknown, ReasonNoMemory, nil
		c.finish(id, reply)
	case rest == 0:
		c.finish(id, reply)
	default:
		c.receiving[bodyKey{id, true}] = &receivedBody{reply: reply, lease: lease, missing: rest, started: time.Now()}
	}
}

// receivePart adds a part to a body. Parts of a body that was refused are dropped.
func (c *conn) receivePart(id uint64, part *wirePart) {
	key := bodyKey{id, part.OfReply}
	body := c.receiving[key]
	if body == nil {
		return
	}
	c.recordUse()
	body.missing -= int64(len(part.Data))
	if part.Broken || body.missing < 0 { // more bytes than were stated are not a whole body either
		delete(c.receiving, key)
		body.lease.Release()
		if body.reply != nil {
			c.finish(id, &Reply{Outcome: OutcomeUnknown, Reason: ReasonBroken, Arrived: true})
		} else {
			c.refuseCall(id)
		}
		return
	}
	if body.call != nil {
		body.call.Rest = append(body.call.Rest, part.Data)
	} else {
		body.reply.Rest = append(body.reply.Rest, part.Data)
	}
	if body.missing > 0 {
		return
	}
	delete(c.receiving, key)
	if body.reply != nil {
		c.finish(id, body.reply)
		return
	}
	body.call.RemainingTime -= time.Since(body.started)
	c.serve(id, body.call, body.lease)
}

// dropBody gives up a call of which a part is missing. It reports whether there was one.
func (c *conn) dropBody(id uint64) bool {
	key := bodyKey{id, false}
	body := c.receiving[key]
	if body == nil {
		return false
	}
	body.lease.Release()
	delete(c.receiving, key)
	return true
}

// dropAbandoned gives up bodies of which no part will follow: calls whose deadline has passed, and
// replies that nobody waits for. The sender's Cancel or Broken is lost if its queue is full.
func (c *conn) dropAbandoned(now time.Time) {
	for key, body := range c.receiving {
		if body.call != nil && now.Sub(body.started) > body.call.RemainingTime+cancelDelay || body.reply != nil && !c.isPending(key.id) {
			body.lease.Release()
			delete(c.receiving, key)
		}
	}
}

func (c *conn) isPending(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.pending[id] != nil
}

// dropBodies gives up all bodies of which parts are missing.
func (c *conn) dropBodies() {
	for _, body := range c.receiving {
		body.lease.Release()
	}
	clear(c.receiving)
}

// sendParts sends the parts of a body, each after earlier ones have been written. pending is the
// call, nil for a reply. It returns false if it ended before the last part was queued: with the
// context, when ended is closed, or with the connection.
func (c *conn) sendParts(ctx context.Context, id uint64, rest [][]byte, pending *pendingCall, ended <-chan struct{}) bool {
	if len(rest) == 0 {
		return true
	}
	written := make(chan struct{}, partsAhead)
	for i, data := range rest {
		if i >= partsAhead {
			select {
			case <-written:
			case <-ended:
				return false
			case <-ctx.Done():
				return false
			case <-c.closed:
				return false
			}
		}
		o := outgoing{frame: frame{ID: id, Part: &wirePart{OfReply: pending == nil, Data: data}}, written: written}
		if i == len(rest)-1 {
			o.pending = pending
		}
		if !c.send(o) {
			return false
		}
	}
	return true
}

// takesParts reports whether the peer takes bodies in parts. It waits for the peer's Hello.
func (c *conn) takesParts(ctx context.Context) bool {
	select {
	case <-c.greeted:
		return c.peerTakesParts.Load()
	default:
	}
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	select {
	case <-c.greeted:
	case <-timer.C:
	case <-ctx.Done():
	case <-c.closed:
	}
	return c.peerTakesParts.Load()
}

// receiveGreeting records what the peer's first Hello states about the peer's build.
func (c *conn) receiveGreeting(h *Hello) {
	select {
	case <-c.greeted:
	default:
		c.peerTakesParts.Store(h.TakesParts)
		close(c.greeted)
	}
}

// joinBody returns the body in one piece, for a peer that doesn't take parts, and a lease of the
// memory of this piece and of its copy in the encoder. It returns false if there is no room.
func (c *conn) joinBody(first []byte, rest [][]byte) (body []byte, lease *memory.Lease, ok bool) {
	lease, ok = c.leaseBody(2 * int64(memory.Size(first, rest)))
	if !ok {
		return nil, nil, false
	}
	return memory.Join(first, rest), lease, true
}

// sendReply sends a reply with all parts of its body. Its memory is given back once it is written, or
// once its last part is queued. If the connection ends before, the garbage collector gives it back.
func (c *conn) sendReply(ctx context.Context, id uint64, reply *Reply) {
	if len(reply.Rest) == 0 {
		if !c.send(outgoing{frame: frame{ID: id}, reply: reply, lease: reply.Lease}) {
			reply.Lease.Release()
		}
		return
	}
	defer reply.Lease.Release()
	if !c.takesParts(ctx) {
		body, lease, ok := c.joinBody(reply.Body, reply.Rest)
		defer lease.Release()
		if !ok {
			reply.Outcome, reply.Reason = OutcomeUnknown, ReasonNoMemory
		}
		reply.Body, reply.Rest = body, nil
	}
	if c.send(outgoing{frame: frame{ID: id}, reply: reply}) && !c.sendParts(ctx, id, reply.Rest, nil, nil) {
		c.send(outgoing{frame: frame{ID: id, Part: &wirePart{OfReply: true, Broken: true}}})
	}
}
