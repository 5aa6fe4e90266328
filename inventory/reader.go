package inventory

import (
	"go.yaml.in/yaml/v3"

	"github.com/gypsumford/gypsumford/finding"
)

// reader turns YAML nodes into values and collects what is wrong with them.
type reader struct {
	file     string
	findings finding.List
}

// add adds a finding at the node.
func (r *reader) add(node *yaml.Node, path, format string, args ...any) {
	r.addLine(node.Line, path, format, args...)
}

func (r *reader) addLine(line int, path, format string, args ...any) {
	r.findings.Addf(r.file, max(line, 1), path, format, args...)
}

// place returns the path of a value. It is called for findings only.
type place func() string

// scalar returns the text of a scalar, or false after it has added a finding.
func (r *reader) scalar(node *yaml.Node, at place) (string, bool) {
	if node.Kind != yaml.ScalarNode {
		r.add(node, at(), "%s where one value is expected", kindName(node))
		return "", false
	}
	return node.Value, true
}

// list returns the entries of a list of at most highest entries.
func (r *reader) list(node *yaml.Node, path string, highest int) []*yaml.Node {
	if node == nil {
		return nil
	}
	if node.Kind != yaml.SequenceNode {
		r.add(node, path, "%s where a list is expected", kindName(node))
		return nil
	}
	if len(node.Content) > highest {
		r.add(node, path, "%d entries, at most %d are allowed", len(node.Content), highest)
		return node.Content[:highest]
	}
	return node.Content
}

// names reads a list of names without duplicates; the lines are those of the
// names.
func (r *reader) names(node *yaml.Node, path string, highest int) (names []string, lines []int) {
	seen := make(map[string]int)
	for i, entry := range r.list(node, path, highest) {
		name := r.name(entry, func() string { return index(path, i) })
		if name == "" || !r.first(seen, name, entry.Line, path) {
			continue
		}
		names = append(names, name)
		lines = append(lines, entry.Line)
	}
	return names, lines
}

// first reports whether the name is new, and adds a finding if it isn't.
func (r *reader) first(seen map[string]int, name string, line int, path string) bool {
	if before, twice := seen[name]; twice {
		r.addLine(line, join(path, name), "name given twice, first in line %d", before)
		return false
	}
	seen[name] = line
	return true
}
