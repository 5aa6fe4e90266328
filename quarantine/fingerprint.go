package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strings"

	"github.com/cockroachdb/errors"
)

// Fingerprint identifies requests that are the same to a target: those of one account with the
// same method, host, path, query and body. It is a part of a cryptographic hash, so nobody can
// make a request that has the fingerprint of another one.
type Fingerprint [16]byte

// Request is what a fingerprint covers. Header fields aren't part of it: their order and values
// differ between copies of one request.
type Request struct {
	Account string // the caller's account, "" where requests name none
	Method  string
	Host    string
	URI     string // path and query
	Body    []byte
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r *Request) Fingerprint { return FingerprintOfParts(r, nil) }

// FingerprintOfParts returns the fingerprint of a request with a long body, whose parts after
// r.Body are rest. It is the one that the request with the whole body in one piece has.
func FingerprintOfParts(r *Request, rest [][]byte) Fingerprint {
	digest := sha256.New()
	for _, part := range [...]string{r.Account, r.Method, strings.ToLower(r.Host), r.URI} {
		writeLength(digest, len(part))
		_, _ = digest.Write([]byte(part)) // a hash returns no error
	}
	size := len(r.Body)
	for _, part := range rest {
		size += len(part)
	}
	writeLength(digest, size)
	_, _ = digest.Write(r.Body)
	for _, part := range rest {
		_, _ = digest.Write(part)
	}
	var sum [sha256.Size]byte
	return Fingerprint(digest.Sum(sum[:0])[:len(Fingerprint{})])
}

// writeLength separates the parts, so that no two requests have the same bytes hashed.
func writeLength(digest hash.Hash, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	_, _ = digest.Write(encoded[:])
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) {
		return errors.Newf("fingerprint: want %d hexadecimal digits, got %.40q", 2*len(f), text)
	}
	_, err := hex.Decode(f[:], text)
	return errors.Wrap(err, "fingerprint")
}
