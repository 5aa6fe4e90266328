package quarantine

import "testing"

// Guards against evidence that isn't found again because a body was held in parts.
func TestFingerprintDoesNotDependOnParts(t *testing.T) {
	whole := FingerprintOf(&Request{Method: "POST", URI: "/a", Body: []byte("long body")})
	parts := FingerprintOfParts(&Request{Method: "POST", URI: "/a", Body: []byte("long")}, [][]byte{[]byte(" "), []byte("body")})
	if whole != parts {
		t.Errorf("%v in one piece, %v in parts", whole, parts)
	}
}
