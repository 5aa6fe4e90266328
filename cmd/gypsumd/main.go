// Command gypsumd is the node daemon that runs beside each target instance. With
// the argument "sidecar" it runs the node on the users' platform.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"

	"github.com/gypsumford/gypsumford/agent"
	"github.com/gypsumford/gypsumford/node/decisionlog"
	"github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/settings"
)

// gcPercent is the growth of the heap, in percent, between garbage collections. It is
// higher than the runtime's default: the heap of a node is small, and fewer
// collections save processor time on the path of a call.
const gcPercent = 400

// memoryLimitBytes is the soft memory limit of the runtime, near which the garbage
// collector runs more often. Nodes that forward many large bodies need a higher
// limit, which GOMEMLIMIT sets.
const memoryLimitBytes = 64 << 20

func main() {
	if len(os.Args) == 2 && os.Args[1] == sidecarCommand {
		os.Exit(runSidecar())
	}
	os.Exit(run())
}

func run() int {
	set := settings.New("gypsumd", os.Getenv)
	set.Describe("gypsumd is the node daemon beside one target instance.",
		"SIGTERM and SIGINT stop it gracefully: no call in flight is cut off.")
	parsed := agent.DeclareSettings(set)
	if err := set.Parse(os.Args[1:]); err != nil {
		return set.Report(err, os.Stdout, os.Stderr)
	}
	logWriter := decisionlog.NewWriter(os.Stderr, logLinesPerS)
	defer logWriter.Close()
	log := logr.FromSlogHandler(slog.NewJSONHandler(logWriter, nil))
	tuneCollector()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := agent.New(parsed, platform.NewObjects(*parsed.Platform), log)
	if err != nil {
		log.Error(err, "node can't start")
		return 1
	}
	if err := node.Run(ctx); err != nil {
		log.Error(err, "node failed")
		return 1
	}
	return 0
}

// tuneCollector configures the garbage collector, except for values that the
// runtime's own environment variables set.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}
