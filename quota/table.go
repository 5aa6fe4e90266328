package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// TickInterval is the time between calls of Table.Tick.
	TickInterval  = 100 * time.Millisecond
	pruneInterval = 1 * time.Second
	// growthMemory is for how long a number of instances counts after it was last stated, by
	// this node or by a peer, and at least two renewals. The largest one counts: parts that are
	// too small only waste quota.
	growthMemory = 5 * time.Second
)

// Account is an account and its limit.
type Account struct {
	Name string
	Limit
}

// limitSince is a limit and the version of the configuration that set it.
type limitSince struct {
	Limit
	version uint64
}

// Table is one node's view of all quotas: its own parts, the buckets of the groups whose home
// it is, and its tokens as an entry. It isn't safe for concurrent use. Times are by the boot
// clock, which goes on while the machine is suspended.
type Table struct {
	instance    string
	incarnation int64 // start of the process in Unix milliseconds
	bounds      Bounds
	startedAt   time.Duration
	version     uint64
	limits      map[string]limitSince // of accounts that have one

	isFirstStart bool     // the whole fleet starts for the first time
	isComplete   bool     // the node has read all records once
	roster       []string // instances that the node knows, itself included
	isKnown      map[string]bool
	ranking      [Groups][]string
	instances    int // the number that its part is computed by, 0 if unknown
	counts       []instanceCount

	homes   [Groups]*home
	parts   [Groups]part
	peers   map[string]*peer
	senders map[string]sender
	entries map[string]*entry

	prunedAt   time.Duration
	isStopping bool
	stats      Stats
}

// instanceCount is a number of instances and when it was last stated.
type instanceCount struct {
	count int
	at    time.Duration
}

// sender orders the renewals of one instance, which may arrive over several connections.
type sender struct {
	incarnation int64
	sent        time.Duration
	keepUntil   time.Duration
}

// FirstStart tells that the whole fleet starts for the first time.
func (t *Table) FirstStart() { t.isFirstStart = true }

// NewTable returns the table of a process that has just started.
func NewTable(now time.Duration, instance string, incarnation int64, bounds Bounds) *Table {
	t := &Table{
		instance: instance, incarnation: incarnation, bounds: bounds, startedAt: now, limits: map[string]limitSince{},
		isKnown: map[string]bool{}, peers: map[string]*peer{}, senders: map[string]sender{}, entries: map[string]*entry{},
	}
	for g := range t.homes {
		t.homes[g] = newHome(bounds)
		t.homes[g].at = now
	}
	return t
}

// HasQuotas reports whether any account has a limit.
func (t *Table) HasQuotas() bool { return len(t.limits) > 0 }

// Configure brings the limits of a configuration into force. Tokens that were granted by other
// limits are dropped, and so are asks. It returns the accounts whose waiting requests are to be
// decided again.
func (t *Table) Configure(now time.Duration, version uint64, accounts []Account) (wake []string) {
	if version < t.version {
		return nil // overtaken by a newer one
	}
	limits := make(map[string]limitSince, len(accounts))
	for _, a := range accounts {
		if a.Rate <= 0 {
			continue
		}
		current, ok := t.limits[a.Name]
		if !ok || current.Limit != a.Limit {
			current = limitSince{a.Limit, version}
			delete(t.entries, a.Name)
			wake = append(wake, a.Name)
		}
		limits[a.Name] = current
	}
	for name := range t.entries {
		if _, ok := limits[name]; !ok {
			delete(t.entries, name)
			wake = append(wake, name)
		}
	}
	t.version, t.limits = version, limits
	for _, h := range t.homes {
		h.configure(now, limits)
	}
	return wake
}

// SetRoster replaces the instances that the node knows and that don't leave, sorted by name.
// Call it with each tick, as what it states counts for a while. isComplete is
// unset until the node has read them all once: before, it delegates nothing.
func (t *Table) SetRoster(now time.Duration, names []string, isComplete bool) {
	if !slices.Equal(names, t.roster) {
		t.roster = slices.Clone(names)
		t.isKnown = make(map[string]bool, len(names))
		for _, name := range names {
			t.isKnown[name] = true
		}
		for g := range t.ranking {
			t.ranking[g] = rank(g, names)
		}
	}
	t.isComplete = t.isComplete || isComplete
	t.countInstances(now, len(names))
}

// countInstances records a number of instances that this node or a peer knows.
func (t *Table) countInstances(now time.Duration, count int) {
	if count <= 0 {
		return
	}
	memory := max(growthMemory, 2*renewal(t.instances))
	t.counts = slices.DeleteFunc(t.counts, func(c instanceCount) bool { return c.count <= count || now-c.at > memory })
	t.counts = append(t.counts, instanceCount{count, now}) // decreasing
	largest := t.counts[0].count
	if !t.isComplete || largest == t.instances {
		return
	}
	t.instances = largest
	for g := range t.parts {
		if t.parts[g].holder == t.instance {
			t.homes[g].delegate(now, t.instance, delegation{part: partOf(t.instances)})
		}
	}
}

