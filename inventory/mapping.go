package inventory

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/gypsumford/gypsumford/finding"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

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

// mapping is a YAML mapping whose fields are taken one by one.
type mapping struct {
	reader *reader
	path   string
	node   *yaml.Node
	fields map[string]*yaml.Node
	known  map[string]bool
}

// mapping reads the keys of a mapping. For any other node it adds a finding and
// returns nil.
func (r *reader) mapping(node *yaml.Node, path string) *mapping {
	if node.Kind != yaml.MappingNode {
		r.add(node, path, "%s where fields are expected", kindName(node))
		return nil
	}
	m := &mapping{
		reader: r, path: path, node: node,
		fields: make(map[string]*yaml.Node, len(node.Content)/2),
		known:  make(map[string]bool, len(node.Content)/2),
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		m.addField(node.Content[i], node.Content[i+1])
	}
	return m
}

func (m *mapping) addField(key, value *yaml.Node) {
	if key.Kind != yaml.ScalarNode {
		m.reader.add(key, m.path, "%s where the name of a field is expected", kindName(key))
		return
	}
	if first, twice := m.fields[key.Value]; twice {
		m.reader.add(key, m.at(key.Value), "field given twice, first in line %d", first.Line)
		return
	}
	m.fields[key.Value] = value
}

// at returns the path of a field of the mapping.
func (m *mapping) at(field string) string { return join(m.path, clip(field)) }

// take returns the value of a field, or nil if it is absent or null.
func (m *mapping) take(field string) *yaml.Node {
	m.known[field] = true
	value := m.fields[field]
	if value == nil || value.Kind == yaml.ScalarNode && value.Tag == "!!null" {
		return nil
	}
	return value
}

// require returns the value of a field and adds a finding if there is none.
func (m *mapping) require(field string) *yaml.Node {
	value := m.take(field)
	if value == nil {
		m.reader.add(m.node, m.at(field), "required, but missing")
	}
	return value
}

// close adds a finding for each field that nobody took.
func (m *mapping) close() {
	for i := 0; i+1 < len(m.node.Content); i += 2 {
		key := m.node.Content[i]
		if key.Kind == yaml.ScalarNode && !m.known[key.Value] {
			m.known[key.Value] = true
			m.reader.add(key, m.at(key.Value), "unknown field")
		}
	}
}

// scalar returns the text of a scalar, or false after it has added a finding.
func (r *reader) scalar(node *yaml.Node, path string) (string, bool) {
	if node.Kind != yaml.ScalarNode {
		r.add(node, path, "%s where one value is expected", kindName(node))
		return "", false
	}
	return node.Value, true
}

// name reads a name, or returns "" after it has added a finding.
func (r *reader) name(node *yaml.Node, path string) string {
	text, ok := r.scalar(node, path)
	if !ok {
		return ""
	}
	if len(text) > MaxNameBytes || !namePattern.MatchString(text) {
		r.add(node, path, "%q is no name: at most %d lower-case letters, digits and hyphens, the first a letter", clip(text), MaxNameBytes)
		return ""
	}
	return text
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
		name := r.name(entry, index(path, i))
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

// int reads an optional number.
func (m *mapping) int(field string, bounds intBounds, fallback int) int {
	node := m.take(field)
	if node == nil {
		return fallback
	}
	return m.reader.int(node, m.at(field), bounds, fallback)
}

// requireInt reads a required number.
func (m *mapping) requireInt(field string, bounds intBounds) int {
	node := m.require(field)
	if node == nil {
		return bounds.lowest
	}
	return m.reader.int(node, m.at(field), bounds, bounds.lowest)
}

func (r *reader) int(node *yaml.Node, path string, bounds intBounds, fallback int) int {
	text, ok := r.scalar(node, path)
	if !ok {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		r.add(node, path, "%q is no whole number; the field has no unit", clip(text))
		return fallback
	}
	if value < bounds.lowest || value > bounds.highest {
		r.add(node, path, "%d is out of bounds, from %d to %d are allowed", value, bounds.lowest, bounds.highest)
		return fallback
	}
	return value
}

// duration reads an optional duration.
func (m *mapping) duration(field string, bounds durationBounds, fallback time.Duration) time.Duration {
	node := m.take(field)
	if node == nil {
		return fallback
	}
	return m.reader.duration(node, m.at(field), bounds, fallback)
}

func (r *reader) duration(node *yaml.Node, path string, bounds durationBounds, fallback time.Duration) time.Duration {
	text, ok := r.scalar(node, path)
	if !ok {
		return fallback
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		r.add(node, path, "%q has no unit, write it as %sms or %ss", clip(text), clip(text), clip(text))
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		r.add(node, path, "%q is no duration with a unit (us, ms, s, m, h), such as 250ms", clip(text))
		return fallback
	}
	if value < bounds.shortest || value > bounds.longest {
		r.add(node, path, "%s is out of bounds, from %s to %s are allowed", value, bounds.shortest, bounds.longest)
		return fallback
	}
	return value
}

// bool reads an optional field that is true or false.
func (m *mapping) bool(field string) bool {
	node := m.take(field)
	if node == nil {
		return false
	}
	switch node.Value {
	case "true":
		return true
	case "false":
		return false
	}
	m.reader.add(node, m.at(field), "%q is neither true nor false", clip(node.Value))
	return false
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// clip shortens a text of the input for a message.
func clip(text string) string {
	const longest = 80
	if len(text) <= longest {
		return text
	}
	return text[:longest] + "..."
}

func kindName(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a group of fields"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	default:
		return "a single value"
	}
}
