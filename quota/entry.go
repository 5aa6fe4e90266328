package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the demand that an entry expects.
	demandTime = 200 * time.Millisecond
	// askAhead is for how long a batch of tokens is to last.
	askAhead = 100 * time.Millisecond
	// maxAsk bounds the tokens of one ask.
	maxAsk = 1 << 16
	// idleTime is how long an entry keeps an account without requests.
	idleTime = 2 * time.Second
	// creditTime is how old a token may be that is put back. A request that waited longer
	// would otherwise move its place in one window to a later one.
	creditTime = MaxValidity
	// unavailableRetry is the retry-after delay when no home answers.
	unavailableRetry = 300 * time.Millisecond
)

// Verdict is whether a request may start.
type Verdict uint8

const (
	// Granted means that the request may start.
	Granted Verdict = iota + 1
	// Exceeded means that the quota has no room.
	Exceeded
	// Wait means that the home is asked: decide again when Receive names the account.
	Wait
	// Unavailable means that no home answers, and that the node's own part has no room.
	Unavailable
)

var verdictNames = [...]string{"none", "granted", "exceeded", "wait", "unavailable"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "invalid"
}

// Token is the right of one request to start. The zero token is that of an account without a
// limit.
type Token struct {
	account string
	version uint64 // of the limit
	expires time.Duration
	isOwn   bool // from the node's own bucket
}

// IsStale reports whether the token is too old for a request that starts now.
func (k *Token) IsStale(now time.Duration) bool {
	return k.account != "" && now >= k.expires+creditTime
}

// Decision is what Take decides.
type Decision struct {
	Verdict    Verdict
	Token      Token         // if granted
	RetryAfter time.Duration // if refused
	// IsPartial tells that a home without the majority of the parts refused: the quota itself
	// may have room.
	IsPartial bool
}

// batch is a number of tokens that expire together.
type batch struct {
	tokens  int
	expires time.Duration
}

// entry is what a node keeps of one account for its own callers.
type entry struct {
	batches      []batch
	refusedUntil time.Duration
	unavailable  bool // the last answer was that of a home without parts
	isPartial    bool // it was that of a home without the majority
	rate         float64
	rateAt       time.Duration
	need         int   // requests that wait and aren't asked for yet
	queuedAt     *peer // whose next message is to ask for the account
	returned     int
	returnedAt   time.Duration
}

func (e *entry) isIdle(now time.Duration) bool {
	return now-e.rateAt > idleTime && now >= e.refusedUntil
}

// arrive counts a request for the expected demand.
func (e *entry) arrive(now time.Duration) {
	e.rate = e.rate*math.Exp(-(now-e.rateAt).Seconds()/demandTime.Seconds()) + 1/demandTime.Seconds()
	e.rateAt = now
}

func (e *entry) tokens(now time.Duration) int {
	e.batches = slices.DeleteFunc(e.batches, func(b batch) bool { return b.tokens <= 0 || b.expires <= now })
	sum := 0
	for _, b := range e.batches {
		sum += b.tokens
	}
	return sum
}

// add adds tokens to those that expire at the same time.
func (e *entry) add(tokens batch) {
	for i := range e.batches {
		if e.batches[i].expires == tokens.expires {
			e.batches[i].tokens += tokens.tokens
			return
		}
	}
	e.batches = append(e.batches, tokens)
}

func (e *entry) want() int { return int(min(e.rate*askAhead.Seconds(), maxAsk)) }

// Take decides on a request of the account. isRepeated is set when the request was decided
// to wait before. The messages must be sent.
func (t *Table) Take(now time.Duration, account string, isRepeated bool) (Decision, []Outgoing) {
	limit, ok := t.limits[account]
	if !ok {
		return Decision{Verdict: Granted}, nil
	}
	e := t.entries[account]
	if e == nil {
		e = &entry{rateAt: now}
		t.entries[account] = e
	}
	if !isRepeated {
		e.arrive(now)
	}
	group := GroupOf(account)
	left := e.tokens(now)
	if left == 0 && t.parts[group].asksItself(t) {
		return t.decide(t.takeOwn(now, account, limit)), nil
	}
	if left > 0 {
		b := &e.batches[0]
		b.tokens--
		d := Decision{Verdict: Granted, Token: Token{account, limit.version, b.expires, false}}
		if left-1 <= e.want()/3 && e.want() > 1 && now >= e.refusedUntil {
			t.queue(e, account, group)
			return t.decide(d), t.flush(now)
		}
		return t.decide(d), nil
	}
	if now < e.refusedUntil {
		if e.unavailable {
			return t.decide(t.takeOwn(now, account, limit)), nil
		}
		return t.decide(Decision{Verdict: Exceeded, RetryAfter: e.refusedUntil - now, IsPartial: e.isPartial}), nil
	}
	if !t.isReachable(t.parts[group].choice) {
		return t.decide(t.takeOwn(now, account, limit)), nil
	}
	e.need++
	t.queue(e, account, group)
	return Decision{Verdict: Wait}, t.flush(now)
}

