package main

import (
	"context"
	"flag"
	"io"
	"net"
	"net/http"

	"github.com/gypsumford/gypsumford/standin/platform"
	"github.com/gypsumford/gypsumford/standin/target"
)

// servePlatform serves the platform's object API until the context ends.
func servePlatform(ctx context.Context, args []string, _ io.Writer) error {
	flags := flag.NewFlagSet("platform", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:7000", "address to listen at")
	seed := flags.Uint64("seed", 1, "seed of the random source that faults use")
	_ = flags.Parse(args)
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	handler := platform.NewServer(platform.NewFaults(*seed)).Handler()
	server := &http.Server{Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// serveTarget serves one target until the context ends, and then until the target has
// drained.
func serveTarget(ctx context.Context, args []string, _ io.Writer) error {
	flags := flag.NewFlagSet("target", flag.ExitOnError)
	file := flags.String("settings", "", "JSON file with the target's settings")
	listen := flags.String("listen", "127.0.0.1:0", "address to listen at")
	node := flags.String("node", "", "call address of the target's node; not used in plain mode, which runs without the layer")
	journal := flags.String("journal", "", "file to which each run of an operation is appended; no journal if empty")
	_ = flags.Parse(args)
	settings, err := target.LoadSettings(*file)
	if err != nil {
		return err
	}
	t, err := target.New(settings, *listen, *node, *journal)
	if err != nil {
		return err
	}
	return t.Serve(ctx)
}
