package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/gypsumford/gypsumford/node"
	"github.com/gypsumford/gypsumford/node/decisionlog"
	"github.com/gypsumford/gypsumford/platform"
)

const (
	// sidecarCommand is the argument that runs the node on the users' platform.
	sidecarCommand = "sidecar"
	// sidecarGCPercent is the growth of the heap, in percent, between garbage
	// collections. It saves processor time at the cost of memory, which
	// memoryLimitShare bounds.
	sidecarGCPercent = 300
	// memoryLimitShare is the soft memory limit of the runtime as a fraction of the
	// memory limit of the process. Near it the garbage collector runs more often.
	memoryLimitShare = 0.6
	// logLinesPerS is the largest number of log lines in a second. It bounds the
	// processor time of logging, since a line takes about 10 microseconds.
	logLinesPerS = 500
	// metricsPortVariable is the environment variable with the port that serves
	// metrics. If it is unset, none are served.
	metricsPortVariable = "GYPSUM_METRICS_PORT"
	// advertisedAddressVariable is the environment variable with the address at
	// which peers reach this node, if that differs from the listen address.
	advertisedAddressVariable = "GYPSUM_ADVERTISED_ADDRESS"
	// spilloverVariable is the environment variable that is "off" if a fixed factor is to
	// decide on leaving the failure domain, in place of package spillover.
	spilloverVariable = "GYPSUM_SPILLOVER"
)

// runSidecar runs a node with the platform's settings file and returns the exit
// status.
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
	if err := readVariables(&settings.Node); err != nil {
		fmt.Fprintf(os.Stderr, "gypsumd %s: %v\n", sidecarCommand, err)
		return 1
	}
	logWriter := decisionlog.NewWriter(os.Stdout, logLinesPerS)
	defer logWriter.Close()
	log := logr.FromSlogHandler(slog.NewJSONHandler(logWriter, nil))
	client := platform.NewClient(settings.StoreAddress)
	client.OnInvalid(func(kind, name string, err error) {
		log.Info("input ignored", "input", "object of the store", "kind", kind, "name", name, "why", err.Error())
	})
	n := node.New(&settings.Node, node.Platform{
		Dialect:        platform.Dialect{},
		Configurations: &platform.Configurations{Client: client},
		Directory:      &platform.Instances{Client: client},
		Epochs:         client,
		Heartbeats:     func(n *node.Node) http.Handler { return platform.HeartbeatHandler(n) },
		Ready:          platform.ReadyHandler,
		LinesOmitted:   logWriter.Omitted,
	}, log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reload(ctx, n, log)
	if err := n.Run(ctx); err != nil {
		log.Error(err, "node failed")
		return 1
	}
	return 0
}

// readVariables adds the settings that are from environment variables, since the
// platform's settings file doesn't have them.
func readVariables(s *node.Settings) error {
	s.AdvertisedAddress = os.Getenv(advertisedAddressVariable)
	if s.AdvertisedAddress != "" {
		if _, _, err := net.SplitHostPort(s.AdvertisedAddress); err != nil {
			return errors.Wrapf(err, "%s: want host:port", advertisedAddressVariable)
		}
	}
	switch value := os.Getenv(spilloverVariable); value {
	case "", "on":
	case "off":
		s.WithoutSpillover = true
	default:
		return errors.Newf("%s: want on or off, got %q", spilloverVariable, value)
	}
	return readMetricsPort(s)
}

// readMetricsPort adds the listen address of the metrics, which has the host of the
// listen address for peers.
func readMetricsPort(s *node.Settings) error {
	port := os.Getenv(metricsPortVariable)
	if port == "" {
		return nil
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return errors.Newf("%s: want a port from 1 to 65535, got %q", metricsPortVariable, port)
	}
	host, _, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	s.MetricsAddress = net.JoinHostPort(host, port)
	return nil
}

// reload reads the settings file again at each SIGHUP, until ctx ends. An invalid
// file changes nothing.
func reload(ctx context.Context, n *node.Node, log logr.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		settings, err := platform.ReadSettings()
		if err != nil {
			log.Error(err, "settings not reloaded, the earlier ones stay in force")
			continue
		}
		n.Reload(&settings.Node)
	}
}