// Tick does what is due by time, and returns messages to be sent. It is called every
// TickInterval.
func (t *Table) Tick(now time.Duration) []Outgoing {
	if !t.HasQuotas() {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		if p.expire(now, renewal(t.instances)) {
			t.fail(now, p)
		}
		if !t.isKnown[name] && !p.alive && !t.uses(name) {
			delete(t.peers, name)
		}
	}
	probes := map[string]bool{}
	for _, h := range t.homes {
		h.advance(now)
	}
	for g := range t.parts {
		choice := t.choose(now, g, func(name string) { probes[name] = true })
		if !t.isStopping {
			t.place(now, g, choice)
		} else if choice != "" {
			t.parts[g].choice = choice // for requests that still arrive
		}
	}
	if now-t.prunedAt >= pruneInterval {
		t.prune(now)
	}
	return append(t.renew(now, probes), t.flush(now)...)
}

// uses reports whether a part is, or may still be, at the instance.
func (t *Table) uses(name string) bool {
	return slices.ContainsFunc(t.parts[:], func(p part) bool { return p.holder == name || p.choice == name || p.left == name })
}

func (t *Table) prune(now time.Duration) {
	t.prunedAt = now
	for _, h := range t.homes {
		h.prune(now)
	}
	for name, e := range t.entries {
		if e.isIdle(now) {
			delete(t.entries, name)
		}
	}
	maps.DeleteFunc(t.senders, func(_ string, s sender) bool { return s.keepUntil < now })
}

// renew returns the renewals that are due: to homes that hold parts, to those that the node
// asks for tokens, and to instances that must be asked whether they answer.
func (t *Table) renew(now time.Duration, probes map[string]bool) []Outgoing {
	groups := map[string]uint32{}
	for name := range probes {
		groups[name] = 0
	}
	wantHomes := false
	for g := range t.parts {
		p := &t.parts[g]
		for _, name := range []string{p.choice, p.first, p.left} {
			if t.peers[name] != nil {
				groups[name] |= 0
			}
		}
		if p.holder != "" && p.holder != t.instance {
			groups[p.holder] |= 1 << g
		}
		known := t.peers[p.choice]
		wantHomes = wantHomes || known == nil || !known.hasMajority(g)
	}
	var due []Outgoing
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		p := t.peers[name]
		if p == nil {
			p = &peer{}
			t.peers[name] = p
		}
		if p.awaiting && !p.alive || p.hasRenewed && now-p.renewedAt < renewal(t.instances) || p.failedUntil > now {
			continue
		}
		due = append(due, Outgoing{name, t.renewalFor(now, p, groups[name], wantHomes)})
	}
	return due
}

func (t *Table) renewalFor(now time.Duration, p *peer, groups uint32, wantHomes bool) *Message {
	m := t.message(now)
	m.Renewal = &Renewal{Incarnation: p.incarnation, Stamp: p.stamp, Part: partOf(t.instances), Groups: groups, WantHomes: wantHomes}
	if groups != 0 {
		m.Renewal.Term = term(t.instances)
		p.until = max(p.until, now+m.Renewal.Term)
	}
	if !p.awaiting {
		p.awaiting, p.awaitSince = true, now
	}
	p.renewedAt, p.hasRenewed = now, true
	t.stats.Renewals++
	return m
}

func (t *Table) message(now time.Duration) *Message {
	return &Message{From: t.instance, Incarnation: t.incarnation, Sent: now, Instances: len(t.roster), Version: t.version}
}

// Unreachable records that a message couldn't be sent to the instance.
func (t *Table) Unreachable(now time.Duration, instance string) {
	if p := t.peers[instance]; p != nil {
		t.fail(now, p)
	}
}

// fail records that the peer doesn't answer. What would have been asked of it is asked of the
// next home.
func (t *Table) fail(now time.Duration, p *peer) {
	p.failed(now)
	for _, account := range p.pending {
		if e := t.entries[account]; e != nil {
			e.queuedAt = nil
		}
	}
	p.pending = nil
}

// Stop returns messages to the nodes whose parts this one holds: it uses them no more. The
// node's own parts end with their terms. Requests that still arrive are asked for at other homes.
func (t *Table) Stop(now time.Duration) []Outgoing {
	t.isStopping = true
	holders := map[string]bool{}
	for g, h := range t.homes {
		for instance := range h.delegations {
			holders[instance] = instance != t.instance
		}
		h.delegations = map[string]delegation{}
		h.update(now)
		t.parts[g] = part{freeAt: now + growthMemory, choice: t.parts[g].choice}
	}
	var out []Outgoing
	for _, name := range slices.Sorted(maps.Keys(holders)) {
		if holders[name] {
			m := t.message(now)
			m.Ack = &Ack{Stopping: true}
			out = append(out, Outgoing{name, m})
		}
	}
	return out
}
