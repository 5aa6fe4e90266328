package verbs

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/gypsumford/gypsumford/agent"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/settings"
	"github.com/gypsumford/gypsumford/timeline"
)

// TestOperationsPage checks that docs/OPERATIONS.md names every flag, variable,
// metric, source of bad input, reason and kind of event that the code defines.
func TestOperationsPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	expect := func(what, text string) {
		if !strings.Contains(page, text) {
			t.Errorf("%s: the page lacks %s", what, text)
		}
	}
	daemon := settings.New("gypsumd", os.Getenv)
	agent.DeclareSettings(daemon)
	for _, name := range daemon.Names() {
		expect("gypsumd", "| `-"+name+"` | `"+settings.Variable(name)+"` |")
	}
	for _, verb := range All() {
		expect("verbs", "\n### "+verb.Name+"\n")
		for _, name := range flagsOf(t, verb) {
			expect(verb.Name, "`-"+name+"`")
		}
	}
	metrics := daemonSources(t, `\b(?:newMap|newInt|Gauge)\("([a-z_]+)"`)
	if len(metrics) < 15 {
		t.Fatalf("only %d metrics found", len(metrics))
	}
	for _, name := range metrics {
		expect("metrics", "| `"+name+"` |")
	}
	for _, source := range daemonSources(t, `(?:BadInput\.Add\(|refuseInput\(w, )"([a-z-]+)"`) {
		expect("sources of bad input", "`"+source+"`")
	}
	for _, reason := range call.Reasons() {
		expect("reasons", "| `"+reason.String()+"` |")
	}
	for _, kind := range timeline.Kinds() {
		expect("kinds", "`"+kind.String()+"`")
	}
}

// flagsOf returns the names of the flags in the help of a verb.
func flagsOf(t *testing.T, verb command.Verb) []string {
	var out bytes.Buffer
	env := &command.Env{Program: "gypsumctl", Stdout: &out, Stderr: &out, Getenv: func(string) string { return "" }}
	command.Main(context.Background(), env, []command.Verb{verb}, []string{verb.Name, "-help"})
	matches := regexp.MustCompile(`(?m)^  -(\S+) `).FindAllStringSubmatch(out.String(), -1)
	if len(matches) == 0 {
		t.Errorf("%s: no flags in the help", verb.Name)
	}
	var names []string
	for _, match := range matches {
		names = append(names, match[1])
	}
	return names
}

// daemonSources returns the texts that the group of the pattern matches in the source
// files of the daemon.
func daemonSources(t *testing.T, pattern string) []string {
	compiled := regexp.MustCompile(pattern)
	var names []string
	for _, directory := range []string{"../../agent", "../../agent/metrics"} {
		files, err := filepath.Glob(filepath.Join(directory, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range compiled.FindAllStringSubmatch(string(source), -1) {
				names = append(names, match[1])
			}
		}
	}
	return names
}
