package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
)

// moduleRoot is the root directory of the module, relative to this package.
const moduleRoot = ".."

// mutation replaces one guard in the source; the named test must then fail.
type mutation struct {
	Name    string `yaml:"name"`
	Promise string `yaml:"promise"`
	File    string `yaml:"file"`    // relative to the root of the module
	Guard   string `yaml:"guard"`   // text that occurs exactly once in the file
	Replace string `yaml:"replace"` // text that replaces the guard
	Package string `yaml:"package"` // package of the test
	Test    string `yaml:"test"`
}

// TestMutations runs the test of each mutation on the mutated source. A test that passes
// without its guard wouldn't catch the loss of the guard.
func TestMutations(t *testing.T) {
	for _, m := range readMutations(t) {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			m.check(t)
		})
	}
}

func readMutations(t *testing.T) []mutation {
	t.Helper()
	text, err := os.ReadFile("testdata/mutations.yaml")
	if err != nil {
		t.Fatal(err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	var list []mutation
	if err := decoder.Decode(&list); err != nil {
		t.Fatal(err)
	}
	return list
}

// check reports an error unless the mutated source builds and the test fails on it.
func (m *mutation) check(t *testing.T) {
	output, err := m.runTest(t, m.writeOverlay(t))
	switch {
	case err == nil:
		t.Errorf("%s %s passes without the guard of the promise: %s", m.Package, m.Test, m.Promise)
	case !strings.Contains(output, "--- FAIL: "+m.Test):
		t.Errorf("go test failed, but not by a failure of %s:\n%s", m.Test, output)
	default:
		t.Logf("caught by %s %s: %s", m.Package, m.Test, firstFailure(output))
	}
}

// writeOverlay writes the mutated file and returns the path of an overlay for the go
// command that replaces the original file by it.
func (m *mutation) writeOverlay(t *testing.T) string {
	file, err := filepath.Abs(filepath.Join(moduleRoot, m.File))
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(source), m.Guard); n != 1 {
		t.Fatalf("%s contains the guard %d times, want once:\n%s", m.File, n, m.Guard)
	}
	mutated := strings.Replace(string(source), m.Guard, m.Replace, 1)
	if _, err := parser.ParseFile(token.NewFileSet(), m.File, mutated, 0); err != nil {
		t.Fatalf("mutated file does not parse: %v", err)
	}
	dir := t.TempDir()
	patched := filepath.Join(dir, filepath.Base(m.File))
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {file: patched}})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "overlay.json")
	for name, content := range map[string][]byte{patched: []byte(mutated), path: overlay} {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

func (m *mutation) runTest(t *testing.T, overlay string) (string, error) {
	// The overlay is passed in GOFLAGS, as TestProcesses builds binaries, which must
	// contain the mutation, too.
	flags := strings.TrimSpace(goFlags(t) + " -overlay=" + overlay)
	pattern := "^" + strings.ReplaceAll(m.Test, "/", "$/^") + "$"
	arguments := []string{"test", "-count=1", "-vet=off", "-run", pattern, m.Package}
	if m.usesRapid(t) {
		arguments = append(arguments, "-rapid.shrinktime=1ms", "-rapid.nofailfile")
	}
	command := exec.Command("go", arguments...)
	command.Dir = moduleRoot
	command.Env = append(os.Environ(), "GOFLAGS="+flags)
	output, err := command.CombinedOutput()
	return string(output), err
}

func goFlags(t *testing.T) string {
	t.Helper()
	flags, err := exec.Command("go", "env", "GOFLAGS").Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(flags))
}

// usesRapid reports whether the package's tests import rapid and so accept its flags.
func (m *mutation) usesRapid(t *testing.T) bool {
	files, err := filepath.Glob(filepath.Join(moduleRoot, m.Package, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range tree.Imports {
			if spec.Path.Value == `"pgregory.net/rapid"` {
				return true
			}
		}
	}
	return false
}

// firstFailure returns the first line of output that states why the test failed.
func firstFailure(output string) string {
	for _, line := range strings.Split(output, "\n") {
		inTest := strings.Contains(line, "_test.go:") && !strings.Contains(line, "[rapid] draw")
		if inTest || strings.Contains(line, "FAIL: testdata/") || strings.Contains(line, "Expected:") {
			return strings.TrimSpace(line)
		}
	}
	return fmt.Sprintf("%d bytes of output", len(output))
}
