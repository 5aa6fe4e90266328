// Package changelog keeps the last changes of an inventory in comments at its
// top, so that an operator whose update comes too late can be told what others
// changed in between. The platform keeps only the newest version of an object.
//
// The lines of the log begin with "#: " and stand before the operator's own
// text. gypsumctl get also writes the version that it read, and gypsumctl apply
// takes it from there as the version that the update expects:
//
//	#: version 13
//	#: after 12 by anna at 2026-03-01T09:30:00Z
//	#:   ~ services.search.contract.slots: 70 -> 80
//
// The log is bounded by MaxEntries and MaxLines.
package changelog

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gypsumford/gypsumford/inventory"
)

const (
	// MaxEntries is the number of updates that the log keeps.
	MaxEntries = 20
	// MaxLines is the number of changes that the log keeps of one update.
	MaxLines = 40

	prefix       = "#: "
	changePrefix = "  "
	maxByBytes   = 64
)

// Log is what the lines of a document's change log say.
type Log struct {
	Version uint64  // that gypsumctl get wrote, 0 if it didn't
	Entries []Entry // the newest first
}

// Entry is one update.
type Entry struct {
	After   uint64 // version that the update replaced
	By      string // operator
	At      time.Time
	Changes []string // as inventory.Change prints them
}

// NewEntry returns the entry of an update that replaces the given version.
func NewEntry(after uint64, by string, at time.Time, changes []inventory.Change) Entry {
	entry := Entry{After: after, By: oneWord(by), At: at.UTC().Truncate(time.Second)}
	for i, change := range changes {
		if i == MaxLines {
			entry.Changes = append(entry.Changes, fmt.Sprintf("and %d more changes", len(changes)-MaxLines))
			break
		}
		entry.Changes = append(entry.Changes, change.String())
	}
	return entry
}

// Add returns the log with one more entry and without a version.
func (l Log) Add(entry Entry) Log {
	entries := append([]Entry{entry}, l.Entries...)
	return Log{Entries: entries[:min(len(entries), MaxEntries)]}
}

// Since returns the entries of the updates after the given version, the newest
// first. It is complete only if the log reaches back to that version.
func (l Log) Since(version uint64) (entries []Entry, complete bool) {
	for _, entry := range l.Entries {
		if entry.After < version {
			return entries, false
		}
		entries = append(entries, entry)
		if entry.After == version {
			return entries, true
		}
	}
	return entries, false
}

// Has reports whether the log holds the entry.
func (l Log) Has(entry Entry) bool {
	return slices.ContainsFunc(l.Entries, func(e Entry) bool {
		return e.After == entry.After && e.By == entry.By && e.At.Equal(entry.At) &&
			slices.Equal(e.Changes, entry.Changes)
	})
}

// Join returns the document: the log's lines, then the text.
func Join(log Log, text []byte) []byte {
	var out bytes.Buffer
	if log.Version > 0 {
		fmt.Fprintf(&out, "%sversion %d\n", prefix, log.Version)
	}
	for _, entry := range log.Entries {
		fmt.Fprintf(&out, "%safter %d by %s at %s\n", prefix, entry.After, entry.By, entry.At.Format(time.RFC3339))
		for _, change := range entry.Changes {
			fmt.Fprintf(&out, "%s%s%s\n", prefix, changePrefix, change)
		}
	}
	out.Write(text)
	return out.Bytes()
}

// Split returns the log at the top of a document, and the text below it. Lines
// that it can't read are dropped.
func Split(document []byte) (Log, []byte) {
	var log Log
	for bytes.HasPrefix(document, []byte(prefix)) {
		line, rest, _ := bytes.Cut(document, []byte("\n"))
		log.read(strings.TrimRight(strings.TrimPrefix(string(line), prefix), "\r"))
		document = rest
	}
	return log, document
}

func (l *Log) read(line string) {
	if change, ok := strings.CutPrefix(line, changePrefix); ok {
		if last := len(l.Entries) - 1; last >= 0 && len(l.Entries[last].Changes) <= MaxLines {
			l.Entries[last].Changes = append(l.Entries[last].Changes, change)
		}
		return
	}
	var entry Entry
	var at string
	if n, _ := fmt.Sscanf(line, "after %d by %s at %s", &entry.After, &entry.By, &at); n == 3 {
		entry.At, _ = time.Parse(time.RFC3339, at)
		if len(l.Entries) < MaxEntries {
			l.Entries = append(l.Entries, entry)
		}
		return
	}
	_, _ = fmt.Sscanf(line, "version %d", &l.Version)
}

// oneWord makes a name that fits the log's line.
func oneWord(by string) string {
	word := strings.Join(strings.Fields(by), "-")
	if word == "" {
		return "unknown"
	}
	return word[:min(len(word), maxByBytes)]
}