// TakeLate decides, for the last time, on a request for which no home answered in time.
func (t *Table) TakeLate(now time.Duration, account string) Decision {
	limit, ok := t.limits[account]
	if !ok {
		return Decision{Verdict: Granted}
	}
	if e := t.entries[account]; e != nil {
		e.need = max(e.need-1, 0)
	}
	d := t.takeOwn(now, account, limit)
	t.stats.Decisions[d.Verdict]++
	return d
}

// asksItself reports whether the node is the home that it asks.
func (p *part) asksItself(t *Table) bool { return p.choice == t.instance }

// takeOwn takes a token from the node's own bucket, which holds its own part if it is delegated
// to no other.
func (t *Table) takeOwn(now time.Duration, account string, limit limitSince) Decision {
	g := t.grant(now, &Ask{Account: account, Need: 1})
	switch {
	case g.Tokens > 0:
		return Decision{Verdict: Granted, Token: Token{account, limit.version, now + g.Valid, true}}
	case g.Unknown || !t.parts[GroupOf(account)].asksItself(t):
		return Decision{Verdict: Unavailable, RetryAfter: unavailableRetry}
	}
	return Decision{Verdict: Exceeded, RetryAfter: g.RetryAfter, IsPartial: g.Partial}
}

// decide counts a decision. A request without a home may be decided again, and is counted by
// TakeLate.
func (t *Table) decide(d Decision) Decision {
	if d.Verdict != Unavailable {
		t.stats.Decisions[d.Verdict]++
	}
	return d
}

// Return puts the token of a request back that ended without a start.
func (t *Table) Return(now time.Duration, token Token) {
	limit, ok := t.limits[token.account]
	if !ok || limit.version != token.version || token.IsStale(now) {
		return
	}
	group := GroupOf(token.account)
	if t.parts[group].asksItself(t) {
		if h := t.homes[group]; h.effective > 0 {
			b := h.bucket(now, token.account, limit.Limit)
			if token.isOwn {
				b.release(token.expires)
			}
			b.returned(1, t.bounds)
		}
		return
	}
	e := t.entries[token.account]
	if e == nil {
		return
	}
	t.stats.Returned++
	if now < token.expires {
		e.add(batch{1, token.expires})
		return
	}
	e.returned, e.returnedAt = e.returned+1, now
}

// queue makes the next message to the group's home ask for the account.
func (t *Table) queue(e *entry, account string, group int) {
	if p := t.peers[t.parts[group].choice]; p != nil && p.alive && e.queuedAt != p {
		e.queuedAt = p
		p.pending = append(p.pending, account)
	}
}

// flush returns the messages with asks that may be sent now: at most one is in flight to each
// home.
func (t *Table) flush(now time.Duration) []Outgoing {
	var out []Outgoing
	for g := range t.parts {
		name := t.parts[g].choice
		p := t.peers[name]
		if p == nil || len(p.pending) == 0 || p.asking && now-p.askedAt <= askTimeout {
			continue
		}
		m := t.message(now)
		for _, account := range p.pending {
			if e := t.entries[account]; e != nil && e.queuedAt == p {
				m.Asks = append(m.Asks, e.ask(now, account))
			}
		}
		p.pending = p.pending[:0]
		if len(m.Asks) > 0 {
			p.asking, p.askedAt = true, now
			t.stats.AskMessages++
			t.stats.Asks += int64(len(m.Asks))
			out = append(out, Outgoing{name, m})
		}
	}
	return out
}

// ask returns the entry's ask.
func (e *entry) ask(now time.Duration, account string) Ask {
	a := Ask{Account: account, Need: e.need, Want: max(e.want()-e.tokens(now), 0)}
	if now-e.returnedAt <= creditTime {
		a.Returned = e.returned
	}
	e.need, e.returned, e.queuedAt = 0, 0, nil
	return a
}

// answered handles the answer to asks. It returns the accounts whose requests wait.
func (t *Table) answered(now time.Duration, m *Message) []string {
	p := t.peers[m.From]
	if p == nil {
		return nil
	}
	if p.askedAt == m.Answer.Echo {
		p.asking = false
	}
	wake := make([]string, 0, len(m.Answer.Grants))
	for i := range m.Answer.Grants {
		g := &m.Answer.Grants[i]
		e, limit := t.entries[g.Account], t.limits[g.Account]
		if e == nil {
			continue
		}
		wake = append(wake, g.Account)
		if g.Unknown || m.Version < limit.version {
			e.unavailable, e.refusedUntil = true, now+TickInterval
			continue
		}
		e.add(batch{g.Tokens, m.Answer.Echo + g.Valid})
		e.add(batch{g.Ahead, m.Answer.Echo + g.AheadValid})
		if g.RetryAfter > 0 {
			e.unavailable, e.isPartial, e.refusedUntil = false, g.Partial, max(e.refusedUntil, now+g.RetryAfter)
		}
	}
	return wake
}
