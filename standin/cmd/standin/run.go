package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/standin/bench"
	"github.com/gypsumford/gypsumford/standin/scenario"
)

// runFlags holds the flags of the verbs that run scenarios.
type runFlags struct {
	gypsumd   string
	gypsumctl string
	out       string
	only      string
	verbose   bool
	timeline  bool
}

func parseRunFlags(verb string, args []string) (runFlags, []string) {
	var f runFlags
	flags := flag.NewFlagSet(verb, flag.ExitOnError)
	flags.StringVar(&f.gypsumd, "gypsumd", "bin/gypsumd", "path of the daemon")
	flags.StringVar(&f.gypsumctl, "gypsumctl", "bin/gypsumctl", "path of the operators' client")
	flags.StringVar(&f.out, "out", "out", "directory for logs, journals and bench.json")
	flags.StringVar(&f.only, "only", "", "run scenarios only with or only without the layer: with, without")
	flags.BoolVar(&f.verbose, "v", false, "print a line of progress each second")
	flags.BoolVar(&f.timeline, "timeline", verb == "demo", "write an HTML page with the timeline of the run with the layer")
	_ = flags.Parse(args)
	return f, flags.Args()
}

// runScenarios runs each scenario file, prints one line per figure and writes all
// figures to bench.json. For a directory it runs the scenario files in it.
func runScenarios(ctx context.Context, args []string, stdout io.Writer) error {
	flags, paths := parseRunFlags("run", args)
	files, err := scenarioFiles(paths)
	if err != nil {
		return err
	}
	var lines []bench.ReportLine
	var failures error
	for _, file := range files {
		scenarioLines, err := runScenario(ctx, flags, file, stdout)
		lines = append(lines, scenarioLines...)
		if err != nil {
			failures = errors.CombineErrors(failures, errors.Wrapf(err, "%s", file))
			_, _ = fmt.Fprintf(stdout, "failed: %s: %v\n", file, err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return errors.CombineErrors(failures, bench.WriteReport(filepath.Join(flags.out, "bench.json"), lines))
}

func runScenario(ctx context.Context, flags runFlags, file string, stdout io.Writer) ([]bench.ReportLine, error) {
	s, err := bench.LoadScenario(file)
	if err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintf(stdout, "# %s\n", s.Name)
	var with, without *bench.Result
	if flags.only != "with" {
		if without, err = runOnce(ctx, flags, s, true, stdout); err != nil {
			return nil, err
		}
	}
	if flags.only != "without" {
		if with, err = runOnce(ctx, flags, s, false, stdout); err != nil {
			return nil, err
		}
	}
	lines := bench.ReportLines(s, with, without)
	for _, line := range lines {
		_, _ = fmt.Fprintln(stdout, line)
	}
	if with != nil && len(s.Promises) > 0 {
		_, _ = fmt.Fprintln(stdout, "promises:")
		bench.PrintPromises(stdout, with)
	}
	return lines, nil
}

func runOnce(ctx context.Context, flags runFlags, s *scenario.Scenario, plain bool, stdout io.Writer) (*bench.Result, error) {
	title := "with the layer"
	directory := filepath.Join(flags.out, s.Name, "with")
	if plain {
		title = "without the layer"
		directory = filepath.Join(flags.out, s.Name, "without")
	}
	standin, err := os.Executable()
	if err != nil {
		return nil, err
	}
	options := bench.Options{Gypsumd: flags.gypsumd, Standin: standin, Directory: directory, Plain: plain}
	if flags.verbose {
		options.Progress = stdout
		_, _ = fmt.Fprintf(stdout, "%s, %s\n", s.Name, title)
	}
	if flags.timeline && !plain {
		options.Gypsumctl = flags.gypsumctl
		options.Timeline = filepath.Join(flags.out, "timeline.html")
	}
	result, err := bench.Run(ctx, s, options)
	if err != nil {
		return nil, err
	}
	bench.PrintTable(stdout, title, result)
	if options.Timeline != "" {
		_, _ = fmt.Fprintf(stdout, "  timeline: %s\n", options.Timeline)
	}
	return result, nil
}

// errBrokenPromise is the error of a run that broke a promise of its scenario.
var errBrokenPromise = errors.New("a promise was broken")

// demo runs one scenario with the layer and fails if a promise was broken.
func demo(ctx context.Context, args []string, stdout io.Writer) error {
	flags, files := parseRunFlags("demo", args)
	if len(files) != 1 {
		return errors.New("want one scenario file")
	}
	s, err := bench.LoadScenario(files[0])
	if err != nil {
		return err
	}
	flags.verbose = true
	result, err := runOnce(ctx, flags, s, false, stdout)
	if err != nil {
		return err
	}
	for _, line := range bench.ReportLines(s, result, nil) {
		_, _ = fmt.Fprintf(stdout, "  %s\n", line)
	}
	if !bench.PrintPromises(stdout, result) {
		return errBrokenPromise
	}
	return nil
}

// check parses scenario files and prints the errors of each.
func check(_ context.Context, args []string, stdout io.Writer) error {
	files, err := scenarioFiles(args)
	if err != nil {
		return err
	}
	var failures error
	for _, file := range files {
		if _, err := bench.LoadScenario(file); err != nil {
			_, _ = fmt.Fprintln(stdout, err)
			failures = errors.New("some scenario files have errors")
		}
	}
	return failures
}

func scenarioFiles(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		directoryFiles, err := bench.ScenarioFiles(path)
		if err != nil {
			return nil, err
		}
		files = append(files, directoryFiles...)
	}
	if len(files) == 0 {
		return nil, errors.New("want scenario files or a directory of them")
	}
	return files, nil
}
