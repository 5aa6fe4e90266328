package claim

import (
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
)

// freshFor is how long a claim of another instance is believed without a read;
// that instance may have given it back.
const freshFor = time.Second

// overloadRetryAfter is the hint when a table of the home is full.
const overloadRetryAfter = time.Second

// Home decides on the keys of one service at one instance. A process makes at
// most one home for a service, and keeps it as long as it lives: the home's
// memory is what keeps a key from running twice. It is not safe for concurrent
// use.
type Home struct {
	config  Config
	service string
	self    Claimant
	outage  outage
	shards  [Shards]*shard
	records map[Fingerprint]*record
	waiters map[WaiterID]*record
	results *results
	issued  *issuedTable
	stats   Stats

	draining     bool
	lastSequence uint64
	lastToken    uint64
}

// NewHome returns the home of the service at the instance.
func NewHome(config Config, self fleet.InstanceID, service string, now time.Time) *Home {
	config = config.withDefaults()
	h := &Home{
		config:  config,
		service: service,
		self:    ClaimantOf(self),
		records: map[Fingerprint]*record{},
		waiters: map[WaiterID]*record{},
		results: newResults(config.ResultBytes, config.ResultCount),
		issued:  newIssuedTable(self),
		stats:   Stats{Refused: map[call.Reason]uint64{}},
	}
	for i := range h.shards {
		h.shards[i] = &shard{
			number: i,
			pace:   pace{interval: config.CommitInterval, burst: config.CommitBurst},
		}
	}
	return h
}

// Issue returns up to count new keys that only this home can run; fewer, or
// none, if its table is full.
func (h *Home) Issue(now time.Time, count int) []string {
	if h.draining {
		return nil
	}
	return h.issued.issue(now, count)
}

// Drain tells that the instance is leaving: it issues and claims no more keys,
// and gives back at once the claims of keys that did not run. Another home can
// claim a key that this one refuses for that reason.
func (h *Home) Drain(now time.Time) []Action {
	h.draining = true
	h.config.ReleaseAfter = 0
	return h.Tick(now)
}

// Ask decides on a call with a key. The deadline should leave the run the time
// that it needs. Each waiter gets exactly one of Run, Reply, RefuseNotRun and
// AnswerUnknown, unless it is reported gone first.
func (h *Home) Ask(now time.Time, id WaiterID, key Key, deadline time.Time) []Action {
	h.stats.Asked++
	if key.IsZero() {
		return h.refuse(id, key, call.ReasonKey, 0)
	}
	if answer, ok := h.results.get(key.fingerprint); ok {
		return h.reply(id, key, answer)
	}
	w := waiter{id, deadline}
	if r, ok := h.records[key.fingerprint]; ok {
		return h.join(now, r, w)
	}
	if issuer, ok := key.Issuer(); ok {
		return h.askIssued(now, w, key, issuer)
	}
	return h.askClaim(now, w, key)
}

// join adds a call to a key that this home already knows.
func (h *Home) join(now time.Time, r *record, w waiter) []Action {
	if !now.Before(w.deadline) {
		return h.refuse(w.id, r.key, call.ReasonDeadline, 0)
	}
	if len(h.waiters) >= h.config.MaxWaiters {
		return h.refuse(w.id, r.key, call.ReasonOverload, overloadRetryAfter)
	}
	h.addWaiter(r, w)
	switch r.state {
	case owned:
		return h.run(now, r)
	case running:
		return nil
	}
	return h.proceed(now, h.shardOf(r.key))
}

// askClaim decides on a caller-chosen key that this home does not know.
func (h *Home) askClaim(now time.Time, w waiter, key Key) []Action {
	if key.millis > now.Add(h.config.FutureTolerance).UnixMilli() {
		return h.refuse(w.id, key, call.ReasonKey, 0)
	}
	s := h.shardOf(key)
	if s.ledger != nil {
		if actions, decided := h.decideFromLedger(now, s, w, key); decided {
			return actions
		}
	}
	if h.draining {
		return h.refuse(w.id, key, call.ReasonDraining, 0)
	}
	if reason := h.noRoom(now, w); reason != call.NoReason {
		return h.refuse(w.id, key, reason, overloadRetryAfter)
	}
	if h.outage.blocks(now) && !h.tolerates(now) {
		return h.refuse(w.id, key, call.ReasonPlatform, h.outage.retryAfter(now))
	}
	h.addWaiter(h.newRecord(s, key), w)
	return h.proceed(now, s)
}

