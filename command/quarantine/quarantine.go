// Package quarantine implements "gypsumctl quarantine", which lists, shows and releases
// requests that are kept from targets because they crash them.
package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/table"
	"github.com/gypsumford/gypsumford/node"
	decisions "github.com/gypsumford/gypsumford/quarantine"
	"github.com/gypsumford/gypsumford/settings"
)

const (
	synopsis = "list, show and release requests that crash targets"
	details  = `A request that was in flight at a crash of a target is a suspect; after three crashes
without a run that completes it is in quarantine, and all nodes refuse it. All nodes know
the same ones, so any node can be asked. A released request runs again at once, and is
held again after three further crashes.

Examples:
  gypsumctl quarantine -metrics 10.0.0.7:7635
  gypsumctl quarantine -metrics 10.0.0.7:7635 -fingerprint 45388c39521bb3539f4d51b13629654e
  gypsumctl quarantine -metrics 10.0.0.7:7635 -release 45388c39521bb3539f4d51b13629654e`
)

// Verb is "gypsumctl quarantine".
var Verb = command.Verb{Name: "quarantine", Synopsis: synopsis, Run: run}

func run(ctx context.Context, env *command.Env, args []string) error {
	set := env.Settings("quarantine", synopsis, details)
	address := set.HostPort("metrics", "", "metrics address of any node that runs", settings.Required)
	only := set.String("fingerprint", "", "show the evidence against this request alone", isFingerprint)
	release := set.String("release", "", "fingerprint of the request to release", isFingerprint)
	output := command.OutputFlag(set, command.Text, command.JSON)
	timeout := command.TimeoutFlag(set)
	if err := env.Parse(set, args); err != nil {
		return err
	}
	if *only != "" && *release != "" {
		env.Notef("%s quarantine: -fingerprint and -release exclude each other", env.Program)
		return command.ErrUsage
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	if *release != "" {
		return releaseRequest(ctx, env, *address, *release, *output)
	}
	var list node.QuarantineList
	if err := call(ctx, http.MethodGet, *address, node.QuarantinePath, &list); err != nil {
		return err
	}
	if *only != "" {
		return show(env, &list, *only, *output)
	}
	if *output == command.JSON {
		return command.WriteJSON(env.Stdout, list)
	}
	return writeList(env.Stdout, &list)
}

// isFingerprint checks a flag's value, which may be empty.
func isFingerprint(text string) error {
	var f decisions.Fingerprint
	if text == "" {
		return nil
	}
	return f.UnmarshalText([]byte(text))
}

func releaseRequest(ctx context.Context, env *command.Env, address, fingerprint, output string) error {
	var released node.Released
	path := node.QuarantinePath + strings.Replace(node.ReleasePath, "{fingerprint}", fingerprint, 1)
	if err := call(ctx, http.MethodPost, address, path, &released); err != nil {
		return err
	}
	if output == command.JSON {
		return command.WriteJSON(env.Stdout, released)
	}
	_, err := fmt.Fprintf(env.Stdout, "request %s is released; evidence that counts no more: %s\n",
		released.Fingerprint, command.Count(released.Crashes, "report"))
	return errors.Wrap(err, "write the output")
}

// show prints the evidence against one request.
func show(env *command.Env, list *node.QuarantineList, fingerprint, output string) error {
	for i := range list.Requests {
		r := &list.Requests[i]
		if r.Fingerprint.String() != fingerprint {
			continue
		}
		if output == command.JSON {
			return command.WriteJSON(env.Stdout, r)
		}
		if _, err := fmt.Fprintf(env.Stdout, "request %s: %s%s\n", r.Fingerprint, r.Status, untilText(r)); err != nil {
			return errors.Wrap(err, "write the output")
		}
		evidence := table.New("CRASH", "INSTANCE", "SERVICE", "VERSION", "REFUTED")
		for _, e := range r.Evidence {
			evidence.Row(timeText(e.At), e.Instance, e.Service, e.Version, e.Refuted)
		}
		return errors.Wrap(evidence.Write(env.Stdout), "write the output")
	}
	return errors.Newf("node %s holds no evidence against request %s", list.Instance, fingerprint)
}

func writeList(w io.Writer, list *node.QuarantineList) error {
	if len(list.Requests) == 0 {
		_, err := fmt.Fprintln(w, "no request is in quarantine or suspected")
		return errors.Wrap(err, "write the output")
	}
	requests := table.New("FINGERPRINT", "STATUS", "CRASHES", "FIRST", "LAST", "UNTIL")
	for i := range list.Requests {
		r := &list.Requests[i]
		requests.Row(r.Fingerprint, r.Status, r.Crashes, timeText(r.Since), timeText(r.Last), timeText(r.Until))
	}
	return errors.Wrap(requests.Write(w), "write the output")
}

func untilText(r *decisions.Listed) string {
	if r.Status != decisions.Quarantined {
		return ""
	}
	return " until " + timeText(r.Until)
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// call sends a request to a node and decodes its response.
func call(ctx context.Context, method, address, path string, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrapf(err, "node %s", address)
	}
	response, err := command.NewHTTPClient().Do(request)
	if err != nil {
		return errors.Wrapf(err, "node %s", address)
	}
	defer func() { _ = response.Body.Close() }() // the body is read to its end below
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrapf(err, "response of node %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("node %s: %s (status %d)", address, strings.TrimSpace(string(content)), response.StatusCode)
	}
	return errors.Wrapf(json.Unmarshal(content, out), "response of node %s, is this its metrics address?", address)
}
