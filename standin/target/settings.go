// Package target emulates a target: a server with a limited number of slots, with
// operations that take time and make child calls, and with the faults that real
// targets show (stragglers, slowdowns, late load reports, cold starts).
//
// A call takes a slot, or waits for one in FIFO order. It runs for its service
// time, with its child calls half-way through, and its response body proves that
// all of them ran. Each run is written to a journal file at once, so that it is
// known even if the process is killed.
//
// With the layer, child calls go through the target's local node. In plain mode
// they go straight to a random target of the called service, with up to PlainTries
// attempts each, as services without the layer do.
package target

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the settings of a target, read from a JSON file under the names of
// the fields. Durations are in nanoseconds there.
type Settings struct {
	Service        string
	Slots          int           // most calls that run at the same time
	Queue          int           // most calls that wait for a slot; more are shed
	Connections    int           // most open connections, 0 for no limit; more are closed at once
	ConnectionCost time.Duration // time that accepting a connection takes; connections are accepted one at a time
	ProbeCost      time.Duration // slot time that one GET /health takes
	ColdStart      time.Duration // time after the start in which the target is slower
	ColdFactor     float64       // factor on service times at the start, falling to 1 over ColdStart
	Drain          time.Duration // longest time that a stopping target waits for calls in flight
	Operations     []Operation
	HopDelay       time.Duration       // network delay of each child call, both ways together
	Plain          bool                // plain mode, without a node: child calls go straight to Peers
	Peers          map[string][]string // addresses of targets by service, for plain mode
	PlainTries     int                 // most attempts of a child call in plain mode
	PlainTimeout   time.Duration       // timeout of each of these attempts
	Honour         bool                // calls stop when they are cancelled or their deadline passes; at-most-once operations don't
}

// Operation is one kind of call that the target serves.
type Operation struct {
	Name      string
	Time      time.Duration // service time without the child calls
	Spread    float64       // half the width of the uniform distribution around Time, as a fraction of Time
	Calls     []string      // child calls, service/operation
	Parallel  bool          // child calls run at the same time rather than in order
	Paid      bool          // at-most-once: runs to its end once started
	OneIn     int           // one run in OneIn is a straggler, 0 for none
	Straggler float64       // factor on a straggler's service time
}

// LoadSettings reads settings from a file.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	var settings Settings
	if err := json.Unmarshal(text, &settings); err != nil {
		return Settings{}, errors.Wrapf(err, "%s", path)
	}
	return settings, settings.Check()
}

// Check returns an error that lists the invalid settings, or nil.
func (s *Settings) Check() error {
	var found error
	if s.Service == "" {
		found = errors.CombineErrors(found, errors.New("Service: must be named"))
	}
	if s.Slots < 1 {
		found = errors.CombineErrors(found, errors.New("Slots: must be at least 1"))
	}
	if len(s.Operations) == 0 {
		found = errors.CombineErrors(found, errors.New("Operations: must not be empty"))
	}
	return found
}
