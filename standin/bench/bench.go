// Package bench runs scenarios over real processes on loopback and computes
// their figures. The processes are the emulated platform and, for each
// instance, an emulated target and its node; the load source runs inside this process.
//
// Run executes a scenario once, either with the layer or in plain mode: without
// nodes, with the same targets calling each other directly. The two runs are
// compared in a report. A fleet starts and stops the processes, the actions
// apply the scenario's faults, and the figures are computed from the targets'
// journals and the load source's records. Only processes that the fleet started
// are signalled, by their process ids. They end before Run returns, and are killed
// if the bench itself dies.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/standin/answer"
	"github.com/gypsumford/gypsumford/standin/load"
	"github.com/gypsumford/gypsumford/standin/platform"
	"github.com/gypsumford/gypsumford/standin/scenario"
)

// Behaviour of clients in plain mode.
const (
	plainAttempts = 3           // attempts of a call, each at a random target
	plainTimeout  = time.Second // timeout of one attempt of a child call
)

// Options are the programs and files of a run.
type Options struct {
	Gypsumd   string    // path of the daemon
	Standin   string    // path of the standin binary, which emulates the platform and the targets
	Directory string    // directory for logs and journals; removed first if it exists
	Plain     bool      // runs without the layer
	Progress  io.Writer // receives a progress line each second; none if nil
	Gypsumctl string    // path of the operators' client, which reads the timeline
	Timeline  string    // file that the timeline's page is written to; none if empty
}

// Result holds the data of one run from which measures are computed.
type Result struct {
	Scenario        *scenario.Scenario
	Plain           bool
	Start           time.Time      // beginning of the scenario's time
	Records         []*load.Record // one record of each request
	Runs            []TargetRun    // runs in the journals of all targets
	Platform        platform.Stats // calls to the platform during the load
	LateFraction    float64        // fraction of requests that the source sent late
	UnexpectedExits []string       // names of processes that exited without being ended by the bench
}

// Run runs the scenario once. It ends all processes before it returns.
func Run(ctx context.Context, s *scenario.Scenario, options Options) (*Result, error) {
	if err := os.RemoveAll(options.Directory); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return nil, err
	}
	f, err := newFleet(s, options)
	if err != nil {
		return nil, err
	}
	defer f.killAll()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	source := newSource(f, options)
	before, err := f.platformStats(ctx)
	if err != nil {
		return nil, err
	}
	result := &Result{Scenario: s, Plain: options.Plain, Start: time.Now().Add(100 * time.Millisecond)}
	actionsCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.runActions(actionsCtx, result.Start)
	}()
	result.Records = source.Run(ctx, result.Start)
	cancel()
	<-done
	after, err := f.platformStats(ctx)
	if err != nil {
		return nil, err
	}
	result.Platform = after.Since(before)
	result.LateFraction = source.LateFraction()
	result.UnexpectedExits = f.unexpectedExits()
	if err := f.writeTimeline(ctx); err != nil {
		return nil, err
	}
	f.stopTargets()
	f.killAll()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	result.Runs, err = f.readJournals()
	return result, err
}

// newSource returns the load source. It prints a progress line each second if
// the options have a writer for it.
func newSource(f *fleet, options Options) *load.Source {
	settings := f.sourceSettings(options)
	var source *load.Source
	before := map[string]load.Counts{}
	if options.Progress != nil {
		settings.Progress = func(at time.Duration) {
			now := source.Counts()
			_, _ = fmt.Fprintln(options.Progress, progressLine(f.scenario, at, before, now, f.takeNotes()))
			before = now
		}
	}
	source = load.NewSource(settings)
	return source
}

// progressLine states how many requests of each class ended in the last second,
// by result, and the actions that were applied.
func progressLine(s *scenario.Scenario, at time.Duration, before, now map[string]load.Counts, notes []string) string {
	var parts []string
	for _, class := range s.Classes {
		if _, used := now[class]; !used {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %d whole, %d refused, %d other", class,
			now[class].Completed-before[class].Completed, now[class].Refused-before[class].Refused,
			now[class].Other-before[class].Other))
	}
	line := fmt.Sprintf("%4.0fs  %s", at.Seconds(), strings.Join(parts, " | "))
	if len(notes) > 0 {
		line += "   <- " + strings.Join(notes, "; ")
	}
	return line
}

// sourceSettings returns the settings of the load source for the fleet.
func (f *fleet) sourceSettings(options Options) load.Settings {
	settings := load.Settings{
		Length: f.scenario.Length, ClientDelay: f.scenario.ClientDelay,
		Seed: f.scenario.Seed, RunID: filepath.Base(options.Directory),
	}
	for _, l := range f.scenario.Loads {
		settings.Streams = append(settings.Streams, f.stream(l))
	}
	if !options.Plain {
		settings.Entries = f.entryAddresses()
		return settings
	}
	settings.PlainTargets = f.targetAddresses()
	settings.PlainAttempts = plainAttempts
	return settings
}

// stream returns the load source's stream for a load of the scenario.
func (f *fleet) stream(l scenario.Load) load.Stream {
	op := f.scenario.Operation(l.Operation)
	stream := load.Stream{
		Operation: l.Operation, Class: op.Class, Caller: l.Caller, AtMostOnce: op.AtMostOnce,
		Deadline: op.Deadline, MaxCalls: l.MaxCalls, HonourRetryAfter: l.HonourRetryAfter, Tree: callTree(f.scenario, l.Operation),
	}
	for _, point := range l.Points {
		stream.Points = append(stream.Points, load.Point(point))
	}
	return stream
}

// callTree returns the tree of calls that one request for the operation causes.
func callTree(s *scenario.Scenario, operation string) *answer.Tree {
	t := &answer.Tree{Operation: operation}
	for _, child := range s.Operation(operation).Calls {
		t.Children = append(t.Children, callTree(s, child))
	}
	return t
}

// LoadScenario reads and parses a scenario file.
func LoadScenario(path string) (*scenario.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(path, string(text))
}

// ScenarioFiles returns the scenario files of a directory, ordered by name.
func ScenarioFiles(directory string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.scenario"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, errors.Newf("%s: no *.scenario files", directory)
	}
	sort.Strings(files)
	return files, nil
}
