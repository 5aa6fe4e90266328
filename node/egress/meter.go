package egress

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes bounds the head of each response, interim ones included.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the number of interim (1xx) responses before the final one.
	maxInterimResponses = 8
	// maxBodyBytes bounds the body of a response, without its framing.
	maxBodyBytes = 64 << 20
	// framingFactor times maxBodyBytes bounds the bytes that are read from the connection
	// for one body: the chunked encoding adds lines of its own.
	framingFactor = 2
	// bodyMemoryShare is the fraction of the process's memory limit that the bodies which are
	// being read may use.
	bodyMemoryShare = 0.2
	// maxBodyMemoryBytes bounds the memory of the bodies that are being read, even if the process
	// has no memory limit or a large one.
	maxBodyMemoryBytes = 128 << 20
)

// errTooLong means that the target sends more bytes than a response may have.
var errTooLong = errors.New("response exceeds the size limit")

// errNoMemory means that the bodies which are being read use all the memory that they may.
var errNoMemory = errors.New("memory limit for response bodies exceeded")

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

// bodyMemory counts the bytes of the bodies that are being read on all connections.
type bodyMemory struct {
	used  atomic.Int64
	limit int64 // bytes
}

// readBody reads a whole body. The bytes count as used until it returns.
func (m *bodyMemory) readBody(source io.Reader) (body []byte, err error) {
	reader := &countingReader{source: io.LimitReader(source, maxBodyBytes+1), memory: m}
	defer func() { m.used.Add(-reader.bytes) }()
	body, err = io.ReadAll(reader)
	if err == nil && len(body) > maxBodyBytes {
		err = errTooLong
	}
	return body, err
}

// countingReader counts the bytes that it reads as used memory.
type countingReader struct {
	source io.Reader
	memory *bodyMemory
	bytes  int64
}

// Read reads from the source and fails with errNoMemory if the memory is exceeded.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.bytes += int64(n)
	if r.memory.used.Add(int64(n)) > r.memory.limit {
		return n, errNoMemory
	}
	return n, err
}
