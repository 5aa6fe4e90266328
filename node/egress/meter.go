package egress

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/node/memory"
)

const (
	// maxBodyBytes bounds the body of a response, without its framing.
	maxBodyBytes = 64 << 20
	// framingFactor times maxBodyBytes bounds the bytes that are read from the connection
	// for one response: the chunked encoding adds lines of its own.
	framingFactor = 2
	// uncountedBytes is what a body may have without being counted. The number of such bodies is
	// bounded by the slots of the target.
	uncountedBytes = 16 << 10
)

// errTooLong means that the target sends more bytes than a response may have.
var errTooLong = errors.New("response exceeds the size limit")

// boundedReader reads from a connection up to a bound, because a faulty target may send bytes
// without end.
type boundedReader struct {
	source    io.Reader
	remaining int64 // bytes that may still be read
}

// Read reads from the source and fails with errTooLong after the bound.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// readBody reads a whole body, whose stated length is negative if unknown. The lease is of the
// memory of the body, nil for a short one.
func (s *Sender) readBody(source io.Reader, length int64) (first []byte, rest [][]byte, lease *memory.Lease, err error) {
	total := int64(0)
	take := func(bytes int64) bool {
		total += bytes
		switch {
		case total <= uncountedBytes:
			return true
		case lease != nil:
			return lease.Grow(bytes)
		}
		lease = s.budget.Lease(total)
		return lease != nil
	}
	first, rest, _, err = memory.ReadBody(source, length, maxBodyBytes, take)
	if err != nil {
		lease.Release()
		return nil, nil, nil, err
	}
	lease.ReleaseWhenUnreachable() // the response may be dropped in many places
	return first, rest, lease, nil
}
