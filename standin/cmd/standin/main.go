// Command standin is the test bench. It emulates the platform and the targets in
// processes of their own, and runs scenarios over them with and without the overload
// control layer, so that the figures of both runs can be compared.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

const usage = `usage: standin VERB [flags] [arguments]

verbs:
  platform   serve a stand-in of the platform's object API from memory
  target     serve one stand-in of a target
  run        run scenario files with and without the layer, print figures
  demo       run one scenario with the layer, print a table and the promises
  check      parse scenario files and report all errors

Each verb takes -help. Scenario files are described in scenarios/README.md.
`

// Exit codes of the process.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the verb that the arguments name and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		_, _ = fmt.Fprint(stderr, usage)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	verbs := map[string]func(context.Context, []string, io.Writer) error{
		"platform": servePlatform,
		"target":   serveTarget,
		"run":      runScenarios,
		"demo":     demo,
		"check":    check,
	}
	verb := verbs[args[0]]
	if verb == nil {
		_, _ = fmt.Fprint(stderr, usage)
		return exitUsage
	}
	if err := verb(ctx, args[1:], stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "standin %s: %v\n", args[0], err)
		return exitFailure
	}
	return 0
}
