package memory

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// PartBytes is the size of the parts of a long body.
	PartBytes = 64 << 10
	// exactBytes is the size up to which a part is allocated at once. Of a longer one, firstBytes
	// are allocated before any byte of it was read.
	exactBytes = 32 << 10
	firstBytes = 4 << 10
)

var (
	// ErrTooLong means that a body exceeds its limit.
	ErrTooLong = errors.New("body too long")
	// ErrNoRoom means that the memory account has no room for a body.
	ErrNoRoom = errors.New("no room in memory for the body")
)

// Size returns the size of a body in parts.
func Size(first []byte, rest [][]byte) int {
	size := len(first)
	for _, part := range rest {
		size += len(part)
	}
	return size
}

// Join returns the body in one piece.
func Join(first []byte, rest [][]byte) []byte {
	if len(rest) == 0 {
		return first
	}
	return slices.Concat(append([][]byte{first}, rest...)...)
}

// ReadBody reads a body to its end. length is its stated length, or negative. The first part is
// returned as first, the others as rest. take is called before memory is allocated, and returns
// false if there is no room; taken is the sum of the bytes that it granted.
func ReadBody(source io.Reader, length, maxBytes int64, take func(bytes int64) bool) (first []byte, rest [][]byte, taken int64, err error) {
	if length > maxBytes {
		return nil, nil, 0, ErrTooLong
	}
	granted := func(bytes int) bool {
		if !take(int64(bytes)) {
			return false
		}
		taken += int64(bytes)
		return true
	}
	bound := maxBytes + 1 // one more, to notice a body that is too long
	if length >= 0 {
		bound = length
	}
	total := int64(0)
	for total < bound {
		size := int(min(PartBytes, bound-total))
		part, err := readPart(source, size, granted)
		total += int64(len(part))
		if first == nil {
			first = part
		} else if len(part) > 0 {
			rest = append(rest, part)
		}
		if errors.Is(err, io.EOF) && length < 0 {
			break
		}
		if err != nil {
			return first, rest, taken, unexpectedEnd(err)
		}
	}
	if total > maxBytes {
		return first, rest, taken, ErrTooLong
	}
	return first, rest, taken, nil
}

// unexpectedEnd replaces the error of a body that ends before its stated length.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readPart reads up to size bytes, or to the end. Little is allocated at first, since a client may
// state a length and send nothing.
func readPart(source io.Reader, size int, granted func(bytes int) bool) ([]byte, error) {
	first := size
	if size > exactBytes {
		first = firstBytes
	}
	if !granted(first) {
		return nil, ErrNoRoom
	}
	part, n := make([]byte, first), 0
	for {
		for n < len(part) {
			read, err := source.Read(part[n:])
			n += read
			if err != nil && (n < size || !errors.Is(err, io.EOF)) {
				return part[:n], err
			}
			if err != nil {
				return part[:n], nil // the next read returns the end again
			}
		}
		if n == size {
			return part, nil
		}
		if !granted(size - n) {
			return part, ErrNoRoom
		}
		larger := make([]byte, size)
		copy(larger, part)
		part = larger
	}
}
