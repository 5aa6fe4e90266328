// Package check implements "gypsumctl check", which checks an inventory file
// offline.
package check

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/configuration"
	"github.com/gypsumford/gypsumford/finding"
	"github.com/gypsumford/gypsumford/inventory"
)

const (
	synopsis = "check an inventory file, offline"
	details  = `All findings are reported at once, each with file, line and field.

Examples:
  gypsumctl check inventory.yaml
  gypsumctl check -o json inventory.yaml
  gypsumctl get -platform http://10.0.0.1:7000 | gypsumctl check -`
)

// Verb is "gypsumctl check".
var Verb = command.Verb{Name: "check", Synopsis: synopsis, Run: run}

// report is the output as JSON.
type report struct {
	File       string            `json:"file"`
	OK         bool              `json:"ok"`
	Services   int               `json:"services"`
	Operations int               `json:"operations"`
	Classes    []string          `json:"classes"`
	Findings   []finding.Finding `json:"findings"`
}

func run(_ context.Context, env *command.Env, args []string) error {
	set := env.Settings("check", synopsis, details)
	output := command.OutputFlag(set, command.Text, command.JSON)
	file := set.Argument("FILE", "inventory to check, - for standard input")
	if err := env.Parse(set, args); err != nil {
		return err
	}
	document, err := configuration.ReadFile(*file, env.Stdin)
	var findings *finding.List
	if err != nil && !errors.As(err, &findings) {
		return err
	}
	result := newReport(*file, document.Inventory, findings)
	if *output == command.JSON {
		err = command.WriteJSON(env.Stdout, result)
	} else {
		err = writeText(env, result, findings)
	}
	if err == nil && !result.OK {
		err = errors.Newf("%s in %s", command.Count(findings.Len(), "finding"), *file)
	}
	return err
}

func newReport(file string, inv *inventory.Inventory, findings *finding.List) report {
	result := report{File: file, OK: findings == nil, Classes: []string{}, Findings: []finding.Finding{}}
	if findings != nil {
		result.Findings = findings.Findings()
		return result
	}
	result.Classes = inv.Classes
	result.Services = len(inv.Services)
	for i := range inv.Services {
		result.Operations += len(inv.Services[i].Operations)
	}
	return result
}

func writeText(env *command.Env, result report, findings *finding.List) error {
	if findings != nil {
		_, err := fmt.Fprintln(env.Stdout, findings)
		return errors.Wrap(err, "write the output")
	}
	_, err := fmt.Fprintf(env.Stdout, "%s: no findings: %s, %s, classes %s\n", result.File,
		command.Count(result.Services, "service"), command.Count(result.Operations, "operation"),
		strings.Join(result.Classes, " > "))
	return errors.Wrap(err, "write the output")
}
