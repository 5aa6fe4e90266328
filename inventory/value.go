package inventory

import (
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

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
