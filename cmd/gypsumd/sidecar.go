package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"

	"github.com/gypsumford/gypsumford/node"
	"github.com/gypsumford/gypsumford/platform"
)

const (
	// sidecarCommand runs the node on the users' platform.
	sidecarCommand = "sidecar"
	// sidecarGCPercent trades memory for processor time; memory is bounded by
	// memoryLimitShare.
	sidecarGCPercent = 300
	// memoryLimitShare of the process's limit is where the collector runs
	// ever more often.
	memoryLimitShare = 0.6
)

// runSidecar runs a node with the platform's settings file.
func runSidecar() int {
	settings, err := platform.ReadSettings()
	if err != nil {
		fmt.Fprintf(os.Stderr, "gypsumd %s: %v\n", sidecarCommand, err)
		return 1
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(sidecarGCPercent)
	}
	if limit := settings.Node.MemoryBytes; limit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(limit) * memoryLimitShare))
	}
	log := logr.FromSlogHandler(slog.NewJSONHandler(os.Stdout, nil))
	client := platform.NewClient(settings.StoreAddress)
	n := node.New(&settings.Node, node.Platform{
		Dialect:        platform.Dialect{},
		Configurations: &platform.Configurations{Client: client},
		Directory:      &platform.Instances{Client: client},
		Heartbeats:     func(n *node.Node) http.Handler { return platform.HeartbeatHandler(n) },
		Ready:          platform.ReadyHandler,
	}, log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := n.Run(ctx); err != nil {
		log.Error(err, "node failed")
		return 1
	}
	return 0
}
