package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/gypsumford/gypsumford/fleet"
)

// MaxKeyBytes is the length of the longest key that is accepted.
const MaxKeyBytes = 255

// issuedPrefix begins every key that a node issued.
const issuedPrefix = "gk1."

// ErrMalformedKey marks every error of ParseKey.
var ErrMalformedKey = errors.New("malformed idempotency key")

// Fingerprint is a 128-bit hash of a key and its scope.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Key is a checked idempotency key. Its zero value is no key. Keys are
// comparable.
type Key struct {
	fingerprint Fingerprint
	millis      int64 // Unix time inside a UUIDv7 key, 0 if the key is undated
	issuer      fleet.InstanceID
	sequence    uint64 // position among the issuer's keys, from 1
}

// ParseKey checks the text of an Idempotency-Key header: printable ASCII
// without spaces, with or without the double quotes of a structured header. A
// UUIDv7 is a dated key, a text that begins with "gk1." an issued key, anything
// else an undated key. Errors are marked ErrMalformedKey.
func ParseKey(text string) (Key, error) {
	text = unquote(text)
	if err := checkText(text); err != nil {
		return Key{}, err
	}
	if strings.HasPrefix(text, issuedPrefix) {
		return parseIssued(text)
	}
	if id, err := uuid.Parse(text); err == nil && len(text) == 36 {
		return keyOfUUID(id), nil
	}
	return Key{fingerprint: fingerprintOf("", "", text)}, nil
}

// For binds the key to the caller and the operation that it is used with, so
// that a key which two callers chose alike names two calls.
func (k Key) For(caller, operation string) Key {
	k.fingerprint = fingerprintOf(caller, operation, string(k.fingerprint[:]))
	return k
}

// IsZero reports whether k is no key.
func (k Key) IsZero() bool { return k == Key{} }

// Issuer returns the instance that issued the key; false if a caller chose it.
func (k Key) Issuer() (fleet.InstanceID, bool) { return k.issuer, k.issuer != "" }

// Time returns the time inside a dated key; false if the key is not dated.
func (k Key) Time() (time.Time, bool) { return time.UnixMilli(k.millis), k.millis != 0 }

// Fingerprint returns the hash by which the key is recorded.
func (k Key) Fingerprint() Fingerprint { return k.fingerprint }

// Shard returns the shard of the service's key space that holds the key.
func (k Key) Shard() int {
	return int(binary.LittleEndian.Uint64(k.fingerprint[:8]) % Shards)
}

func unquote(text string) string {
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		return text[1 : len(text)-1]
	}
	return text
}

func checkText(text string) error {
	if text == "" {
		return errors.Wrap(ErrMalformedKey, "empty")
	}
	if len(text) > MaxKeyBytes {
		return errors.Wrapf(ErrMalformedKey, "%d bytes, at most %d", len(text), MaxKeyBytes)
	}
	for i := 0; i < len(text); i++ {
		if text[i] <= ' ' || text[i] > '~' {
			return errors.Wrapf(ErrMalformedKey, "byte %d is not printable ASCII", i)
		}
	}
	return nil
}

func keyOfUUID(id uuid.UUID) Key {
	k := Key{fingerprint: fingerprintOf("", "", id.String())}
	if id.Version() == 7 {
		var millis [8]byte
		copy(millis[2:], id[:6])
		k.millis = int64(binary.BigEndian.Uint64(millis[:]))
	}
	return k
}

func parseIssued(text string) (Key, error) {
	parts := strings.SplitN(text, ".", 4)
	if len(parts) < 3 || parts[1] == "" {
		return Key{}, errors.Wrap(ErrMalformedKey, "want gk1.INSTANCE.SEQUENCE")
	}
	sequence, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || sequence == 0 {
		return Key{}, errors.Wrapf(ErrMalformedKey, "sequence %q", parts[2])
	}
	return Key{
		fingerprint: fingerprintOf("", "", text),
		issuer:      fleet.InstanceID(parts[1]),
		sequence:    sequence,
	}, nil
}

func issuedText(issuer fleet.InstanceID, sequence uint64) string {
	return issuedPrefix + string(issuer) + "." + strconv.FormatUint(sequence, 10)
}

// fingerprintOf hashes the parts so that no two lists of parts run together.
func fingerprintOf(parts ...string) Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return Fingerprint(hash.Sum(nil)[:16])
}
