package inventory

import (
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

// name reads a name. If the node has none that is valid, it adds a finding and
// returns "".
func (r *reader) name(node *yaml.Node, path pathFunc) string {
	text, ok := r.scalar(node, path)
	if !ok {
		return ""
	}
	if len(text) > MaxNameBytes || !isName(text) {
		r.add(node, path(), "%q is not a valid name: want at most %d lower-case letters, digits and hyphens, the first a letter", truncate(text), MaxNameBytes)
		return ""
	}
	return text
}

// isName reports whether the text is a letter followed by letters, digits and
// hyphens; letters are lower-case.
func isName(text string) bool {
	for i, c := range []byte(text) {
		letter := c >= 'a' && c <= 'z'
		digitOrHyphen := c >= '0' && c <= '9' || c == '-'
		if !letter && (!digitOrHyphen || i == 0) {
			return false
		}
	}
	return text != ""
}

// int reads an optional whole number. It returns fallback if the field is absent,
// and also if it is invalid, after adding a finding.
func (m *mapping) int(field string, bounds intBounds, fallback int) int {
	node := m.take(field)
	if node == nil {
		return fallback
	}
	return m.parseInt(node, field, bounds, fallback)
}

// requireInt reads a required whole number. If the field is absent or invalid, it
// adds a finding and returns the lowest valid value.
func (m *mapping) requireInt(field string, bounds intBounds) int {
	node := m.require(field)
	if node == nil {
		return bounds.lowest
	}
	return m.parseInt(node, field, bounds, bounds.lowest)
}

func (m *mapping) parseInt(node *yaml.Node, field string, bounds intBounds, fallback int) int {
	text, ok := m.reader.scalar(node, func() string { return m.fieldPath(field) })
	if !ok {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		m.reader.add(node, m.fieldPath(field), "%q is not a whole number; the field takes no unit", truncate(text))
		return fallback
	}
	if value < bounds.lowest || value > bounds.highest {
		m.reader.add(node, m.fieldPath(field), "%d is out of bounds, from %d to %d are allowed", value, bounds.lowest, bounds.highest)
		return fallback
	}
	return value
}

// duration reads an optional duration. It returns fallback if the field is absent,
// and also if it is invalid, after adding a finding.
func (m *mapping) duration(field string, bounds durationBounds, fallback time.Duration) time.Duration {
	node := m.take(field)
	if node == nil {
		return fallback
	}
	return m.parseDuration(node, field, bounds, fallback)
}

// requireDuration reads a required duration. If the field is absent or invalid, it
// adds a finding and returns the shortest valid value.
func (m *mapping) requireDuration(field string, bounds durationBounds) time.Duration {
	node := m.require(field)
	if node == nil {
		return bounds.shortest
	}
	return m.parseDuration(node, field, bounds, bounds.shortest)
}

func (m *mapping) parseDuration(node *yaml.Node, field string, bounds durationBounds, fallback time.Duration) time.Duration {
	text, ok := m.reader.scalar(node, func() string { return m.fieldPath(field) })
	if !ok {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if (err != nil || value == 0) && isNumber(text) {
		m.reader.add(node, m.fieldPath(field), "%q has no unit, write it as %sms or %ss", truncate(text), truncate(text), truncate(text))
		return fallback
	}
	if err != nil {
		m.reader.add(node, m.fieldPath(field), "%q is not a duration with a unit (us, ms, s, m, h), such as 250ms", truncate(text))
		return fallback
	}
	if value < bounds.shortest || value > bounds.longest {
		m.reader.add(node, m.fieldPath(field), "%s is out of bounds, from %s to %s are allowed", value, bounds.shortest, bounds.longest)
		return fallback
	}
	return value
}

// isNumber reports whether the text is a number without a unit. Such a text can
// pass time.ParseDuration: it accepts "0".
func isNumber(text string) bool {
	_, err := strconv.ParseFloat(text, 64)
	return err == nil
}

// bool reads an optional field that is true or false. It returns false if the
// field is absent, and also if it is invalid, after adding a finding.
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
	m.reader.add(node, m.fieldPath(field), "%q is neither true nor false", truncate(node.Value))
	return false
}
