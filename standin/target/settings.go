// Package target is a stand-in of a target: a server with a bounded number of
// slots, operations that take time and make child calls, and the faults that
// real targets show (stragglers, slowdowns, late load reports, cold starts).
//
// A call takes a slot (or waits for one in FIFO order), runs for its service
// time with its child calls in the middle, and answers a body that proves that
// all of them ran. Each run is written to a journal file at once, so that it
// can be accounted for even when the process is killed.
//
// In layered mode child calls go through the target's own node. In plain mode
// they go straight to a random target of the next service, three tries each,
// as services without the layer do.
package target

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings is what a target is started with, read from a JSON file. Durations
// are in nanoseconds.
type Settings struct {
	Service        string
	Slots          int           // calls that run at once
	Queue          int           // calls that wait for a slot; more are shed
	Connections    int           // open connections; more are closed at once, 0 for no bound
	ConnectionCost time.Duration // time that accepting a connection takes, one after the other
	ProbeCost      time.Duration // slot time that one GET /health takes
	ColdStart      time.Duration // time over which a new target gets to full speed
	ColdFactor     float64       // service time at the very start, times this
	Drain          time.Duration // longest time that a stop waits for calls in flight
	Operations     []Operation
	HopDelay       time.Duration // added to each child call, the way there and back together
	Plain          bool          // no node: child calls go straight to Peers
	Peers          map[string][]string
	PlainTries     int           // tries of a child call in plain mode
	PlainTimeout   time.Duration // timeout of one such try
	Honour         bool          // calls stop when they are cancelled or past their deadline
}

// Operation is one kind of call that the target serves.
type Operation struct {
	Name      string
	Time      time.Duration // own service time, child calls not included
	Spread    float64       // uniform spread around Time, as a share of it
	Calls     []string      // child calls, service/operation
	Parallel  bool          // child calls at the same time rather than in turn
	Paid      bool          // runs to its end once started
	OneIn     int           // one run in OneIn is a straggler, 0 for none
	Straggler float64       // a straggler's service time, times this
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

// Check reports what is wrong with the settings.
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
