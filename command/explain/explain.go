// Package explain implements "gypsumctl explain", which shows where a request would go now, and
// why.
package explain

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/table"
	"github.com/gypsumford/gypsumford/node"
	"github.com/gypsumford/gypsumford/settings"
)

const (
	synopsis = "show where a request would go now, and why"
	details  = `The node at the metrics address is asked as the entry node. Nothing is sent or counted.
Shown are the route, the account, the pressures that admission decides by, the other failure
domains, and the candidate targets, the likeliest first. Scores, latencies, costs and gains are
multiples of the route's mean latency; CHANCE is the probability of the first send.

Examples:
  gypsumctl explain -metrics 10.0.0.7:7635 -host shop.example -path /orders
  gypsumctl explain -metrics 10.0.0.7:7635 -host shop.example -path /orders -account a17 -o json`
)

// Verb is "gypsumctl explain".
var Verb = command.Verb{Name: "explain", Synopsis: synopsis, Run: run}

func run(ctx context.Context, env *command.Env, args []string) error {
	set := env.Settings("explain", synopsis, details)
	address := set.HostPort("metrics", "", "metrics address of the entry node", settings.Required)
	host := set.String("host", "", "host that the request names", settings.Required)
	path := set.String("path", "", "path of the request", settings.Required)
	account := set.String("account", "", "name of the client account; empty for a request without a key")
	awaited := set.Bool("awaited", "other responses of the connection wait for this one")
	output := command.OutputFlag(set, command.Text, command.JSON)
	timeout := command.TimeoutFlag(set)
	if err := env.Parse(set, args); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	query := url.Values{"host": {*host}, "path": {*path}, "account": {*account}, "awaited": {fmt.Sprint(*awaited)}}
	e, err := ask(ctx, *address, query)
	if err != nil {
		return err
	}
	if *output == command.JSON {
		return command.WriteJSON(env.Stdout, e)
	}
	return errors.Wrap(write(env.Stdout, e), "write the output")
}

// ask returns the node's explanation.
func ask(ctx context.Context, address string, query url.Values) (*node.Explanation, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+node.ExplainPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", address)
	}
	response, err := command.NewHTTPClient().Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", address)
	}
	defer func() { _ = response.Body.Close() }() // the body is read to its end below
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "response of node %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("node %s: %s (status %d)", address, strings.TrimSpace(string(content)), response.StatusCode)
	}
	var e node.Explanation
	if err := json.Unmarshal(content, &e); err != nil || e.Instance == "" {
		return nil, errors.Newf("node %s sent no explanation, is this its metrics address?", address)
	}
	return &e, nil
}

// write prints an explanation as text.
func write(w io.Writer, e *node.Explanation) error {
	account := e.Account
	if account == "" {
		account = "none"
	}
	if _, err := fmt.Fprintf(w, "entry %s in failure domain %s, configuration %d\nroute %s, account %s, priority %d\n",
		table.Printable(e.Instance), table.Printable(e.Domain), e.Version, table.Printable(e.Route), table.Printable(account), e.Priority); err != nil {
		return err
	}
	if e.Refused != "" {
		if _, err := fmt.Fprintf(w, "refused: %s\n", e.Refused); err != nil {
			return err
		}
	}
	pressures := table.New("PRESSURE OF", "REQUESTS", "PRESSURE", "AGE MS", "ADMITTED")
	for _, p := range e.Pressures {
		pressure, age := "unknown", ""
		if p.Known {
			pressure, age = fmt.Sprintf("%.2f", p.Pressure), fmt.Sprint(p.AgeMs)
		}
		pressures.Row(p.Service, fmt.Sprintf("%.2f", p.Requests), pressure, age, fmt.Sprintf("%.3f", p.Share))
	}
	if err := section(w, pressures); err != nil {
		return err
	}
	for i := range e.Services {
		if err := writeService(w, &e.Services[i]); err != nil {
			return err
		}
	}
	return nil
}

func writeService(w io.Writer, s *node.ExplainedService) error {
	how := "a fixed factor decides"
	if s.Spillover {
		how = "a share by marginal cost"
	}
	if _, err := fmt.Fprintf(w, "\nservice %s, weight %.3f; leaving the failure domain costs %.2f, %s\n",
		table.Printable(s.Service), s.Weight, s.Crossing, how); err != nil {
		return err
	}
	domains := table.New("OTHER DOMAIN", "TARGETS", "USED", "REPORTS", "COST", "GAIN", "SHARE")
	for _, d := range s.Domains {
		domains.Row(d.Domain, d.Targets, fmt.Sprintf("%.2f", d.Used), fmt.Sprintf("%.2f", d.Reports),
			fmt.Sprintf("%.2f", d.Cost), fmt.Sprintf("%.2f", d.Gain), fmt.Sprintf("%.3f", d.Share))
	}
	if err := section(w, domains); err != nil {
		return err
	}
	if len(s.Targets) == 0 {
		_, err := fmt.Fprintln(w, "no target accepts requests")
		return err
	}
	slices.SortStableFunc(s.Targets, func(a, b node.ExplainedTarget) int { return cmp.Compare(b.Chance, a.Chance) })
	targets := table.New("TARGET", "INSTANCE", "DOMAIN", "CHANCE", "SCORE", "LATENCY", "FAILS", "REFUSES", "RUNNING", "WAITING", "SLOTS", "AGE MS", "STATE")
	for i := range s.Targets {
		t := &s.Targets[i]
		age := ""
		if t.LoadAgeMs >= 0 {
			age = fmt.Sprint(t.LoadAgeMs)
		}
		targets.Row(t.Target, t.Instance, t.Domain, fmt.Sprintf("%.3f", t.Chance), fmt.Sprintf("%.2f", t.Score), fmt.Sprintf("%.2f", t.Latency),
			fmt.Sprintf("%.2f", t.Failures), fmt.Sprintf("%.2f", t.Refusals), t.Running, t.Waiting, t.Slots, age, t.State)
	}
	return section(w, targets)
}

// section prints a table, unless it is empty.
func section(w io.Writer, t *table.Table) error {
	if t.Len() == 0 {
		return nil
	}
	return t.Write(w)
}
