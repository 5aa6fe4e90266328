package inventory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// maxJSONDepth is the deepest nesting that is read; the inventory needs six.
const maxJSONDepth = 32

// errTooManyNodes: a document in JSON has more than MaxMarks values.
var errTooManyNodes = errors.Newf("document of more than %d values", MaxMarks)

// jsonReader builds the nodes that the YAML library would build from a document
// in JSON, at a fraction of its time.
type jsonReader struct {
	decoder *json.Decoder
	text    []byte
	offset  int // up to which lines are counted
	line    int
	nodes   int
}

// decodeJSON returns the root node of a document in JSON. Each document in JSON
// is one in YAML too; what this function refuses may still be YAML.
func decodeJSON(text []byte) (*yaml.Node, error) {
	r := &jsonReader{decoder: json.NewDecoder(bytes.NewReader(text)), text: text, line: 1}
	r.decoder.UseNumber()
	root, err := r.value(0)
	if err != nil {
		return nil, err
	}
	if _, err := r.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("text after the document")
	}
	return root, nil
}

func (r *jsonReader) value(depth int) (*yaml.Node, error) {
	token, err := r.decoder.Token()
	if err != nil {
		return nil, err
	}
	return r.valueOf(token, depth)
}

func (r *jsonReader) valueOf(token json.Token, depth int) (*yaml.Node, error) {
	if r.nodes++; r.nodes > MaxMarks {
		return nil, errTooManyNodes
	}
	if depth > maxJSONDepth {
		return nil, errors.New("nested too deep")
	}
	node := &yaml.Node{Kind: yaml.ScalarNode, Line: r.currentLine()}
	switch value := token.(type) {
	case json.Delim:
		return node, r.children(node, value, depth)
	case string:
		node.Tag, node.Value = "!!str", value
	case json.Number:
		node.Tag, node.Value = "!!int", value.String()
	case bool:
		node.Tag, node.Value = "!!bool", fmt.Sprint(value)
	default:
		node.Tag, node.Value = "!!null", "null"
	}
	return node, nil
}

// children reads the entries of an object or an array, keys included, up to its
// end.
func (r *jsonReader) children(node *yaml.Node, opening json.Delim, depth int) error {
	node.Kind = yaml.SequenceNode
	if opening == '{' {
		node.Kind = yaml.MappingNode
	}
	for r.decoder.More() {
		child, err := r.value(depth + 1)
		if err != nil {
			return err
		}
		node.Content = append(node.Content, child)
	}
	_, err := r.decoder.Token()
	return err
}

// currentLine counts the lines up to the value that was read last.
func (r *jsonReader) currentLine() int {
	end := int(r.decoder.InputOffset())
	r.line += bytes.Count(r.text[r.offset:end], []byte{'\n'})
	r.offset = end
	return r.line
}

// encodeJSON writes nodes as JSON, each entry of a list on a line of its own.
func encodeJSON(out *bytes.Buffer, node *yaml.Node) error {
	switch node.Kind {
	case yaml.MappingNode:
		return encodeObject(out, node)
	case yaml.SequenceNode:
		return encodeArray(out, node)
	}
	if node.Tag == "!!int" || node.Tag == "!!bool" {
		out.WriteString(node.Value)
		return nil
	}
	return encodeString(out, node.Value)
}

func encodeObject(out *bytes.Buffer, node *yaml.Node) error {
	out.WriteByte('{')
	for i := 0; i+1 < len(node.Content); i += 2 {
		if i > 0 {
			out.WriteByte(',')
		}
		if err := encodeString(out, node.Content[i].Value); err != nil {
			return err
		}
		out.WriteByte(':')
		if err := encodeJSON(out, node.Content[i+1]); err != nil {
			return err
		}
	}
	out.WriteByte('}')
	return nil
}

func encodeArray(out *bytes.Buffer, node *yaml.Node) error {
	out.WriteByte('[')
	for i, child := range node.Content {
		if i > 0 {
			out.WriteString(",\n")
		}
		if err := encodeJSON(out, child); err != nil {
			return err
		}
	}
	out.WriteByte(']')
	return nil
}

func encodeString(out *bytes.Buffer, text string) error {
	quoted, err := json.Marshal(text)
	out.Write(quoted)
	return err
}
