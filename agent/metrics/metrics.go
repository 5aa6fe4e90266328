// Package metrics holds the counters and gauges of a daemon, as expvar variables.
//
// The variables belong to a Set rather than to the process, so that several
// agents can run in one test process. Set.Handler serves them in expvar's format.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"

	"github.com/gypsumford/gypsumford/call"
)

// Set holds the counters and gauges of one agent. Every counter starts at 0 when the
// process starts and never decreases.
type Set struct {
	Entered   *expvar.Map // calls received from callers and from the local target, by class
	Outcomes  *expvar.Map // replies to received calls, by "class/outcome"
	Refusals  *expvar.Map // refusals of received calls, by "class/reason"
	Delivered *expvar.Map // calls for the local target, by outcome or reason of refusal
	Attempts  *expvar.Int // calls handed to the local target
	// TargetCrashes counts the crashes of the local target while calls were in flight there.
	TargetCrashes *expvar.Int
	Retries       *expvar.Map // retries, by reason
	Hedges        *expvar.Int // second tries sent in parallel to a slow first one
	BadInput      *expvar.Map // refused input, by source
	Platform      *expvar.Map // calls to the platform, by kind and result
	Epochs        *expvar.Map // what calls showed about the epoch of the platform's store, by finding
	Packets       *expvar.Map // membership packets and bytes, by direction
	Config        *expvar.Map // configurations received, by result
	Membership    *expvar.Map // changes of members, by new state
	gauges        []gauge
	names         []string
	byName        map[string]expvar.Var
}

type gauge struct {
	name string
	read func() int64
}

// NewSet returns a set with all counters at 0.
func NewSet() *Set {
	s := &Set{byName: map[string]expvar.Var{}}
	s.Entered = s.newMap("calls_entered")
	s.Outcomes = s.newMap("calls_outcome")
	s.Refusals = s.newMap("calls_refused")
	s.Delivered = s.newMap("calls_delivered")
	s.Attempts = s.newInt("target_attempts")
	s.TargetCrashes = s.newInt("target_crashes")
	s.Retries = s.newMap("calls_retried")
	s.Hedges = s.newInt("calls_hedged")
	s.BadInput = s.newMap("bad_input")
	s.Platform = s.newMap("platform_calls")
	s.Epochs = s.newMap("platform_epochs")
	s.Packets = s.newMap("membership_packets")
	s.Config = s.newMap("config_offers")
	s.Membership = s.newMap("membership_changes")
	return s
}

// Gauge adds a value that is read whenever the set is served. All gauges must be
// added before the set is served.
func (s *Set) Gauge(name string, read func() int64) {
	s.gauges = append(s.gauges, gauge{name, read})
}

// CountOutcome counts the reply to one call of the class.
func (s *Set) CountOutcome(class string, outcome call.Outcome, reason call.Reason) {
	s.Outcomes.Add(class+"/"+outcome.String(), 1)
	if outcome == call.NotRun {
		s.Refusals.Add(class+"/"+reason.String(), 1)
	}
}

// Value returns the value of a counter in a map, 0 if it was never incremented.
func Value(m *expvar.Map, key string) uint64 {
	counter, ok := m.Get(key).(*expvar.Int)
	if !ok {
		return 0
	}
	return uint64(counter.Value())
}

// Handler serves the set and the expvar variable memstats as JSON.
func (s *Set) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprint(w, "{")
		for _, name := range s.names {
			fmt.Fprintf(w, "\n%q: %s,", name, s.byName[name])
		}
		for _, g := range s.gauges {
			fmt.Fprintf(w, "\n%q: %d,", g.name, g.read())
		}
		fmt.Fprintf(w, "\n%q: %s\n}\n", "memstats", expvar.Get("memstats"))
	})
}

func (s *Set) newMap(name string) *expvar.Map {
	m := new(expvar.Map).Init()
	s.add(name, m)
	return m
}

func (s *Set) newInt(name string) *expvar.Int {
	i := new(expvar.Int)
	s.add(name, i)
	return i
}

func (s *Set) add(name string, v expvar.Var) {
	s.names = append(s.names, name)
	s.byName[name] = v
}
