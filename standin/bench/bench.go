// Package bench runs scenarios over real processes on loopback and reads off
// their figures: the platform's stand-in, a target and a node for each
// instance, and the load source inside this process.
//
// A scenario runs twice in one go: with the layer, and without it over the
// same stand-ins in plain mode. Fleet starts and ends the processes, actions
// carry out the scenario's faults, journals of the targets and records of the
// source give the figures. Only processes that it started are ever signalled,
// by their ids, and all of them end with it.
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

// Plain mode's client behaviour.
const (
	plainTries   = 3
	plainTimeout = time.Second
)

// Options says what to run and where.
type Options struct {
	Gypsumd   string // path of the daemon
	Standin   string // path of the stand-in binary
	Directory string // for logs and journals, emptied first
	Plain     bool   // without the layer
	Out       io.Writer
	Gypsumctl string // path of the operators' client, for the time line
	TimeLine  string // file that the time line's page is written to; none if empty
}

// Result is what one run gave.
type Result struct {
	Scenario *scenario.Scenario
	Plain    bool
	Start    time.Time
	Records  []*load.Record
	Runs     []TargetRun
	Platform platform.Stats // calls while the load ran
	Late     float64        // share of requests that the source sent late
	Died     []string       // processes that ended by themselves
}

// Run runs the scenario once.
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
	defer f.stop()
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
		f.act(actionsCtx, result.Start)
	}()
	result.Records = source.Run(ctx, result.Start)
	cancel()
	<-done
	after, err := f.platformStats(ctx)
	if err != nil {
		return nil, err
	}
	result.Platform = after.Since(before)
	result.Late = source.LateFraction()
	result.Died = f.diedProcesses()
	if err := f.writeTimeLine(ctx); err != nil {
		return nil, err
	}
	f.finish()
	f.stop()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	result.Runs, err = f.readJournals()
	return result, err
}

// newSource returns the load source, which prints a line each second if
// progress is wanted.
func newSource(f *fleet, options Options) *load.Source {
	settings := f.loadSettings(options)
	var source *load.Source
	before := map[string]load.Counts{}
	if options.Out != nil {
		settings.Progress = func(at time.Duration) {
			now := source.Counts()
			_, _ = fmt.Fprintln(options.Out, progressLine(f.scenario, at, before, now, f.noted()))
			before = now
		}
	}
	source = load.NewSource(settings)
	return source
}

// progressLine tells of the last second: whole and refused requests by class.
func progressLine(s *scenario.Scenario, at time.Duration, before, now map[string]load.Counts, notes []string) string {
	var parts []string
	for _, class := range s.Classes {
		if _, used := now[class]; !used {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %d whole, %d refused, %d lost", class,
			now[class].Whole-before[class].Whole, now[class].Refused-before[class].Refused,
			now[class].Other-before[class].Other))
	}
	line := fmt.Sprintf("%4.0fs  %s", at.Seconds(), strings.Join(parts, " | "))
	if len(notes) > 0 {
		line += "   <- " + strings.Join(notes, "; ")
	}
	return line
}

// loadSettings returns what the source needs to drive the fleet.
func (f *fleet) loadSettings(options Options) load.Settings {
	settings := load.Settings{
		Length: f.scenario.Length, ClientDelay: f.scenario.Clients,
		Seed: f.scenario.Seed, RunID: filepath.Base(options.Directory),
	}
	for _, l := range f.scenario.Loads {
		settings.Streams = append(settings.Streams, f.stream(l))
	}
	if !options.Plain {
		settings.Entries = f.entries()
		return settings
	}
	settings.PlainTargets = f.peers()
	settings.PlainTries = plainTries
	return settings
}

func (f *fleet) stream(l scenario.Load) load.Stream {
	op := f.scenario.Operation(l.Operation)
	stream := load.Stream{
		Operation: l.Operation, Class: op.Class, Caller: l.Caller, AtMostOnce: op.Paid,
		Deadline: op.Deadline, MaxCalls: l.Asks, HonoursRetryAfter: l.Polite, Tree: tree(f.scenario, l.Operation),
	}
	for _, point := range l.Points {
		stream.Points = append(stream.Points, load.Point(point))
	}
	return stream
}

func tree(s *scenario.Scenario, operation string) *answer.Tree {
	t := &answer.Tree{Operation: operation}
	for _, child := range s.Operation(operation).Calls {
		t.Children = append(t.Children, tree(s, child))
	}
	return t
}

// LoadScenario reads a scenario file.
func LoadScenario(path string) (*scenario.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(path, string(text))
}

// ScenarioFiles returns the scenario files of a directory, by name.
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
