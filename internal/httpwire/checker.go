package httpwire

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/internal/httpstatus"
)

const (
	// maxSectionBytes bounds a head, a trailer section, and the size line of a chunk.
	maxSectionBytes = 64 << 10
	// maxInterimResponses bounds the interim (1xx) responses before a final one.
	maxInterimResponses = 8
	// maxLengthDigits bounds a Content-Length, which then fits into 63 bits.
	maxLengthDigits = 18
	// maxChunkDigits bounds the size of a chunk, which then fits into 63 bits.
	maxChunkDigits = 15
)

// ErrInvalid means that the bytes on a connection aren't a response in HTTP/1.1.
var ErrInvalid = errors.New("invalid HTTP response")

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// position is the part of a response to which the next byte belongs.
type position uint8

const (
	betweenResponses position = iota
	statusLine
	headerField
	bodyOfLength
	chunkSize
	chunkData
	chunkEnd // the line end after the data of a chunk
	trailerField
	bodyUntilClose
)

// checker follows the responses on a connection and finds the first invalid byte. It does no I/O.
// The zero value is ready for use.
type checker struct {
	method   string // of the request
	position position
	line     []byte // the current line, as far as it was received
	section  int    // bytes of the current section before the line
	interim  int    // interim responses before the final one
	left     int64  // bytes left of the body or of the chunk
	head     head
}

// head is what the head of a response states about what follows.
type head struct {
	status  int
	http10  bool
	length  int64
	lengths int // number of fields Content-Length
	codings int // number of fields Transfer-Encoding
}

// check follows the bytes. It returns how many of them may be used, and ErrInvalid if these aren't
// all. A line is released with its last byte only after it was checked.
func (k *checker) check(p []byte) (valid int, err error) {
	for valid < len(p) {
		rest := p[valid:]
		switch k.position {
		case bodyUntilClose:
			return len(p), nil
		case bodyOfLength, chunkData:
			n := min(k.left, int64(len(rest)))
			k.left -= n
			valid += int(n)
			if k.left == 0 {
				k.endData()
			}
			continue
		case betweenResponses:
			k.position = statusLine
		}
		n, whole := len(rest), false
		if i := bytes.IndexByte(rest, '\n'); i >= 0 {
			n, whole = i+1, true
		}
		if k.section+len(k.line)+n > maxSectionBytes {
			return valid, errors.Wrap(ErrInvalid, "head, trailer section or chunk size exceeds the limit")
		}
		k.line = append(k.line, rest[:n]...)
		if whole {
			if err := k.endLine(); err != nil {
				return valid, err
			}
		}
		valid += n
	}
	return valid, nil
}

// end returns the error of a connection that ends here: io.EOF if no response is cut off.
func (k *checker) end() error {
	if k.position == betweenResponses {
		return io.EOF
	}
	return io.ErrUnexpectedEOF
}

// endData ends a body of known length, or the data of a chunk.
func (k *checker) endData() {
	if k.position == chunkData {
		k.position = chunkEnd
		return
	}
	k.endResponse()
}

func (k *checker) endResponse() {
	k.position, k.interim = betweenResponses, 0
	k.section = 0
}

// endLine checks the current line, which ends with a line feed.
func (k *checker) endLine() error {
	line := k.line
	k.section += len(line)
	k.line = k.line[:0]
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return errors.Wrap(ErrInvalid, "line doesn't end with CR LF")
	}
	if i := indexControl(line); i >= 0 {
		return errors.Wrapf(ErrInvalid, "control byte 0x%02x in the line %s", line[i], quoteName(line))
	}
	switch k.position {
	case statusLine:
		k.position = headerField
		return k.head.readStatusLine(line)
	case headerField:
		if len(line) > 0 {
			return k.head.readField(line)
		}
		k.section = 0
		return k.endHead()
	case chunkSize:
		return k.readChunkSize(line)
	case chunkEnd:
		if len(line) > 0 {
			return errors.Wrap(ErrInvalid, "chunk is longer than its size")
		}
		k.position = chunkSize
		k.section = 0
		return nil
	default: // trailerField
		if len(line) > 0 {
			return checkTrailer(line)
		}
		k.endResponse()
		return nil
	}
}

