// Package answer defines the response body of the emulated targets. The load
// source checks it: the body names the request and the operation that it belongs
// to, and its sum proves that all child calls ran.
package answer

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"

	"github.com/cockroachdb/errors"
)

// HeaderIdempotencyKey carries the key of an at-most-once request, the same in all
// calls that a caller makes for it. The runs of the request are counted by this key.
// Nodes forward it as any other header.
const HeaderIdempotencyKey = "Idempotency-Key"

// Body is the body of a target's response.
type Body struct {
	RequestID string `json:"request"`   // request id of the call that the target served
	Operation string `json:"operation"` // service/operation
	Sum       string `json:"sum"`       // see Sum
}

// Tree is an operation with the child calls that it makes, in order.
type Tree struct {
	Operation string // service/operation
	Children  []*Tree
}

// Sum returns a hash of the operation, the request's body and the sums of the
// child calls. It proves that a call ran with its body and all of its child calls.
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

// writeField writes a field after its length, so that adjacent fields stay distinct.
func writeField(h hash.Hash64, field []byte) {
	_, _ = fmt.Fprintf(h, "%d:", len(field))
	_, _ = h.Write(field)
}
