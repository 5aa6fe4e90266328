package memory

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// endingIn returns its bytes and then the error.
func endingIn(content []byte, err error) io.Reader {
	return io.MultiReader(bytes.NewReader(content), iotest.ErrReader(err))
}

func TestReadBody(t *testing.T) {
	all := func(int64) bool { return true }
	content := bytes.Repeat([]byte("0123456789abcdef"), 20_000) // 320,000 bytes
	Convey("A body is read whole, with a stated length and without", t, func() {
		for _, size := range []int{0, 1, firstBytes, firstBytes + 1, exactBytes, exactBytes + 1, PartBytes, PartBytes + 1, 3 * PartBytes, 300_000} {
			for _, length := range []int64{int64(size), -1} {
				for _, source := range []io.Reader{bytes.NewReader(content[:size]), iotest.DataErrReader(bytes.NewReader(content[:size])), iotest.HalfReader(bytes.NewReader(content[:size]))} {
					first, rest, taken, err := ReadBody(source, length, 1<<20, all)
					So(err, ShouldBeNil)
					So(Size(first, rest), ShouldEqual, size)
					So(bytes.Equal(Join(first, rest), content[:size]), ShouldBeTrue)
					So(taken, ShouldBeGreaterThanOrEqualTo, size)
					So(taken, ShouldBeLessThanOrEqualTo, size+PartBytes)
				}
			}
		}
	})
	Convey("A body that breaks off is never taken for a whole one", t, func() {
		for _, size := range []int{0, 10, firstBytes, PartBytes, PartBytes + 10} {
			for _, length := range []int64{int64(size) + 1, -1} {
				_, _, _, err := ReadBody(endingIn(content[:size], io.ErrUnexpectedEOF), length, 1<<20, all)
				So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
			}
			_, _, _, err := ReadBody(bytes.NewReader(content[:size]), int64(size)+1, 1<<20, all)
			So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
		}
	})
	Convey("A body beyond the limit is refused, and one at the limit isn't", t, func() {
		_, _, _, err := ReadBody(bytes.NewReader(content[:101]), -1, 100, all)
		So(err, ShouldEqual, ErrTooLong)
		_, _, _, err = ReadBody(bytes.NewReader(content[:101]), 101, 100, all)
		So(err, ShouldEqual, ErrTooLong)
		first, _, _, err := ReadBody(bytes.NewReader(content[:100]), -1, 100, all)
		So(err, ShouldBeNil)
		So(len(first), ShouldEqual, 100)
	})
	Convey("No byte is held that wasn't granted, and a stated length alone takes little", t, func() {
		left := int64(100_000)
		_, _, taken, err := ReadBody(bytes.NewReader(content), -1, 1<<20, func(n int64) bool {
			if n > left {
				return false
			}
			left -= n
			return true
		})
		So(err, ShouldEqual, ErrNoRoom)
		So(taken, ShouldEqual, 100_000-left)
		_, _, taken, err = ReadBody(iotest.ErrReader(errors.New("nothing sent")), 64<<20, 64<<20, all)
		So(err, ShouldNotBeNil)
		So(taken, ShouldEqual, firstBytes)
	})
}