// endHead decides how the body is framed.
func (k *checker) endHead() error {
	h := k.head
	k.head = head{}
	isInterim := httpstatus.IsInterim(h.status)
	switch {
	case h.lengths > 1 || h.codings > 1 || h.lengths > 0 && h.codings > 0:
		return errors.Wrap(ErrInvalid, "head states the length of the body more than once")
	case h.codings > 0 && h.http10:
		return errors.Wrap(ErrInvalid, "Transfer-Encoding in HTTP/1.0")
	case (isInterim || h.status == http.StatusNoContent) && (h.codings > 0 || h.length > 0):
		return errors.Wrapf(ErrInvalid, "status %d with a body", h.status)
	case isInterim:
		if k.interim++; k.interim > maxInterimResponses {
			return errors.Wrap(ErrInvalid, "too many interim responses")
		}
		k.position = statusLine
	case k.method == http.MethodHead || h.status == http.StatusNoContent || h.status == http.StatusNotModified:
		k.endResponse()
	case h.codings > 0:
		k.position = chunkSize
	case h.lengths == 0:
		k.position = bodyUntilClose
	case h.length == 0:
		k.endResponse()
	default:
		k.position, k.left = bodyOfLength, h.length
	}
	return nil
}

// readStatusLine reads a status line, whose space after the status is required even without a
// reason phrase.
func (h *head) readStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, _, found := bytes.Cut(rest, []byte(" "))
	h.http10 = string(version) == "HTTP/1.0"
	if !h.http10 && string(version) != "HTTP/1.1" || !found || len(status) != 3 || !isDigits(status) {
		return errors.Wrapf(ErrInvalid, "status line %s", quote(line))
	}
	h.status, _ = strconv.Atoi(string(status)) // has three digits
	if !httpstatus.IsInterim(h.status) && !httpstatus.IsFinal(h.status) {
		return errors.Wrapf(ErrInvalid, "status %s, which HTTP/1.1 doesn't have here", status)
	}
	return nil
}

// readField reads a header field. A field that continues on the next line is invalid.
func (h *head) readField(line []byte) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	switch {
	case bytes.EqualFold(name, contentLength):
		h.lengths++
		if len(value) == 0 || len(value) > maxLengthDigits || !isDigits(value) {
			return errors.Wrapf(ErrInvalid, "Content-Length %s", quote(value))
		}
		h.length, _ = strconv.ParseInt(string(value), 10, 64) // has few digits
	case bytes.EqualFold(name, transferEncoding):
		h.codings++
		if !bytes.EqualFold(value, chunked) {
			return errors.Wrapf(ErrInvalid, "Transfer-Encoding %s", quote(value))
		}
	}
	return nil
}

// checkTrailer checks a field behind the last chunk, which can't state how the body is framed.
func checkTrailer(line []byte) error {
	name, _, err := splitField(line)
	if err == nil && (bytes.EqualFold(name, contentLength) || bytes.EqualFold(name, transferEncoding)) {
		return errors.Wrapf(ErrInvalid, "%s behind the body", name)
	}
	return err
}

func splitField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !IsToken(name) {
		return nil, nil, errors.Wrapf(ErrInvalid, "field without a valid name in the line %s", quoteName(line))
	}
	return name, bytes.Trim(value, " \t"), nil
}

// readChunkSize reads the size of a chunk, and drops its extensions.
func (k *checker) readChunkSize(line []byte) error {
	k.section = 0
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size := bytes.TrimLeft(digits, "0")
	if len(digits) == 0 || !isHex(size) || len(size) > maxChunkDigits {
		return errors.Wrapf(ErrInvalid, "size of a chunk in the line %s", quote(line))
	}
	if len(size) == 0 {
		k.position = trailerField
		return nil
	}
	k.left, _ = strconv.ParseInt(string(size), 16, 64) // has few digits
	k.position = chunkData
	return nil
}

// quoteName returns the name of the field in a line. Its value may be secret.
func quoteName(line []byte) string {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return quote(name)
}

// quote returns the start of a line, with bytes that can't be printed escaped.
func quote(line []byte) string {
	const maxQuotedBytes = 60
	return strconv.QuoteToASCII(string(line[:min(len(line), maxQuotedBytes)]))
}

func isHex(text []byte) bool { return len(bytes.TrimLeft(text, "0123456789abcdefABCDEF")) == 0 }

func isDigits(text []byte) bool { return len(bytes.TrimLeft(text, "0123456789")) == 0 }
