package inventory

import "go.yaml.in/yaml/v3"

// maxFields is the number of fields of one group that are read; the inventory
// has no group of more than ten.
const maxFields = 64

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
