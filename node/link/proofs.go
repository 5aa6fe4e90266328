package link

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumford/gypsumford/route"
)

// Proofs exchanges how recently the configurations of nodes were known to be the newest (package
// freshness). Times are those of the own machine's boot clock.
type Proofs interface {
	// Now returns the time of the boot clock.
	Now() time.Duration
	// Age returns the age of the node's proof for its configuration, and false without one.
	Age() (age time.Duration, proven bool)
	// Answered is called with a peer's answer to a frame that was written at the given time.
	// age is that of the peer's proof for the version; proven is false if it has none.
	Answered(asked time.Duration, v route.Version, age time.Duration, proven bool)
	// Offered is called with the age of a peer's proof in a frame that this node didn't ask
	// for, and that may have been held up. It reports whether to ask the peer.
	Offered(age time.Duration) (ask bool)
}

// maxQuestions bounds the questions of a connection whose answers are awaited. Earlier ones
// are forgotten.
const maxQuestions = 8

// questions holds when the last pings and pulls of a connection were written.
type questions struct {
	mu     sync.Mutex
	lastID uint64
	sentAt [maxQuestions]time.Duration
}

// add records a question that is about to be written, and returns its ID.
func (q *questions) add(now time.Duration) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	q.sentAt[q.lastID%maxQuestions] = now
	return q.lastID
}

// find returns when the question of the ID was written, and false if it isn't one of the last.
func (q *questions) find(id uint64) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if id == 0 || id > q.lastID || q.lastID-id >= maxQuestions {
		return 0, false
	}
	return q.sentAt[id%maxQuestions], true
}

// stampFrame records when a call or a question is written, or adds the age of the node's proof
// to an answer. It is called just before the frame is encoded, and before its version is set:
// the proof holds for newer versions, too.
func (c *conn) stampFrame(o *outgoing) {
	if c.proofs == nil {
		return
	}
	switch {
	case o.call != nil:
		o.pending.sentAt = c.proofs.Now()
	case o.frame.Ping || o.frame.Pull:
		o.frame.ID = c.questions.add(c.proofs.Now())
	case o.reply != nil || o.frame.Pong || o.frame.State != nil:
		if age, proven := c.proofs.Age(); proven {
			o.frame.ProofAge = encodeProofAge(age)
		}
	}
}

// encodeProofAge rounds up.
func encodeProofAge(age time.Duration) uint32 {
	return uint32((max(age, 0)+time.Millisecond-1)/time.Millisecond) + 1
}

// proofAge returns the age of the sender's proof when the frame was written.
func (f *frame) proofAge() (age time.Duration, proven bool) {
	if f.ProofAge == 0 {
		return 0, false
	}
	return time.Duration(f.ProofAge-1) * time.Millisecond, true
}

// receiveProof passes on the proof in the answer to a question, or in a frame that the peer sent
// unasked.
func (c *conn) receiveProof(f *frame) {
	if c.proofs == nil {
		return
	}
	age, proven := f.proofAge()
	if asked, ok := c.questions.find(f.ID); ok {
		c.proofs.Answered(asked, f.Version, age, proven)
	} else if proven && c.proofs.Offered(age) {
		c.send(outgoing{frame: frame{Ping: true}})
	}
}

// receiveReplyProof passes on the proof in the reply to a call.
func (c *conn) receiveReplyProof(f *frame) {
	if c.proofs == nil {
		return
	}
	c.mu.Lock()
	p := c.mu.pending[f.ID]
	c.mu.Unlock()
	if p != nil && p.written.Load() {
		age, proven := f.proofAge()
		c.proofs.Answered(p.sentAt, f.Version, age, proven)
	}
}

// Ask asks up to n connected peers, chosen at random, for their proofs. It returns how many
// were asked.
func (p *Pool) Ask(n int) int {
	return p.sendToSome(n, frame{Ping: true})
}

// Offer tells some connected peers, chosen at random, the age of the node's proof.
func (p *Pool) Offer() { p.sendToSome(gossipFanout, frame{Pong: true}) }

// AskAt asks the node at the address for its proof, and connects to it if necessary.
func (p *Pool) AskAt(ctx context.Context, address string) error {
	c, err := p.peer(address).connect(ctx, p, address)
	if err != nil {
		return err
	}
	if !c.send(outgoing{frame: frame{Ping: true}}) {
		return ErrNotSent
	}
	return nil
}
