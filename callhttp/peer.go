package callhttp

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
)

// Envelope holds a call and the fields that one node sends to another with it.
type Envelope struct {
	Call     call.Call
	Instance fleet.InstanceID // instance that the call is addressed to
	Lamport  uint64           // Lamport clock value of the sender
}

// WriteEnvelope writes the envelope as headers. Service and operation aren't
// among them, they are sent in the path of the URL.
func WriteEnvelope(header http.Header, now time.Time, e *Envelope) {
	c := &e.Call
	header.Set(HeaderRequestID, string(c.Request))
	setUnlessEmpty(header, HeaderCaller, c.Caller)
	header.Set(HeaderClass, strconv.Itoa(int(c.Class)))
	header.Set(HeaderGrant, strconv.Itoa(c.Grant))
	header.Set(HeaderDepth, strconv.Itoa(c.Depth))
	header.Set(HeaderInstance, string(e.Instance))
	header.Set(HeaderLamport, strconv.FormatUint(e.Lamport, 10))
	WriteTimeout(header, now, c.Deadline)
}

// ReadEnvelope reads and checks the envelope of a call that another node sent. The
// error names the invalid headers. Service and operation are left empty.
func ReadEnvelope(header http.Header, now time.Time) (Envelope, error) {
	fields, err := ReadFields(header)
	if err != nil {
		return Envelope{}, err
	}
	reader := numberReader{header: header}
	e := Envelope{
		Instance: fleet.InstanceID(header.Get(HeaderInstance)),
		Lamport:  reader.read(HeaderLamport, 1<<63),
		Call: call.Call{
			Request:  fields.RequestID,
			Caller:   fields.Caller,
			Deadline: now.Add(fields.Timeout),
			Class:    call.Class(reader.read(HeaderClass, call.MaxClasses-1)),
			Rank:     call.RankOf(fields.RequestID),
			Grant:    int(reader.read(HeaderGrant, MaxGrant)),
			Depth:    int(reader.read(HeaderDepth, MaxDepth)),
		},
	}
	if fields.RequestID == "" {
		reader.findings = append(reader.findings, HeaderRequestID+": missing")
	}
	if len(reader.findings) > 0 {
		return Envelope{}, errors.Newf("%s", strings.Join(reader.findings, "; "))
	}
	return e, nil
}

// Largest values of the numbers in an envelope.
const (
	MaxGrant = 1 << 20 // attempts
	MaxDepth = 64      // calls above one call
)

// numberReader reads numeric headers and collects a message for each invalid one.
type numberReader struct {
	header   http.Header
	findings []string
}

func (r *numberReader) read(name string, limit uint64) uint64 {
	value, err := strconv.ParseUint(r.header.Get(name), 10, 64)
	if err != nil || value > limit {
		r.findings = append(r.findings, name+": want a number from 0 to "+strconv.FormatUint(limit, 10))
		return 0
	}
	return value
}

func setUnlessEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// Load is the load of a target, which its node reports in each reply.
type Load struct {
	Running int // calls that the target runs
	Limit   int // concurrency limit that the node applies to the target, in calls
	Queued  int // calls that wait at the node
}

// String returns the load in the format of HeaderLoad.
func (l Load) String() string {
	return strconv.Itoa(l.Running) + "/" + strconv.Itoa(l.Limit) + "/" + strconv.Itoa(l.Queued)
}

// ParseLoad parses a load in the format of String. It returns false if the text is
// invalid.
func ParseLoad(text string) (Load, bool) {
	running, rest, _ := strings.Cut(text, "/")
	limit, queued, _ := strings.Cut(rest, "/")
	var load Load
	for _, field := range []struct {
		text string
		to   *int
	}{{running, &load.Running}, {limit, &load.Limit}, {queued, &load.Queued}} {
		value, err := strconv.Atoi(field.text)
		if err != nil || value < 0 {
			return Load{}, false
		}
		*field.to = value
	}
	return load, true
}
