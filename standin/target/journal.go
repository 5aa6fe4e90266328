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

// run is one execution of an operation, as the journal records it.
type run struct {
	requestID string
	key       string
	operation string
	started   time.Time
	ended     time.Time
	completed bool // the operation and all of its child calls ran to their end
	straggler bool // chosen at random to take longer, see stragglerRate
}

// Operation names of the runs that serve no operation.
const (
	ProbeRun  = "probe"  // GET /health
	ReportRun = "report" // GET /load
)

// journal writes the starts and ends of runs to a file, one line each and
// unbuffered, so that no line is lost when the process is killed. It is safe for
// concurrent use.
type journal struct {
	mu   sync.Mutex
	file io.Writer // nil if no journal is kept
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

// writeStart records the start of a run that has a key.
func (j *journal) writeStart(r run) {
	if r.key != "" {
		j.write("S %s %s %s %d\n", r.operation, journalField(r.requestID), r.key, r.started.UnixMicro())
	}
}

// writeEnd records a run that has ended and released its slot.
func (j *journal) writeEnd(r run) {
	j.write("E %s %s %s %d %d %t %t\n", r.operation, journalField(r.requestID), journalField(r.key),
		r.started.UnixMicro(), r.ended.UnixMicro(), r.completed, r.straggler)
}

// writeRefusal records a call that was shed.
func (j *journal) writeRefusal(operation, requestID string) {
	j.write("X %s %s - %d\n", operation, journalField(requestID), time.Now().UnixMicro())
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

// journalField returns the value as one field of a line: "-" if it is empty, with
// underscores in place of spaces.
func journalField(text string) string {
	if text == "" {
		return "-"
	}
	return strings.ReplaceAll(text, " ", "_")
}

// Run is one execution of an operation, or a shed call, as read from a journal.
type Run struct {
	RequestID string // request id, "-" if none
	Key       string // idempotency key, "-" if none
	Operation string // name without the service, or ProbeRun or ReportRun
	Started   time.Time
	Ended     time.Time // zero if the process ended before the run
	Completed bool      // the operation and all of its child calls ran to their end
	Shed      bool      // refused before it ran; Ended is zero
	Straggler bool      // chosen at random to take longer, see Operation
}

// Lengths of the lines of a journal, in fields. Lines of any other length were
// truncated by the end of the process.
const (
	startFields = 5 // line of the start of a run or of a refusal
	endFields   = 8 // line of the end of a run
)

// ReadJournal returns the runs of a journal: those that ended, the calls that were
// shed, and the runs with a key that started and never ended.
func ReadJournal(path string) ([]Run, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	unfinished := map[string]Run{} // by operation, request, key and start
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
			unfinished[id] = r
			continue
		}
		delete(unfinished, id)
		runs = append(runs, r)
	}
	for _, r := range unfinished {
		runs = append(runs, r)
	}
	return runs, errors.Wrapf(scanner.Err(), "%s", path)
}

// readLine parses the fields of a line. ok is false if the line is truncated.
func readLine(fields []string) (kind string, r Run, ok bool) {
	if len(fields) != startFields && len(fields) != endFields {
		return "", Run{}, false
	}
	started, err := strconv.ParseInt(fields[4], 10, 64)
	if err != nil {
		return "", Run{}, false
	}
	r = Run{Operation: fields[1], RequestID: fields[2], Key: fields[3], Started: time.UnixMicro(started)}
	switch {
	case fields[0] == "S" && len(fields) == startFields:
		return "S", r, true
	case fields[0] == "X" && len(fields) == startFields:
		r.Shed = true
		return "X", r, true
	case fields[0] == "E" && len(fields) == endFields:
		ended, err := strconv.ParseInt(fields[5], 10, 64)
		r.Ended = time.UnixMicro(ended)
		r.Completed = fields[6] == "true"
		r.Straggler = fields[7] == "true"
		return "E", r, err == nil
	default:
		return "", Run{}, false
	}
}
