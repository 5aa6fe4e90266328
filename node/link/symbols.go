package link

import (
	"slices"
	"strings"
)

const (
	// maxSymbols bounds the symbols of one direction of a connection.
	maxSymbols = 4096
	// maxSentOnce bounds the strings that are recorded as sent without a symbol. When
	// it is reached, all of them are dropped.
	maxSentOnce = 2048
	// separator separates the parts of a symbol.
	separator = "\x00"
)

// text is a string on the wire: a symbol that was defined before on the connection,
// a literal, or a symbol followed by a literal. Symbols are numbered from 1; 0 means
// none.
type text struct {
	Symbol  uint32
	Literal string
}

// symbolEncoder replaces strings that one side of a connection sends repeatedly by
// symbols. A string becomes a symbol when it is sent for the second time, so that
// strings which occur once don't use up the symbols.
type symbolEncoder struct {
	symbols  map[string]uint32
	sentOnce map[string]struct{}
	defined  []string // since the last frame, in order
}

func newSymbolEncoder() *symbolEncoder {
	return &symbolEncoder{symbols: map[string]uint32{}, sentOnce: map[string]struct{}{}}
}

// define makes the string a symbol. It returns 0 if there is no symbol left.
func (e *symbolEncoder) define(str string) uint32 {
	if len(e.symbols) >= maxSymbols {
		return 0
	}
	symbol := uint32(len(e.symbols) + 1)
	e.symbols[str] = symbol
	e.defined = append(e.defined, str)
	return symbol
}

// text returns the wire form of the string.
func (e *symbolEncoder) text(str string) text {
	if symbol := e.symbols[str]; symbol != 0 {
		return text{Symbol: symbol}
	}
	if _, sentBefore := e.sentOnce[str]; sentBefore {
		if symbol := e.define(str); symbol != 0 {
			return text{Symbol: symbol}
		}
	}
	if len(e.sentOnce) >= maxSentOnce {
		clear(e.sentOnce)
	}
	e.sentOnce[str] = struct{}{}
	return text{Literal: str}
}

// optional is like text, but uses no symbol for an empty string.
func (e *symbolEncoder) optional(str string) text {
	if str == "" {
		return text{}
	}
	return e.text(str)
}

// field returns the wire form of a header field. Name and value together become a
// symbol if they repeat; until then the name alone is one.
func (e *symbolEncoder) field(name, value string) text {
	t := e.text(name + separator + value)
	if t.Symbol != 0 {
		return t
	}
	if symbol := e.symbols[name]; symbol != 0 {
		return text{Symbol: symbol, Literal: value}
	}
	if symbol := e.define(name); symbol != 0 {
		return text{Symbol: symbol, Literal: value}
	}
	return t
}

func (e *symbolEncoder) fields(header []string) []text {
	if len(header) == 0 {
		return nil
	}
	list := make([]text, 0, len(header)/2)
	for i := 0; i+1 < len(header); i += 2 {
		list = append(list, e.field(header[i], header[i+1]))
	}
	return list
}

// takeDefined returns the symbols defined since it was last called.
func (e *symbolEncoder) takeDefined() []string {
	defined := e.defined
	e.defined = nil
	return defined
}

// symbolDecoder holds the symbols that the other side has defined.
type symbolDecoder struct{ symbols []string }

// define adds symbols. It returns false if there are more than maxSymbols.
func (d *symbolDecoder) define(defined []string) bool {
	if len(d.symbols)+len(defined) > maxSymbols {
		return false
	}
	d.symbols = append(d.symbols, defined...)
	return true
}

// lookup returns the string of a symbol, "" if it isn't defined.
func (d *symbolDecoder) lookup(n uint32) string {
	if n == 0 || int(n) > len(d.symbols) {
		return ""
	}
	return d.symbols[n-1]
}

func (d *symbolDecoder) text(t text) string {
	if t.Symbol == 0 {
		return t.Literal
	}
	return d.lookup(t.Symbol) + t.Literal
}

func (d *symbolDecoder) fields(list []text) []string {
	if len(list) == 0 {
		return nil
	}
	header := make([]string, 0, 2*len(list))
	for _, t := range list {
		field := t.Literal
		if t.Symbol != 0 {
			field = d.lookup(t.Symbol)
			if !strings.Contains(field, separator) {
				field += separator + t.Literal
			}
		}
		name, value, _ := strings.Cut(field, separator)
		header = append(header, name, value)
	}
	return header
}

// joinEnvelope joins the parts of a call that many calls have in common, so that one
// symbol can replace them.
func joinEnvelope(c *Call) string {
	return strings.Join([]string{c.TargetID, c.Service, c.Route, c.Method, c.Host, c.CallerService}, separator)
}

// setEnvelope sets the parts that joinEnvelope joined. It returns false if they aren't
// complete.
func (c *Call) setEnvelope(envelope string) bool {
	parts := strings.Split(envelope, separator)
	if len(parts) != 6 {
		return false
	}
	c.TargetID, c.Service, c.Route = parts[0], parts[1], parts[2]
	c.Method, c.Host, c.CallerService = parts[3], parts[4], parts[5]
	return true
}

// sortFields orders header fields by name, so that headers with the same fields are
// encoded alike.
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
