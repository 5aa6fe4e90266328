// Package answer defines the response body of the emulated targets. The body names
// the request and the operation that it belongs to, and carries a hash which proves
// that all child calls ran. The load source checks both.
package answer

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"

	"github.com/cockroachdb/errors"
)

// HeaderIdempotencyKey names the header with the key of an at-most-once request. All
// calls that a caller sends for the request carry the same key, and the request's runs
// are counted by it.
// Nodes forward it as any other header.
const HeaderIdempotencyKey = "Idempotency-Key"

// Body is the body of a target's response.
type Body struct {
	RequestID string `json:"request"`   // request id of the call that the target served
	Operation string `json:"operation"` // service/operation
	Sum       string `json:"sum"`       // hash in hexadecimal, see Sum
}

// Tree is an operation with the child calls that it makes, in order.
type Tree struct {
	Operation string // service/operation
	Children  []*Tree
}

// Sum returns a 64-bit hash, in hexadecimal, of the operation, the request's body and
// the sums of the child calls. It proves that a call ran with its body and all of its
// child calls.
func Sum(operation string, body []byte, children []string) string {
	h := fnv.New64a()
	writeField(h, []byte(operation))
	writeField(h, body)
	for _, child := range children {
		writeField(h, []byte(child))
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// ExpectedSum returns the sum of a complete response, one for which every call of
// the tree ran with the body.
func (t *Tree) ExpectedSum(body []byte) string {
	children := make([]string, len(t.Children))
	for i, child := range t.Children {
		children[i] = child.ExpectedSum(body)
	}
	return Sum(t.Operation, body, children)
}

// Parse parses a response body.
func Parse(body []byte) (Body, error) {
	var parsed Body
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Body{}, errors.Wrap(err, "answer")
	}
	return parsed, nil
}

// writeField writes the field's length and then the field, so that adjacent fields stay
// distinct.
func writeField(h hash.Hash64, field []byte) {
	_, _ = fmt.Fprintf(h, "%d:", len(field))
	_, _ = h.Write(field)
}
