package inventory

import "go.yaml.in/yaml/v3"

// maxFields is the largest number of fields of one mapping that are read; no
// mapping of an inventory has more than ten.
const maxFields = 64

// mapping is a YAML mapping from which the parser takes the fields that it knows,
// one by one; those that are left are unknown.
type mapping struct {
	reader *reader
	path   string
	node   *yaml.Node
	taken  []bool // by position of the field; also true if the key is invalid or a duplicate
}

// mapping returns the node as a mapping with its keys checked. For a node of
// another kind it adds a finding and returns nil.
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

// checkKey adds a finding if the key at the position is not a scalar or is a
// duplicate, and marks it as taken so that it isn't reported as unknown, too.
func (m *mapping) checkKey(i int) {
	key := m.node.Content[2*i]
	if key.Kind != yaml.ScalarNode {
		m.reader.add(key, m.path, "%s where the name of a field is expected", kindName(key))
		m.taken[i] = true
		return
	}
	if first := m.find(key.Value); first != i {
		m.reader.add(key, m.fieldPath(key.Value), "duplicate field, first given in line %d", m.node.Content[2*first].Line)
		m.taken[i] = true
	}
}

// find returns the position of the first field with the name, or -1.
func (m *mapping) find(field string) int {
	for i := range m.taken {
		key := m.node.Content[2*i]
		if key.Value == field && key.Kind == yaml.ScalarNode {
			return i
		}
	}
	return -1
}

// fieldPath returns the path of a field of the mapping.
func (m *mapping) fieldPath(field string) string { return joinPath(m.path, truncate(field)) }

// take returns the value of a field, or nil if it is absent or null, and marks
// the field as known.
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

// require returns the value of a field as take does, and adds a finding if there
// is none.
func (m *mapping) require(field string) *yaml.Node {
	value := m.take(field)
	if value == nil {
		m.reader.add(m.node, m.fieldPath(field), "required, but missing")
	}
	return value
}

// reportUnknown adds a finding for each field that wasn't taken.
func (m *mapping) reportUnknown() {
	for i, taken := range m.taken {
		if key := m.node.Content[2*i]; !taken {
			m.reader.add(key, m.fieldPath(key.Value), "unknown field")
		}
	}
}
