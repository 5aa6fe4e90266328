package callhttp

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/call"
)

// MaxTimeout is the longest timeout that a call may state.
const MaxTimeout = 10 * time.Minute

// Fields holds the fields that a caller or a target sends with a call. Text that
// the call doesn't state is empty.
type Fields struct {
	RequestID call.RequestID
	Caller    string
	Parent    string
	Timeout   time.Duration // 0 if the call states none
}

// ReadFields reads and checks the fields of a received call. The error names each
// invalid header.
func ReadFields(header http.Header) (Fields, error) {
	fields := Fields{
		RequestID: call.RequestID(header.Get(HeaderRequestID)),
		Caller:    header.Get(HeaderCaller),
		Parent:    header.Get(HeaderParent),
	}
	var findings []string
	check := func(name, value string, limit int) {
		if len(value) > limit || !isPrintableASCII(value) {
			findings = append(findings, name+": want at most "+strconv.Itoa(limit)+" printable ASCII characters")
		}
	}
	check(HeaderRequestID, string(fields.RequestID), MaxIDBytes)
	check(HeaderCaller, fields.Caller, MaxNameBytes)
	check(HeaderParent, fields.Parent, MaxIDBytes)
	timeout, err := readTimeout(header)
	if err != nil {
		findings = append(findings, err.Error())
	}
	fields.Timeout = timeout
	if len(findings) > 0 {
		return Fields{}, errors.Newf("%s", strings.Join(findings, "; "))
	}
	return fields, nil
}

func readTimeout(header http.Header) (time.Duration, error) {
	text := header.Get(HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > MaxTimeout.Milliseconds() {
		return 0, errors.Newf("%s: want milliseconds from 0 to %d", HeaderTimeout, MaxTimeout.Milliseconds())
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

func isPrintableASCII(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// WriteTimeout writes the remaining time until the deadline. It is rounded down to
// whole milliseconds, so that no hop extends the deadline.
func WriteTimeout(header http.Header, now, deadline time.Time) {
	remaining := max(deadline.Sub(now), 0)
	header.Set(HeaderTimeout, strconv.FormatInt(remaining.Milliseconds(), 10))
}

// WriteRetryAfter writes the retry-after delay of a refused call, in seconds and
// in milliseconds.
func WriteRetryAfter(header http.Header, delay time.Duration) {
	delay = max(delay, 0)
	seconds := (delay + time.Second - 1) / time.Second
	header.Set(HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	header.Set(HeaderRetryAfterMS, strconv.FormatInt(delay.Milliseconds(), 10))
}

// ReadRetryAfter returns the retry-after delay of a refused call, or 0 if it is
// not stated or invalid.
func ReadRetryAfter(header http.Header) time.Duration {
	milliseconds, err := strconv.ParseInt(header.Get(HeaderRetryAfterMS), 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > MaxTimeout.Milliseconds() {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// hopByHopHeaders are the headers that apply to one connection and are never
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies the end-to-end headers from src to dst. Hop-by-hop headers and
// those that begin with Gypsum- are left out. The values are shared, not copied.
func CopyHeader(dst, src http.Header) {
	for name, values := range src {
		if strings.HasPrefix(name, "Gypsum-") || namedByConnection(src, name) {
			continue
		}
		dst[name] = values
	}
	for _, name := range hopByHopHeaders {
		delete(dst, name)
	}
}

// namedByConnection reports whether the Connection header lists the named header
// as one of the connection.
func namedByConnection(header http.Header, name string) bool {
	for _, list := range header["Connection"] {
		for option := range strings.SplitSeq(list, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(option)) == name {
				return true
			}
		}
	}
	return false
}
