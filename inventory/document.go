package inventory

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/gypsumford/gypsumford/finding"
)

// ObjectKey is the key of the platform's object that holds the inventory.
const ObjectKey = "config/inventory"

// gzipMagic begins each document that is compressed.
var gzipMagic = []byte{0x1f, 0x8b}

// yamlLine finds the line number in an error of the YAML library.
var yamlLine = regexp.MustCompile(`line (\d+): `)

// Encode returns a document as it is stored: compressed if it is large.
func Encode(document []byte) ([]byte, error) {
	if len(document) <= CompressAbove {
		return document, nil
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress the inventory")
	}
	if _, err := writer.Write(document); err != nil {
		return nil, errors.Wrap(err, "compress the inventory")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the inventory")
	}
	return buffer.Bytes(), nil
}

// Decode returns the text of a document that may be compressed. It fails on
// documents above MaxDocumentBytes, or above MaxExpandedBytes as text.
func Decode(data []byte) ([]byte, error) {
	if len(data) > MaxDocumentBytes && bytes.HasPrefix(data, gzipMagic) {
		return nil, errors.Newf("document of %d bytes, at most %d are allowed", len(data), MaxDocumentBytes)
	}
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, checkExpanded(len(data))
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "compressed document")
	}
	text, err := io.ReadAll(io.LimitReader(reader, MaxExpandedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed document")
	}
	return text, checkExpanded(len(text))
}

func checkExpanded(size int) error {
	if size > MaxExpandedBytes {
		return errors.Newf("document of more than %d bytes of text", MaxExpandedBytes)
	}
	return nil
}

// decodeTree returns the root node of the only YAML document in data, or nil
// after it has added findings.
func decodeTree(file string, data []byte, findings *finding.List) *yaml.Node {
	text, err := Decode(data)
	if err != nil {
		findings.Addf(file, 1, "", "%s", err)
		return nil
	}
	if marks := countMarks(text); marks > MaxMarks {
		findings.Addf(file, 1, "", "document of %d YAML marks, at most %d are allowed", marks, MaxMarks)
		return nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		addYAMLError(file, err, findings)
		return nil
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		findings.Addf(file, max(second.Line, 1), "", "a second YAML document, only one is allowed")
		return nil
	}
	if len(document.Content) == 0 {
		addYAMLError(file, io.EOF, findings)
		return nil
	}
	return document.Content[0]
}

func addYAMLError(file string, err error, findings *finding.List) {
	if errors.Is(err, io.EOF) {
		findings.Addf(file, 1, "", "the document is empty")
		return
	}
	line := 1
	if match := yamlLine.FindStringSubmatch(err.Error()); match != nil {
		line, _ = strconv.Atoi(match[1])
	}
	findings.Add(finding.Finding{File: file, Line: max(line, 1), Message: fmt.Sprintf("no valid YAML: %s", err)})
}

// countMarks counts the marks one of which stands before or after each YAML
// node, so the number of nodes is at most about twice as high.
func countMarks(text []byte) int {
	marks := 0
	for i, b := range text {
		switch b {
		case '\n', '\r', ',', '[', '{', ':', '?':
			marks++
		case '-':
			if i+1 < len(text) && text[i+1] == ' ' {
				marks++
			}
		}
	}
	return marks
}
