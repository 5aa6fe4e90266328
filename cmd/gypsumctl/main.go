// Command gypsumctl is the operators' client for nodes and the platform.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/verbs"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	env := &command.Env{
		Program: "gypsumctl",
		Stdin:   os.Stdin,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Getenv:  os.Getenv,
	}
	status := command.Main(ctx, env, verbs.All(), os.Args[1:])
	stop()
	os.Exit(status)
}
