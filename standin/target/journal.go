package target

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// run is one execution of an operation.
type run struct {
	request   string
	key       string
	operation string
	started   time.Time
	ended     time.Time
	whole     bool // the operation and its child calls all ran to their end
	straggler bool // it ran many times as long as others
}

// Names under which the journal keeps what is no operation.
const (
	ProbeRun  = "probe"  // GET /health
	ReportRun = "report" // GET /load
)

// journal writes runs to a file, one line each, without buffering: a killed
// process leaves all lines behind. It is safe for concurrent use.
type journal struct {
	mu   sync.Mutex
	file io.Writer // nil writes nothing
}

func openJournal(path string) (*journal, error) {
	if path == "" {
		return &journal{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &journal{file: file}, nil
}

// beginning records that a run with a key starts.
func (j *journal) beginning(r run) {
	if r.key != "" {
		j.write("S %s %s %s %d\n", r.operation, field(r.request), r.key, r.started.UnixMicro())
	}
}

// ended records a run that holds its slot no longer.
func (j *journal) ended(r run) {
	j.write("E %s %s %s %d %d %t %t\n", r.operation, field(r.request), field(r.key),
		r.started.UnixMicro(), r.ended.UnixMicro(), r.whole, r.straggler)
}

// refused records a call that was shed.
func (j *journal) refused(operation, request string) {
	j.write("X %s %s - %d\n", operation, field(request), time.Now().UnixMicro())
}

func (j *journal) write(format string, args ...any) {
	if j.file == nil {
		return
	}
	line := fmt.Sprintf(format, args...)
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = io.WriteString(j.file, line)
}

// field writes a value that may be empty or hold spaces.
func field(text string) string {
	if text == "" {
		return "-"
	}
	return strings.ReplaceAll(text, " ", "_")
}

// Run is one execution of an operation as a journal tells it.
type Run struct {
	Request   string // request id, "-" if none
	Key       string // idempotency key, "-" if none
	Operation string // name without the service; ProbeRun or ReportRun for what is none
	Started   time.Time
	Ended     time.Time // zero if the process ended first
	Whole     bool
	Shed      bool // refused before it ran; Ended is zero
	Straggler bool
}

// Lengths of the lines of a journal, in fields. Other lines were cut short.
const (
	startFields = 5 // also of a refusal
	endFields   = 8
)

// ReadJournal returns the runs of a journal: those that ended, those that were
// shed, and those with a key that began and never ended.
func ReadJournal(path string) ([]Run, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	begun := map[string]Run{} // by operation, request, key and start
	var runs []Run
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		kind, r, ok := readLine(fields)
		if !ok {
			continue
		}
		id := strings.Join(fields[1:startFields], " ")
		if kind == "S" {
			begun[id] = r
			continue
		}
		delete(begun, id)
		runs = append(runs, r)
	}
	for _, r := range begun {
		runs = append(runs, r)
	}
	return runs, errors.Wrapf(scanner.Err(), "%s", path)
}

// readLine reads a journal's line, unless a kill has cut it short.
func readLine(fields []string) (kind string, r Run, ok bool) {
	if len(fields) != startFields && len(fields) != endFields {
		return "", Run{}, false
	}
	started, err := strconv.ParseInt(fields[4], 10, 64)
	if err != nil {
		return "", Run{}, false
	}
	r = Run{Operation: fields[1], Request: fields[2], Key: fields[3], Started: time.UnixMicro(started)}
	switch {
	case fields[0] == "S" && len(fields) == startFields:
		return "S", r, true
	case fields[0] == "X" && len(fields) == startFields:
		r.Shed = true
		return "X", r, true
	case fields[0] == "E" && len(fields) == endFields:
		ended, err := strconv.ParseInt(fields[5], 10, 64)
		r.Ended = time.UnixMicro(ended)
		r.Whole = fields[6] == "true"
		r.Straggler = fields[7] == "true"
		return "E", r, err == nil
	default:
		return "", Run{}, false
	}
}
