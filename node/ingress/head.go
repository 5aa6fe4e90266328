package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/internal/httpwire"
)

// bufferBytes is the size of a write buffer, and the initial size of a connection's read
// buffer, which grows for a longer head.
const bufferBytes = 4 << 10

var (
	errHeadTooLong     = errors.New("head of the request: too long")
	errAmbiguousLength = errors.New("head of the request: states its length in two ways")
	errHostCount       = errors.New("head of the request: not exactly one Host")
	errInvalidByte     = errors.New("head of the request: a byte that may not stand there")
	// errBufferFull means that the memory account has no room.
	errBufferFull   = errors.New("no room for the request")
	errInvalidField = errors.New("head of the request: a field without a proper name")
)

var endOfHead = []byte("\r\n\r\n")

// readHead waits for the whole head of a request and parses it. The returned reader
// replaces the one passed in, since a long head needs a larger buffer.
func readHead(reader *bufio.Reader, maxBytes int) (*http.Request, *bufio.Reader, error) {
	return readHeadIn(reader, reader, maxBytes, func(int) bool { return true })
}

// readHeadIn is like readHead. source is what the reader reads from, or the reader itself. room is
// called before the buffer grows to that many bytes, and returns false if there is no room for them.
func readHeadIn(reader *bufio.Reader, source io.Reader, maxBytes int, room func(size int) bool) (*http.Request, *bufio.Reader, error) {
	checked := 0 // bytes that don't contain endOfHead
	for {
		buffered, _ := reader.Peek(reader.Buffered()) // returns the buffered bytes without reading
		from := max(checked-len(endOfHead), 0)
		if end := bytes.Index(buffered[from:], endOfHead); end >= 0 {
			end += from
			if end+len(endOfHead) > maxBytes {
				return nil, reader, errHeadTooLong
			}
			if err := checkHead(buffered[:end]); err != nil {
				return nil, reader, err
			}
			request, err := http.ReadRequest(reader)
			return request, reader, errors.Wrap(err, "head of the request")
		}
		if err := checkBytes(buffered, from); err != nil {
			return nil, reader, err
		}
		checked = len(buffered)
		if len(buffered) >= maxBytes {
			return nil, reader, errHeadTooLong
		}
		if len(buffered) == reader.Size() {
			size := min(2*reader.Size(), maxBytes+len(endOfHead))
			if !room(size) {
				return nil, reader, errBufferFull
			}
			reader = growReader(reader, source, size)
		}
		if _, err := reader.Peek(len(buffered) + 1); err != nil {
			return nil, reader, err
		}
	}
}

// growReader returns a reader of the source with a larger buffer, which begins with what the given
// one has buffered. That one is left empty: bytes that it still held would be lost when the larger
// one is replaced.
func growReader(reader *bufio.Reader, source io.Reader, size int) *bufio.Reader {
	buffered := make([]byte, reader.Buffered())
	_, _ = io.ReadFull(reader, buffered) // can't fail, as the bytes are buffered
	return bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), source), size)
}

// checkHead refuses heads that two HTTP implementations may read differently: with a
// field that continues on the next line, without exactly one Host (HTTP/1.0 needs none),
// or with an ambiguous body length, which is one that is stated more than once, or by a
// transfer coding in HTTP/1.0.
func checkHead(head []byte) error {
	if err := checkBytes(head, 0); err != nil {
		return err
	}
	lines := strings.Split(string(head), "\r\n")
	var hosts, lengths, codings int
	for _, line := range lines[1:] {
		name, _, found := strings.Cut(line, ":")
		if !found || !httpwire.IsToken(name) {
			return errInvalidField // also a field that continues on the next line
		}
		switch len(name) {
		case len("Host"):
			if strings.EqualFold(name, "Host") {
				hosts++
			}
		case len("Content-Length"):
			if strings.EqualFold(name, "Content-Length") {
				lengths++
			}
		case len("Transfer-Encoding"):
			if strings.EqualFold(name, "Transfer-Encoding") {
				codings++
			}
		}
	}
	http10 := strings.HasSuffix(lines[0], " HTTP/1.0")
	switch {
	case lengths+codings > 1 || codings > 0 && http10:
		return errAmbiguousLength
	case hosts > 1 || hosts == 0 && !http10:
		return errHostCount
	}
	return nil
}

// checkBytes refuses control characters, and line ends other than CR LF, from the offset
// on.
func checkBytes(head []byte, from int) error {
	for i := from; i < len(head); i++ {
		switch b := head[i]; {
		case b == '\r':
			if i+1 < len(head) && head[i+1] != '\n' {
				return errInvalidByte
			}
		case b == '\n':
			if i == 0 || head[i-1] != '\r' {
				return errInvalidByte
			}
		case b < ' ' && b != '\t' || b == 0x7f:
			return errInvalidByte
		}
	}
	return nil
}
