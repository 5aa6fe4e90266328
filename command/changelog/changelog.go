// Package changelog stores the most recent changes of an inventory in comments at
// its top, since the platform stores only the newest version of an object. After a
// conflict, gypsumctl apply reads from the log what other operators changed.
//
// The lines of the log begin with "#: " and precede the operator's text. gypsumctl
// get adds a line with the version that it read, and gypsumctl apply uses that as
// the version that the update expects. The numbers are revisions of the platform's store,
// which mean something within one epoch of it alone:
//
//	#: version 13 epoch 2
//	#: after 12 by anna at 2026-03-01T09:30:00Z epoch 2
//	#:   ~ services.search.contract.slots: 70 -> 80
//
// The log is bounded by MaxEntries and MaxChanges.
package changelog

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/inventory"
)

const (
	// MaxEntries is the largest number of updates in the log.
	MaxEntries = 20
	// MaxChanges is the largest number of changes of one update in the log. A line
	// with the number of the omitted changes follows them.
	MaxChanges = 40

	linePrefix       = "#: "
	changePrefix     = "  "
	maxOperatorBytes = 64
)

// Log is the change log of a document.
type Log struct {
	Revision epoch.Revision // written by gypsumctl get, zero if the log has none
	Entries  []Entry        // newest first
}

// Entry describes one update.
type Entry struct {
	After   epoch.Revision // that the update replaced
	By      string         // name of the operator
	At      time.Time
	Changes []string // in the format of inventory.Change.String
}

// NewEntry returns the entry of an update that replaces the given revision.
func NewEntry(after epoch.Revision, by string, at time.Time, changes []inventory.Change) Entry {
	entry := Entry{After: after, By: oneWord(by), At: at.UTC().Truncate(time.Second)}
	for i, change := range changes {
		if i == MaxChanges {
			entry.Changes = append(entry.Changes, fmt.Sprintf("and %d more changes", len(changes)-MaxChanges))
			break
		}
		entry.Changes = append(entry.Changes, change.String())
	}
	return entry
}

// Add returns the log with the entry added and without a version. The oldest
// entries beyond MaxEntries are dropped.
func (l Log) Add(entry Entry) Log {
	entries := append([]Entry{entry}, l.Entries...)
	return Log{Entries: entries[:min(len(entries), MaxEntries)]}
}

// Since returns the entries of the updates after the given revision, newest first.
// complete is false if the log doesn't reach back to that revision within its epoch.
func (l Log) Since(revision epoch.Revision) (entries []Entry, complete bool) {
	for _, entry := range l.Entries {
		if entry.After.Epoch != revision.Epoch || entry.After.Number < revision.Number {
			return entries, false
		}
		entries = append(entries, entry)
		if entry.After == revision {
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

// Join returns a document that consists of the lines of the log and the text.
func Join(log Log, text []byte) []byte {
	var out bytes.Buffer
	if !log.Revision.IsZero() {
		fmt.Fprintf(&out, "%sversion %d%s\n", linePrefix, log.Revision.Number, epochSuffix(log.Revision))
	}
	for _, entry := range log.Entries {
		fmt.Fprintf(&out, "%safter %d by %s at %s%s\n", linePrefix, entry.After.Number, entry.By,
			entry.At.Format(time.RFC3339), epochSuffix(entry.After))
		for _, change := range entry.Changes {
			fmt.Fprintf(&out, "%s%s%s\n", linePrefix, changePrefix, change)
		}
	}
	out.Write(text)
	return out.Bytes()
}

// epochSuffix returns the end of a line that tells the epoch of its revision. It is last, so
// that versions of gypsumctl that know no epochs can parse the line.
func epochSuffix(r epoch.Revision) string {
	if r.Epoch == epoch.Unknown {
		return ""
	}
	return " epoch " + r.Epoch.String()
}

// Split returns the log at the top of a document and the text below it. Invalid
// lines of the log are dropped.
func Split(document []byte) (Log, []byte) {
	var log Log
	for bytes.HasPrefix(document, []byte(linePrefix)) {
		line, rest, _ := bytes.Cut(document, []byte("\n"))
		log.parseLine(strings.TrimRight(strings.TrimPrefix(string(line), linePrefix), "\r"))
		document = rest
	}
	return log, document
}

func (l *Log) parseLine(line string) {
	if change, ok := strings.CutPrefix(line, changePrefix); ok {
		if last := len(l.Entries) - 1; last >= 0 && len(l.Entries[last].Changes) <= MaxChanges {
			l.Entries[last].Changes = append(l.Entries[last].Changes, change)
		}
		return
	}
	var entry Entry
	var at string
	if n, _ := fmt.Sscanf(line, "after %d by %s at %s epoch %d", &entry.After.Number, &entry.By, &at, &entry.After.Epoch); n >= 3 {
		entry.At, _ = time.Parse(time.RFC3339, at)
		if len(l.Entries) < MaxEntries {
			l.Entries = append(l.Entries, entry)
		}
		return
	}
	_, _ = fmt.Sscanf(line, "version %d epoch %d", &l.Revision.Number, &l.Revision.Epoch) // the epoch may be missing
}

// oneWord returns the operator's name as one word of at most maxOperatorBytes, as
// parseLine expects it.
func oneWord(by string) string {
	word := strings.Join(strings.Fields(by), "-")
	if word == "" {
		return "unknown"
	}
	return word[:min(len(word), maxOperatorBytes)]
}
