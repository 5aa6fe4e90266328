package link

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
)

// maxFrameBytes bounds what is read for one frame. Frames with the body of a call or a reply in one
// piece, as older builds send them, and those with the state of the whole fleet are the longest.
const maxFrameBytes = 80 << 20

// errFrameTooLong means that the peer sends more bytes than a frame may have.
var errFrameTooLong = errors.New("frame of a peer exceeds the size limit")

// frameReader reads from a connection up to a bound for each frame, because gob bounds a message by
// 8 GiB only. It is an io.ByteReader, so that the decoder reads no further than the frame.
type frameReader struct {
	source    *bufio.Reader
	remaining int
}

func newFrameReader(source io.Reader) *frameReader {
	return &frameReader{source: bufio.NewReaderSize(source, bufferBytes)}
}

// startFrame begins the bound anew.
func (r *frameReader) startFrame() { r.remaining = maxFrameBytes }

// Read fails with errFrameTooLong after the bound.
func (r *frameReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errFrameTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// ReadByte is like Read, for one byte.
func (r *frameReader) ReadByte() (byte, error) {
	if r.remaining <= 0 {
		return 0, errFrameTooLong
	}
	b, err := r.source.ReadByte()
	if err == nil {
		r.remaining--
	}
	return b, err
}
