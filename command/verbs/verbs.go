// Package verbs lists the verbs of gypsumctl.
package verbs

import (
	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/apply"
	"github.com/gypsumford/gypsumford/command/check"
	"github.com/gypsumford/gypsumford/command/diff"
	"github.com/gypsumford/gypsumford/command/drain"
	"github.com/gypsumford/gypsumford/command/explain"
	"github.com/gypsumford/gypsumford/command/get"
	"github.com/gypsumford/gypsumford/command/quarantine"
	"github.com/gypsumford/gypsumford/command/status"
	"github.com/gypsumford/gypsumford/command/timeline"
	"github.com/gypsumford/gypsumford/command/version"
)

// All returns the verbs in the order in which the help lists them.
func All() []command.Verb {
	return []command.Verb{
		check.Verb,
		apply.Verb,
		get.Verb,
		diff.Verb,
		status.Verb,
		drain.Verb,
		quarantine.Verb,
		explain.Verb,
		timeline.Verb,
		version.Verb,
	}
}
