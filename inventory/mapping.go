package inventory

import (
	"fmt"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/gypsumford/gypsumford/finding"
)

// maxFields is the number of fields of one group that are read; the inventory
// has no group of more than ten.
const maxFields = 64

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
	taken  []bool // by the position of the field
}

// mapping checks the keys of a mapping. For any other node it adds a finding and
// returns nil.
func (r *reader) mapping(node *yaml.Node, path string) *mapping {
	if node.Kind != yaml.MappingNode {
		r.add(node, path, "%s where fields are expected", kindName(node))
		return nil
	}
	if len(node.Content) > 2*maxFields {
		r.add(node, path, "%d fields, at most %d are read", len(node.Content)/2, maxFields)
		node.Content = node.Content[:2*maxFields]
	}
	m := &mapping{reader: r, path: path, node: node, taken: make([]bool, len(node.Content)/2)}
	for i := range m.taken {
		m.checkKey(i)
	}
	return m
}

// checkKey adds a finding if the key is no name of a field, or given before, and
// keeps its value from being taken then.
func (m *mapping) checkKey(i int) {
	key := m.node.Content[2*i]
	if key.Kind != yaml.ScalarNode {
		m.reader.add(key, m.path, "%s where the name of a field is expected", kindName(key))
		m.taken[i] = true
		return
	}
	if first := m.find(key.Value); first != i {
		m.reader.add(key, m.at(key.Value), "field given twice, first in line %d", m.node.Content[2*first].Line)
		m.taken[i] = true
	}
}

// find returns the position of the first field of the name, or -1.
func (m *mapping) find(field string) int {
	for i := range m.taken {
		key := m.node.Content[2*i]
		if key.Value == field && key.Kind == yaml.ScalarNode {
			return i
		}
	}
	return -1
}

// at returns the path of a field of the mapping.
func (m *mapping) at(field string) string { return join(m.path, clip(field)) }

// take returns the value of a field, or nil if it is absent or null.
func (m *mapping) take(field string) *yaml.Node {
	i := m.find(field)
	if i < 0 {
		return nil
	}
	m.taken[i] = true
	value := m.node.Content[2*i+1]
	if value.Kind == yaml.ScalarNode && value.Tag == "!!null" {
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
	for i, taken := range m.taken {
		if key := m.node.Content[2*i]; !taken {
			m.reader.add(key, m.at(key.Value), "unknown field")
		}
	}
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

// name reads a name, or returns "" after it has added a finding.
func (r *reader) name(node *yaml.Node, at place) string {
	text, ok := r.scalar(node, at)
	if !ok {
		return ""
	}
	if len(text) > MaxNameBytes || !isName(text) {
		r.add(node, at(), "%q is no name: at most %d lower-case letters, digits and hyphens, the first a letter", clip(text), MaxNameBytes)
		return ""
	}
	return text
}

// isName reports whether the text has the characters of a name.
func isName(text string) bool {
	for i, c := range []byte(text) {
		letter := c >= 'a' && c <= 'z'
		inner := c >= '0' && c <= '9' || c == '-'
		if !letter && (!inner || i == 0) {
			return false
		}
	}
	return text != ""
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

// int reads an optional number.
func (m *mapping) int(field string, bounds intBounds, fallback int) int {
	node := m.take(field)
	if node == nil {
		return fallback
	}
	return m.parseInt(node, field, bounds, fallback)
}

// requireInt reads a required number.
func (m *mapping) requireInt(field string, bounds intBounds) int {
	node := m.require(field)
	if node == nil {
		return bounds.lowest
	}
	return m.parseInt(node, field, bounds, bounds.lowest)
}

func (m *mapping) parseInt(node *yaml.Node, field string, bounds intBounds, fallback int) int {
	text, ok := m.reader.scalar(node, func() string { return m.at(field) })
	if !ok {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		m.reader.add(node, m.at(field), "%q is no whole number; the field has no unit", clip(text))
		return fallback
	}
	if value < bounds.lowest || value > bounds.highest {
		m.reader.add(node, m.at(field), "%d is out of bounds, from %d to %d are allowed", value, bounds.lowest, bounds.highest)
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
	return m.parseDuration(node, field, bounds, fallback)
}

// requireDuration reads a required duration.
func (m *mapping) requireDuration(field string, bounds durationBounds) time.Duration {
	node := m.require(field)
	if node == nil {
		return bounds.shortest
	}
	return m.parseDuration(node, field, bounds, bounds.shortest)
}

func (m *mapping) parseDuration(node *yaml.Node, field string, bounds durationBounds, fallback time.Duration) time.Duration {
	text, ok := m.reader.scalar(node, func() string { return m.at(field) })
	if !ok {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if (err != nil || value == 0) && isNumber(text) {
		m.reader.add(node, m.at(field), "%q has no unit, write it as %sms or %ss", clip(text), clip(text), clip(text))
		return fallback
	}
	if err != nil {
		m.reader.add(node, m.at(field), "%q is no duration with a unit (us, ms, s, m, h), such as 250ms", clip(text))
		return fallback
	}
	if value < bounds.shortest || value > bounds.longest {
		m.reader.add(node, m.at(field), "%s is out of bounds, from %s to %s are allowed", value, bounds.shortest, bounds.longest)
		return fallback
	}
	return value
}

// isNumber reports whether the text is a number without a unit; "0" alone would
// be a duration otherwise.
func isNumber(text string) bool {
	_, err := strconv.ParseFloat(text, 64)
	return err == nil
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