// decideFromLedger answers what needs no platform call.
func (h *Home) decideFromLedger(now time.Time, s *shard, w waiter, key Key) ([]Action, bool) {
	e, claimed := s.ledger.find(key.fingerprint)
	if !claimed {
		if s.ledger.tooOld(key) {
			return h.unknown(w.id, key, 0), true
		}
		return nil, false
	}
	stale := now.Sub(s.seenAt) > freshFor
	if e.claimant != h.self && stale && !s.busy() && !h.outage.blocks(now) {
		s.ledger = nil
		return nil, false
	}
	return h.unknown(w.id, key, e.claimant), true
}

// tolerates reports whether calls may wait although the platform is out.
func (h *Home) tolerates(now time.Time) bool {
	return h.outage.tolerated(now, h.config.OutageTolerance)
}

func (h *Home) noRoom(now time.Time, w waiter) call.Reason {
	if !now.Before(w.deadline) {
		return call.ReasonDeadline
	}
	if len(h.records) >= h.config.MaxRecords || len(h.waiters) >= h.config.MaxWaiters {
		return call.ReasonOverload
	}
	return call.NoReason
}

// Gone tells that a waiter's caller went away. A key that runs goes on running.
func (h *Home) Gone(now time.Time, id WaiterID) []Action {
	r, ok := h.waiters[id]
	if !ok {
		return nil
	}
	delete(h.waiters, id)
	r.removeWaiter(id)
	h.rest(now, r)
	h.prune(h.shardOf(r.key))
	return nil
}

// Ran reports the outcome of a Run. The waiter of the Run has its answer
// already; this answers the others.
func (h *Home) Ran(now time.Time, key Key, result RunResult) []Action {
	r, ok := h.records[key.fingerprint]
	if !ok || r.state != running {
		return nil
	}
	switch result.Outcome {
	case call.Completed:
		return h.ranCompleted(r, result)
	case call.NotRun:
		return h.ranNotRun(now, r, result)
	default:
		return h.ranUnknown(r)
	}
}

func (h *Home) ranCompleted(r *record, result RunResult) []Action {
	h.stats.Completed++
	h.results.put(r.key.fingerprint, result.Answer)
	h.drop(r)
	return h.forWaiters(r, func(w waiter) []Action { return h.reply(w.id, r.key, result.Answer) })
}

func (h *Home) ranNotRun(now time.Time, r *record, result RunResult) []Action {
	actions := h.forWaiters(r, func(w waiter) []Action {
		return h.refuse(w.id, r.key, result.Reason, result.RetryAfter)
	})
	if _, issued := r.key.Issuer(); issued {
		h.issued.notRun(r.key)
		h.drop(r)
		return actions
	}
	r.state = owned
	h.rest(now, r)
	return actions
}

func (h *Home) ranUnknown(r *record) []Action {
	h.drop(r)
	return h.forWaiters(r, func(w waiter) []Action { return h.unknown(w.id, r.key, h.self) })
}

// Tick refuses the calls whose deadline has passed and starts what is due. It
// should be called by NextTick.
func (h *Home) Tick(now time.Time) []Action {
	var actions []Action
	h.issued.expire(now)
	for _, s := range h.shards {
		actions = append(actions, h.expireWaiting(now, s)...)
		if h.outage.active && !h.tolerates(now) && !s.busy() {
			actions = append(actions, h.refuseWaiting(now, s)...)
		}
		actions = append(actions, h.proceed(now, s)...)
	}
	return actions
}

// NextTick returns when Tick has something to do, unless another event comes
// first; false if nothing is due. It changes with every event. Calls that wait
// for a running key have no deadline here.
func (h *Home) NextTick() (time.Time, bool) {
	var next time.Time
	found := false
	consider := func(t time.Time) {
		if !found || t.Before(next) {
			next = t
		}
		found = true
	}
	for _, s := range h.shards {
		h.considerShard(s, consider)
	}
	return next, found
}

