package claim

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func soundLedger() *ledger {
	l := newLedger()
	l.floorMillis = 5
	l.add(entry{Fingerprint{1}, 7, 8, 9})
	l.add(entry{Fingerprint{2}, 0, 1, 2})
	return l
}

func TestLedgerCodec(t *testing.T) {
	Convey("A ledger decodes to what was encoded, and anything cut off is an error", t, func() {
		l := soundLedger()
		value := l.encodeWith(&change{floorMillis: l.floorMillis})
		decoded, err := decodeLedger(value)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, l)
		for n := 1; n < len(value); n++ {
			_, err := decodeLedger(value[:n])
			So(err, ShouldNotBeNil)
		}
		_, err = decodeLedger(slices.Concat(value, value[headerBytes:]))
		So(err, ShouldNotBeNil)
	})
}

func TestLedgerDecodesAnything(t *testing.T) {
	sound := soundLedger().encodeWith(&change{floorMillis: 5})
	rapid.Check(t, func(t *rapid.T) {
		value := slices.Clone(sound)
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			value[rapid.IntRange(0, len(value)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		l, err := decodeLedger(value[:rapid.IntRange(0, len(value)).Draw(t, "length")])
		if err == nil && len(l.entries) != len(l.index) {
			t.Fatal("a ledger with an entry twice was accepted")
		}
	})
}

func TestResultsAreBounded(t *testing.T) {
	Convey("The oldest answers go when bytes or count are full; a huge one is not kept", t, func() {
		r := newResults(8000, 3)
		for i := range 5 {
			r.put(Fingerprint{byte(i)}, &Answer{})
		}
		r.put(Fingerprint{9}, &Answer{Body: make([]byte, 2000)})
		So(r.recent.Len(), ShouldEqual, 3)
		_, first := r.get(Fingerprint{0})
		_, last := r.get(Fingerprint{4})
		So(first, ShouldBeFalse)
		So(last, ShouldBeTrue)
		for i := range 20 {
			r.put(Fingerprint{byte(i), 1}, &Answer{Body: make([]byte, 700)})
		}
		So(r.bytes, ShouldBeLessThanOrEqualTo, 8000)
	})
}
