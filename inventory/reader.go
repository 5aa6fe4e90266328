package inventory

import (
	"go.yaml.in/yaml/v3"

	"github.com/gypsumford/gypsumford/finding"
)

// reader reads values from YAML nodes and collects a finding for each fault.
type reader struct {
	file     string
	findings finding.List
}

// add adds a finding at the line of the node.
func (r *reader) add(node *yaml.Node, path, format string, args ...any) {
	r.addLine(node.Line, path, format, args...)
}

func (r *reader) addLine(line int, path, format string, args ...any) {
	r.findings.Addf(r.file, max(line, 1), path, format, args...)
}

// pathFunc returns the path of a value. It is called only if there is a finding,
// so that valid values cost no formatting of paths.
type pathFunc func() string

// scalar returns the text of a scalar. For any other node it adds a finding and
// returns false.
func (r *reader) scalar(node *yaml.Node, path pathFunc) (string, bool) {
	if node.Kind != yaml.ScalarNode {
		r.add(node, path(), "%s where one value is expected", kindName(node))
		return "", false
	}
	return node.Value, true
}

// list returns the entries of a list. If there are more than maxEntries, it adds a
// finding and returns the first maxEntries. It returns nil if the node is nil or
// not a list.
func (r *reader) list(node *yaml.Node, path string, maxEntries int) []*yaml.Node {
	if node == nil {
		return nil
	}
	if node.Kind != yaml.SequenceNode {
		r.add(node, path, "%s where a list is expected", kindName(node))
		return nil
	}
	if len(node.Content) > maxEntries {
		r.add(node, path, "%d entries, at most %d are allowed", len(node.Content), maxEntries)
		return node.Content[:maxEntries]
	}
	return node.Content
}

// names reads a list of names and returns them, without those that are invalid
// or duplicate, and the line of each.
func (r *reader) names(node *yaml.Node, path string, maxEntries int) (names []string, lines []int) {
	seen := make(map[string]int)
	for i, entry := range r.list(node, path, maxEntries) {
		name := r.name(entry, func() string { return indexPath(path, i) })
		if name == "" || !r.checkUnique(seen, name, entry.Line, path) {
			continue
		}
		names = append(names, name)
		lines = append(lines, entry.Line)
	}
	return names, lines
}

// checkUnique reports whether the name is new, and adds it to seen with its line.
// For a duplicate it adds a finding.
func (r *reader) checkUnique(seen map[string]int, name string, line int, path string) bool {
	if firstLine, duplicate := seen[name]; duplicate {
		r.addLine(line, joinPath(path, name), "duplicate name, first given in line %d", firstLine)
		return false
	}
	seen[name] = line
	return true
}
