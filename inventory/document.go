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

// ObjectKey is the key of the object in the platform's store that holds the
// inventory.
const ObjectKey = "config/inventory"

// gzipMagic is the prefix of each compressed document.
var gzipMagic = []byte{0x1f, 0x8b}

// yamlLine matches the line number in an error of the YAML library.
var yamlLine = regexp.MustCompile(`line (\d+): `)

// Encode returns a document as it is stored: compressed if it is large.
func Encode(document []byte) ([]byte, error) {
	if len(document) <= CompressAboveBytes {
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

// Decode returns the text of a stored document, which may be compressed. It
// returns an error if a compressed document is larger than MaxDocumentBytes, or
// if the text is larger than MaxExpandedBytes.
func Decode(data []byte) ([]byte, error) {
	if len(data) > MaxDocumentBytes && bytes.HasPrefix(data, gzipMagic) {
		return nil, errors.Newf("document of %d bytes, at most %d are allowed", len(data), MaxDocumentBytes)
	}
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, checkExpandedSize(len(data))
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "compressed document")
	}
	text, err := io.ReadAll(io.LimitReader(reader, MaxExpandedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed document")
	}
	return text, checkExpandedSize(len(text))
}

func checkExpandedSize(size int) error {
	if size > MaxExpandedBytes {
		return errors.Newf("document of more than %d bytes of text", MaxExpandedBytes)
	}
	return nil
}

// decodeTree returns the root node of the only YAML document in data. If there
// is none, or if data exceeds a limit, it adds a finding and returns nil.
func decodeTree(file string, data []byte, findings *finding.List) *yaml.Node {
	text, err := Decode(data)
	if err != nil {
		findings.Addf(file, 1, "", "%s", err)
		return nil
	}
	if delimiters := countDelimiters(text); delimiters > MaxDelimiters {
		findings.Addf(file, 1, "", "document of %d YAML delimiters (line ends, commas, colons and such), at most %d are allowed", delimiters, MaxDelimiters)
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

// countDelimiters counts the delimiters in a YAML text. At least one stands
// before or after each node, so the text has at most about twice as many nodes.
func countDelimiters(text []byte) int {
	delimiters := 0
	for i, b := range text {
		switch b {
		case '\n', '\r', ',', '[', '{', ':', '?':
			delimiters++
		case '-':
			if i+1 < len(text) && text[i+1] == ' ' {
				delimiters++
			}
		}
	}
	return delimiters
}
