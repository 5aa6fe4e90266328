package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// settleTime is how long a home that ranks before one with the majority must have been
	// reachable until the parts move to it. Buckets of a new home begin empty.
	settleTime = 10 * time.Second
	// candidates is the number of reachable instances that are compared for a group.
	candidates = 3
	// maxProbes bounds the instances that are asked for one group at the same time whether they
	// answer.
	maxProbes = 6
	// renewPerInstance times the number of instances is the time between two renewals, between
	// minRenewal and maxRenewal: a home receives at most 1/renewPerInstance of them a second,
	// of 10 to 20 us each (BenchmarkQuotaExchange).
	renewPerInstance = 2 * time.Millisecond
	minRenewal       = 300 * time.Millisecond
	maxRenewal       = 90 * time.Second
	// renewalsPerTerm is the number of renewals of which a term allows all but two to be lost.
	renewalsPerTerm = 4
	// startTerm is the least time for which a process that was started delegates nothing.
	startTerm = 2500 * time.Millisecond
	// minWitnesses is the number of peers whose start shows that the whole fleet was started.
	minWitnesses = 8
)

// part is where a node's own parts of the quotas of one group are.
type part struct {
	holder string // "" while they are between two homes
	freeAt time.Duration
	choice string // home that the node asks for tokens
	first  string // first reachable instance of the ranking
	hinted string // home that a peer named
	left   string // former holder, until it confirms that it doesn't use the part
	leftAt time.Duration
}

// renewal returns the time between two renewals.
func renewal(instances int) time.Duration {
	return min(max(time.Duration(instances)*renewPerInstance, minRenewal), maxRenewal)
}

// term returns the term of delegations.
func term(instances int) time.Duration {
	return renewalsPerTerm*renewal(instances) + MaxValidity
}

// rank orders the instances for a group by rendezvous hashing.
func rank(group int, instances []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(instances))
	for i, name := range instances {
		list[i] = scored{name, xxhash.Sum64String(string(rune('a'+group)) + name)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, len(list))
	for i := range list {
		ranked[i] = list[i].name
	}
	return ranked
}

// choose returns the home of the group: the first reachable instance of the ranking, or one
// of the next that holds the majority, for as long as the first has been reachable for a short
// time. The result is "" if that isn't known yet. probe is called for instances that must be
// asked whether they answer.
func (t *Table) choose(now time.Duration, group int, probe func(name string)) string {
	p := &t.parts[group]
	p.first = ""
	majority, isUndecided := "", false
	if p.hinted != "" && t.isKnown[p.hinted] && t.statusOf(now, p.hinted) == unknown {
		probe(p.hinted)
	}
	for _, name := range []string{p.choice, p.hinted} {
		if t.isKnown[name] && t.statusOf(now, name) == reachable && t.holdsMajority(name, group) {
			majority = name
		}
	}
	alive, probes := 0, 0
	for _, name := range t.ranking[group] {
		switch t.statusOf(now, name) {
		case reachable:
			alive++
			if p.first == "" {
				p.first = name
			}
			if majority == "" && t.holdsMajority(name, group) {
				majority = name
			}
		case unknown:
			probes++
			probe(name)
			isNew := t.peers[name] == nil || t.peers[name].backoff == 0
			isUndecided = isUndecided || p.first == "" && isNew
		}
		if p.first != "" && (majority != "" || alive >= candidates) || probes >= maxProbes {
			break
		}
	}
	switch {
	case majority != "" && (p.first == "" || !t.isSettled(now, p.first)):
		return majority
	case isUndecided:
		return ""
	}
	return p.first
}

// status is what a node knows of the reachability of another one.
type status uint8

const (
	unknown status = iota
	reachable
	unreachable
)

func (t *Table) statusOf(now time.Duration, name string) status {
	if name == t.instance && t.isStopping {
		return unreachable // it is no home any more
	}
	if t.isReachable(name) {
		return reachable
	}
	if p := t.peers[name]; p != nil && p.failedUntil > now {
		return unreachable
	}
	return unknown
}

func (t *Table) holdsMajority(name string, group int) bool {
	if name == t.instance {
		return isMajority(t.homes[group].sum)
	}
	return t.peers[name].hasMajority(group)
}

// isSettled reports whether an instance has been reachable for so long that it may replace
// a home that works.
func (t *Table) isSettled(now time.Duration, name string) bool {
	since := t.startedAt
	if name != t.instance {
		since = t.peers[name].aliveSince
	}
	return now-since >= settleTime
}

// place moves the node's parts of a group towards the chosen home.
func (t *Table) place(now time.Duration, group int, choice string) {
	p := &t.parts[group]
	if choice != "" {
		p.choice = choice
	}
	switch {
	case p.holder == "" && p.left != "" && p.left == p.choice && t.isReachable(p.left):
		p.holder, p.left = p.left, "" // it answers again, and no other had the part meanwhile
	case p.holder == "":
		started := now-t.startedAt >= max(startTerm, term(t.instances)) || t.isFleetStart()
		if started && now >= p.freeAt && t.instances > 0 {
			p.holder, p.left = p.choice, ""
			if !t.isReachable(p.holder) {
				p.holder = t.instance
			}
			if p.holder == t.instance {
				t.homes[group].delegate(now, t.instance, delegation{part: partOf(t.instances)})
			}
		}
	case p.holder == t.instance:
		if p.choice != t.instance && t.isReachable(p.choice) {
			t.homes[group].delegate(now, t.instance, delegation{})
			p.holder, p.freeAt = "", now+MaxValidity
		}
	case !t.isReachable(p.holder) || p.choice != p.holder:
		t.leave(now, p)
	}
}

// isFleetStart reports whether the whole fleet seems to have been started with this process: every
// peer that has answered it was. Then no process is left that may hold what the earlier process of
// this instance had delegated, and waiting for its term would leave all accounts without quota.
//
// When a fleet starts for the first time, instances still become known, and waiting keeps the parts
// from going to homes that they would leave again.
func (t *Table) isFleetStart() bool {
	if t.isFirstStart {
		return false
	}
	witnesses := 0
	for _, p := range t.peers {
		if p.incarnation == 0 {
			continue
		}
		if p.incarnation < t.incarnation-startTerm.Milliseconds() {
			return false
		}
		witnesses++
	}
	return witnesses >= max(min(minWitnesses, len(t.roster)-1), 1)
}

// leave ends the delegation of a part to another node. It is free when its term has ended, or
// earlier if the home confirms that it doesn't use it.
func (t *Table) leave(now time.Duration, p *part) {
	home := t.peers[p.holder]
	p.left, p.leftAt = p.holder, now
	p.holder, p.freeAt = "", max(home.until, now)
	home.hasRenewed = false // tell it at once
}

// confirmed records that a home doesn't use the parts any more that left it before the time. Its
// tokens are still at entries.
func (t *Table) confirmed(now time.Duration, home string, leftBefore time.Duration) {
	for g := range t.parts {
		p := &t.parts[g]
		if p.left == home && p.holder == "" && p.leftAt <= leftBefore {
			p.left, p.freeAt = "", min(p.freeAt, now+MaxValidity)
		}
	}
}

func (t *Table) isReachable(name string) bool {
	if name == t.instance {
		return true
	}
	p := t.peers[name]
	return p != nil && p.alive
}
