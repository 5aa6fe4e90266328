package quarantine

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestFingerprint(t *testing.T) {
	base := Request{Account: "a", Method: "GET", Host: "h", URI: "/x?y", Body: []byte("z")}
	Convey("Requests that differ in any part have different fingerprints", t, func() {
		seen := map[Fingerprint]bool{FingerprintOf(&base): true}
		for _, r := range []Request{
			{"b", "GET", "h", "/x?y", []byte("z")}, {"a", "PUT", "h", "/x?y", []byte("z")},
			{"a", "GET", "i", "/x?y", []byte("z")}, {"a", "GET", "h", "/x?y=", []byte("z")},
			{"a", "GET", "h", "/x?y", []byte("zz")}, {"aG", "ET", "h", "/x?y", []byte("z")},
			{"a", "GET", "h/x?y", "", []byte("z")}, {"a", "GET", "h", "/x?yz", nil},
		} {
			f := FingerprintOf(&r)
			So(seen[f], ShouldBeFalse)
			seen[f] = true
		}
	})
	Convey("The case of the host doesn't matter", t, func() {
		other := base
		other.Host = "H"
		So(FingerprintOf(&other), ShouldEqual, FingerprintOf(&base))
	})
	Convey("A fingerprint survives its text form, and a wrong text is an error", t, func() {
		f := FingerprintOf(&base)
		content, err := json.Marshal(f)
		So(err, ShouldBeNil)
		var read Fingerprint
		So(json.Unmarshal(content, &read), ShouldBeNil)
		So(read, ShouldEqual, f)
		So(json.Unmarshal([]byte(`"abc"`), &read), ShouldNotBeNil)
		So(read.UnmarshalText([]byte("zz45678901234567890123456789012z")), ShouldNotBeNil)
	})
}

func TestFingerprintIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{
			Account: rapid.String().Draw(t, "account"), Method: rapid.String().Draw(t, "method"),
			Host: rapid.String().Draw(t, "host"), URI: rapid.String().Draw(t, "uri"), Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
		}
		again := r
		again.Body = append([]byte(nil), r.Body...)
		if FingerprintOf(&r) != FingerprintOf(&again) {
			t.Fatal("two fingerprints of one request differ")
		}
	})
}

func BenchmarkFingerprint(b *testing.B) {
	r := Request{Method: "GET", Host: "hulo84.example", URI: "/leny950/2f"}
	for b.Loop() {
		FingerprintOf(&r)
	}
}