func (h *Home) considerShard(s *shard, consider func(time.Time)) {
	for _, r := range s.waiting {
		for _, w := range r.waiters {
			consider(w.deadline)
		}
		if len(r.waiters) > 0 && h.outage.active && !s.busy() {
			consider(h.outage.since.Add(h.config.OutageTolerance))
		}
	}
	if s.busy() || h.outage.underWay {
		return
	}
	if len(s.waiting) > 0 {
		consider(h.earliestCall(h.earliestOf(s)))
	}
	if len(s.idle) > 0 {
		consider(h.earliestCall(s.idle[0].idleSince.Add(h.config.ReleaseAfter)))
	}
}

// earliestOf returns when the shard's next platform call may start.
func (h *Home) earliestOf(s *shard) time.Time {
	if s.ledger == nil {
		return time.Time{}
	}
	return s.pace.earliest()
}

// earliestCall returns when a platform call that is due at t can start.
func (h *Home) earliestCall(t time.Time) time.Time {
	if h.outage.blocks(t) {
		return h.outage.nextProbe
	}
	return t
}

func (h *Home) expireWaiting(now time.Time, s *shard) []Action {
	var actions []Action
	for _, r := range s.waiting {
		for _, w := range r.takeExpired(now) {
			delete(h.waiters, w.id)
			actions = append(actions, h.refuse(w.id, r.key, call.ReasonPlatform, h.outage.retryAfter(now))...)
		}
	}
	h.prune(s)
	return actions
}

// prune forgets the keys that nobody waits for and no write has.
func (h *Home) prune(s *shard) {
	s.waiting = slices.DeleteFunc(s.waiting, func(r *record) bool {
		stays := r.inDoubt || len(r.waiters) > 0
		if !stays {
			h.drop(r)
		}
		return !stays
	})
}

func (h *Home) shardOf(key Key) *shard { return h.shards[key.Shard()] }

func (h *Home) newRecord(s *shard, key Key) *record {
	h.lastSequence++
	r := &record{key: key, sequence: h.lastSequence}
	h.records[key.fingerprint] = r
	s.waiting = append(s.waiting, r)
	return r
}

func (h *Home) addWaiter(r *record, w waiter) {
	r.waiters = append(r.waiters, w)
	h.waiters[w.id] = r
}

// forWaiters answers every waiter of the record.
func (h *Home) forWaiters(r *record, answer func(waiter) []Action) []Action {
	var actions []Action
	for _, w := range r.waiters {
		delete(h.waiters, w.id)
		actions = append(actions, answer(w)...)
	}
	r.waiters = nil
	return actions
}

// drop forgets the key. The object or the table of issued keys still has it.
func (h *Home) drop(r *record) {
	delete(h.records, r.key.fingerprint)
}

// rest starts the time after which an owned key without waiters is released.
func (h *Home) rest(now time.Time, r *record) {
	if r.state != owned || len(r.waiters) > 0 {
		return
	}
	r.idleSince = now
	s := h.shardOf(r.key)
	s.idle = append(s.idle, r)
}

// run hands an owned key to the daemon for its first waiter with time left.
func (h *Home) run(now time.Time, r *record) []Action {
	var actions []Action
	for _, w := range r.takeExpired(now) {
		delete(h.waiters, w.id)
		actions = append(actions, h.refuse(w.id, r.key, call.ReasonDeadline, 0)...)
	}
	s := h.shardOf(r.key)
	s.idle = slices.DeleteFunc(s.idle, func(other *record) bool { return other == r })
	if len(r.waiters) == 0 {
		h.rest(now, r)
		return actions
	}
	first := r.waiters[0]
	r.waiters = r.waiters[1:]
	r.state = running
	delete(h.waiters, first.id)
	h.stats.Runs++
	return append(actions, Action{Kind: Run, Waiter: first.id, Key: r.key})
}

func (h *Home) reply(id WaiterID, key Key, answer *Answer) []Action {
	h.stats.Replies++
	return []Action{{Kind: Reply, Waiter: id, Key: key, Answer: answer}}
}

func (h *Home) refuse(id WaiterID, key Key, reason call.Reason, retryAfter time.Duration) []Action {
	h.stats.Refused[reason]++
	return []Action{{Kind: RefuseNotRun, Waiter: id, Key: key, Reason: reason, RetryAfter: retryAfter}}
}

func (h *Home) unknown(id WaiterID, key Key, claimant Claimant) []Action {
	h.stats.Unknown++
	return []Action{{Kind: AnswerUnknown, Waiter: id, Key: key, Claimant: claimant}}
}
