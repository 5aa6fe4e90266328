package agent

import (
	"crypto/rand"
	"sync"

	"github.com/gypsumford/gypsumford/attempt"
	"github.com/gypsumford/gypsumford/call"
)

// parentCall is a call that the own target runs now. Its child calls share its
// request and take their attempts from its allowance.
type parentCall struct {
	call  call.Call
	token string

	mu struct {
		sync.Mutex
		pot    attempt.Allowance
		level  call.Level // strictest level met by child calls
		closed bool       // the target has begun its answer
	}
}

// take takes attempts for one child call. It returns 0 when none is left.
func (p *parentCall) take(share func(left int) int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mu.closed {
		return 0
	}
	return p.mu.pot.Take(share(p.mu.pot.Left()))
}

// giveBack returns what a child call did not spend, and the level that it met.
func (p *parentCall) giveBack(unspent int, level call.Level) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.level = p.mu.level.Stricter(level)
	if !p.mu.closed {
		p.mu.pot.Return(unspent)
	}
}

// close ends the taking of attempts and returns what is left of them, and the
// strictest level that child calls met.
func (p *parentCall) close() (unspent int, level call.Level) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.closed = true
	return p.mu.pot.Left(), p.mu.level
}

// parentTable finds running calls by the token that the target was given.
type parentTable struct {
	mu struct {
		sync.Mutex
		calls map[string]*parentCall
	}
}

func newParentTable() *parentTable {
	t := &parentTable{}
	t.mu.calls = make(map[string]*parentCall)
	return t
}

// open registers a call that the target is about to run.
func (t *parentTable) open(c call.Call) *parentCall {
	p := &parentCall{call: c, token: rand.Text()}
	p.mu.pot = attempt.NewAllowance(c.Grant - 1) // the run itself is one attempt
	p.mu.level = call.AdmitAll
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.calls[p.token] = p
	return p
}

// find returns the running call of the token, or nil.
func (t *parentTable) find(token string) *parentCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.calls[token]
}

// remove forgets a call that has been answered.
func (t *parentTable) remove(p *parentCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.mu.calls, p.token)
}
