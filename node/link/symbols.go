package link

import (
	"slices"
	"strings"
)

const (
	// maxSymbols bounds the strings that one direction of a connection names.
	maxSymbols = 4096
	// maxSeen bounds the strings that are remembered to have been sent once.
	maxSeen = 2048
	// separator stands between the parts of a symbol.
	separator = "\x00"
)

// text is a string on the wire: a symbol that the connection has defined before,
// a literal, or a symbol followed by a literal. Symbols count from 1.
type text struct {
	Symbol  uint32
	Literal string
}

// speaker names the strings that one side of a connection sends again and again.
// A string becomes a symbol when it is sent for the second time, so that those
// which occur once take no room.
type speaker struct {
	symbols map[string]uint32
	seen    map[string]struct{}
	defined []string // since the last frame
}

func newSpeaker() *speaker {
	return &speaker{symbols: map[string]uint32{}, seen: map[string]struct{}{}}
}

func (s *speaker) define(str string) uint32 {
	if len(s.symbols) >= maxSymbols {
		return 0
	}
	symbol := uint32(len(s.symbols) + 1)
	s.symbols[str] = symbol
	s.defined = append(s.defined, str)
	return symbol
}

// text returns the wire form of the string.
func (s *speaker) text(str string) text {
	if symbol := s.symbols[str]; symbol != 0 {
		return text{Symbol: symbol}
	}
	if _, again := s.seen[str]; again {
		if symbol := s.define(str); symbol != 0 {
			return text{Symbol: symbol}
		}
	}
	if len(s.seen) >= maxSeen {
		clear(s.seen)
	}
	s.seen[str] = struct{}{}
	return text{Literal: str}
}

// field returns the wire form of a header field: its name alone becomes a symbol
// if its value changes.
func (s *speaker) field(name, value string) text {
	t := s.text(name + separator + value)
	if t.Symbol != 0 {
		return t
	}
	if symbol := s.symbols[name]; symbol != 0 {
		return text{Symbol: symbol, Literal: value}
	}
	if symbol := s.define(name); symbol != 0 {
		return text{Symbol: symbol, Literal: value}
	}
	return t
}

func (s *speaker) fields(header []string) []text {
	if len(header) == 0 {
		return nil
	}
	list := make([]text, 0, len(header)/2)
	for i := 0; i+1 < len(header); i += 2 {
		list = append(list, s.field(header[i], header[i+1]))
	}
	return list
}

// take returns the symbols defined since the last call.
func (s *speaker) take() []string {
	defined := s.defined
	s.defined = nil
	return defined
}

// listener knows the symbols that the other side has defined.
type listener struct{ symbols []string }

func (l *listener) learn(defined []string) bool {
	if len(l.symbols)+len(defined) > maxSymbols {
		return false
	}
	l.symbols = append(l.symbols, defined...)
	return true
}

func (l *listener) symbol(n uint32) string {
	if n == 0 || int(n) > len(l.symbols) {
		return ""
	}
	return l.symbols[n-1]
}

func (l *listener) text(t text) string {
	if t.Symbol == 0 {
		return t.Literal
	}
	return l.symbol(t.Symbol) + t.Literal
}

func (l *listener) fields(list []text) []string {
	if len(list) == 0 {
		return nil
	}
	header := make([]string, 0, 2*len(list))
	for _, t := range list {
		whole := t.Literal
		if t.Symbol != 0 {
			whole = l.symbol(t.Symbol)
			if !strings.Contains(whole, separator) {
				whole += separator + t.Literal
			}
		}
		name, value, _ := strings.Cut(whole, separator)
		header = append(header, name, value)
	}
	return header
}

// envelope is what many calls have in common.
func envelope(c *Call) string {
	return strings.Join([]string{c.Target, c.Service, c.Route, c.Method, c.Host, c.Caller}, separator)
}

func (c *Call) open(envelope string) bool {
	parts := strings.Split(envelope, separator)
	if len(parts) != 6 {
		return false
	}
	c.Target, c.Service, c.Route = parts[0], parts[1], parts[2]
	c.Method, c.Host, c.Caller = parts[3], parts[4], parts[5]
	return true
}

// sortFields orders header fields by name, so that equal headers look alike.
func sortFields(header []string) []string {
	if len(header) <= 2 {
		return header
	}
	type field struct{ name, value string }
	list := make([]field, 0, len(header)/2)
	for i := 0; i+1 < len(header); i += 2 {
		list = append(list, field{header[i], header[i+1]})
	}
	slices.SortStableFunc(list, func(a, b field) int { return strings.Compare(a.name, b.name) })
	sorted := make([]string, 0, len(header))
	for _, f := range list {
		sorted = append(sorted, f.name, f.value)
	}
	return sorted
}
