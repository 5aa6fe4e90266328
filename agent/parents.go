package agent

import (
	"crypto/rand"
	"sync"

	"github.com/gypsumford/gypsumford/attempt"
	"github.com/gypsumford/gypsumford/call"
)

// parentCall is a call that the local target runs now. Its child calls belong to its
// root request and take their attempts from its allowance.
type parentCall struct {
	call  call.Call
	token string

	mu struct {
		sync.Mutex
		allowance attempt.Allowance
		level     call.Level // strictest level in the replies to child calls
		closed    bool       // the target has begun its response
	}
}

// takeAttempts takes attempts for one child call. It returns 0 if none are left.
func (p *parentCall) takeAttempts(share func(left int) int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mu.closed {
		return 0
	}
	return p.mu.allowance.Take(share(p.mu.allowance.Left()))
}

// returnAttempts returns the attempts that a child call did not spend, and records
// the level in its reply.
func (p *parentCall) returnAttempts(unspent int, level call.Level) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.level = p.mu.level.Stricter(level)
	if !p.mu.closed {
		p.mu.allowance.Return(unspent)
	}
}

// close returns the attempts that are left and the strictest level in the replies to
// child calls. After close no more attempts can be taken.
func (p *parentCall) close() (unspent int, level call.Level) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.closed = true
	return p.mu.allowance.Left(), p.mu.level
}

// parentTable finds running calls by the token that the target got with the call.
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

// add adds a call that the target is about to run.
func (t *parentTable) add(c call.Call) *parentCall {
	p := &parentCall{call: c, token: rand.Text()}
	p.mu.allowance = attempt.NewAllowance(c.Grant - 1) // the run itself is one attempt
	p.mu.level = call.AdmitAll
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.calls[p.token] = p
	return p
}

// find returns the running call with the token, or nil.
func (t *parentTable) find(token string) *parentCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.calls[token]
}

// remove removes a call that has ended.
func (t *parentTable) remove(p *parentCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.mu.calls, p.token)
}
