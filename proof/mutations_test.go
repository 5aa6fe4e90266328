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

// moduleRoot is the module's directory, seen from this package.
const moduleRoot = ".."

// mutation takes one guard out of the code; the named test must then fail.
type mutation struct {
	Name    string `yaml:"name"`
	Promise string `yaml:"promise"`
	File    string `yaml:"file"`    // relative to the module's root
	Guard   string `yaml:"guard"`   // text that stands once in the file
	Replace string `yaml:"replace"` // text that takes its place
	Package string `yaml:"package"` // whose test must fail
	Test    string `yaml:"test"`
}

// TestMutations runs each test on code without its guard.
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

// check fails unless the mutated package builds and its test fails.
func (m *mutation) check(t *testing.T) {
	output, err := m.runTest(t, m.writeOverlay(t))
	switch {
	case err == nil:
		t.Errorf("%s %s passes without the guard of: %s", m.Package, m.Test, m.Promise)
	case !strings.Contains(output, "--- FAIL: "+m.Test):
		t.Errorf("%s does not run to its verdict:\n%s", m.Test, output)
	default:
		t.Logf("caught by %s %s: %s", m.Package, m.Test, firstFailure(output))
	}
}

// writeOverlay writes the mutated file and returns the path of the overlay that
// puts it in the place of the real one.
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
		t.Fatalf("%s has the guard %d times, want once:\n%s", m.File, n, m.Guard)
	}
	mutated := strings.Replace(string(source), m.Guard, m.Replace, 1)
	if _, err := parser.ParseFile(token.NewFileSet(), m.File, mutated, 0); err != nil {
		t.Fatalf("mutated: %v", err)
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
	// Scripts over processes build binaries, which must be mutated, too.
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

// usesRapid reports whether the package's tests have the flags of rapid.
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

// firstFailure returns the line that tells what the test saw.
func firstFailure(output string) string {
	for _, line := range strings.Split(output, "\n") {
		inTest := strings.Contains(line, "_test.go:") && !strings.Contains(line, "[rapid] draw")
		if inTest || strings.Contains(line, "FAIL: testdata/") || strings.Contains(line, "Expected:") {
			return strings.TrimSpace(line)
		}
	}
	return fmt.Sprintf("%d bytes of output", len(output))
}
