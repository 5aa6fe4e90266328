// Package fairshare states by how much a client account sends more to an entry than it usually
// does, so that the room for a priority's requests is shared by accounts. Inputs are the
// arrivals by account and the configured rate of each.
//
// Where admission has room for a share of a priority's requests, an account that sends eight
// times its usual load got eight times the room, and all others paid for it. Here its share is
// divided by its excess, so that each account gets the same share of its weight. What it
// doesn't get is left to all: the pressure of the service falls and its share rises, or its
// demand counts less where the share is computed from it (package retrybudget).
//
// An entry sees only what comes to it, and accounts are spread differently over entries. The
// weight is therefore what the account usually sends here, at most its configured rate and at
// least that rate divided by the number of instances. So accounts whose requests all come to
// one entry and those whose requests come to all are treated alike, and entries exchange
// nothing. A room divided by each entry among the accounts that it sees gave 0.29 of their load
// to accounts of one entry and 0.65 to others (trial).
package fairshare

import (
	"math"
	"time"
)

const (
	// usualTimeConstant is the time constant of what an account usually sends: long, as seconds
	// of many times the usual load must not raise the weight much.
	usualTimeConstant = 5 * time.Minute
	// rateTimeConstant is that of what it sends now.
	rateTimeConstant = 2 * time.Second
	// tolerance is the factor above the usual load that isn't excess, and deviations how many
	// standard deviations of a small count aren't.
	tolerance  = 1.25
	deviations = 2.0
	// maxAccounts bounds the accounts that are known; further ones count as one.
	maxAccounts = 4096
)

// Account is a client account and its configured rate in requests per second, 0 if it has none.
type Account struct {
	Name string
	Rate float64
}

// sender is what one account sends to the entry.
type sender struct {
	usual, now average
	credit     map[Limit]float64 // accumulated shares; an admitted request uses 1
}

// Limit is a service and a priority whose requests are admitted in part.
type Limit struct {
	Service  string
	Priority int
}

// Table holds the arrivals at one entry.
type Table struct{ senders map[string]*sender }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{senders: map[string]*sender{}} }

func (t *Table) sender(now time.Time, name string) *sender {
	s := t.senders[name]
	if s == nil && len(t.senders) >= maxAccounts {
		name = ""
		s = t.senders[name]
	}
	if s == nil {
		s = &sender{usual: newAverage(now, usualTimeConstant), now: newAverage(now, rateTimeConstant), credit: map[Limit]float64{}}
		t.senders[name] = s
	}
	return s
}

// Arrive records a request of the account, and returns the excess: by which factor it sends
// more than its weight, at least 1. instances is the number of entries.
func (t *Table) Arrive(now time.Time, account Account, instances int) (excess float64) {
	s := t.sender(now, account.Name)
	weight := s.usual.correctedRate(now)
	if account.Rate > 0 {
		weight = max(min(weight, account.Rate), account.Rate/float64(max(instances, 1)))
	}
	s.now.arrive(now, 1)
	expected := max(weight*rateTimeConstant.Seconds(), 1)
	counted := s.now.rate(now) * rateTimeConstant.Seconds()
	excess = max(counted/max(tolerance*expected, expected+deviations*math.Sqrt(expected)), 1)
	s.usual.arrive(now, 1/excess) // an excess doesn't become usual
	return excess
}

// Admit decides on a request of the account of which a share is admitted. Those that are
// admitted are spaced evenly among its requests.
func (t *Table) Admit(now time.Time, l Limit, account Account, share float64) bool {
	s := t.sender(now, account.Name)
	credit := min(s.credit[l]+share, 2)
	admit := credit >= 1
	if admit {
		credit--
	}
	s.credit[l] = credit
	return admit
}

// RetainAccounts forgets the accounts that are not listed.
func (t *Table) RetainAccounts(listed map[string]bool) {
	for name := range t.senders {
		if !listed[name] {
			delete(t.senders, name)
		}
	}
}

// average is a moving average of requests per second.
type average struct {
	timeConstant       time.Duration
	perS               float64
	startedAt, updated time.Time
}

func newAverage(now time.Time, timeConstant time.Duration) average {
	return average{timeConstant: timeConstant, startedAt: now, updated: now}
}

func (a *average) fade(elapsed time.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(a.timeConstant))
}

func (a *average) arrive(now time.Time, count float64) {
	a.perS = a.perS*a.fade(now.Sub(a.updated)) + count/a.timeConstant.Seconds()
	a.updated = now
}

// rate returns the average.
func (a *average) rate(now time.Time) float64 { return a.perS * a.fade(now.Sub(a.updated)) }

// correctedRate returns the average, corrected for one that has just begun.
func (a *average) correctedRate(now time.Time) float64 {
	const minKnown = 0.003
	return a.rate(now) / max(1-a.fade(now.Sub(a.startedAt)), minKnown)
}
