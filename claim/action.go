package claim

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// WaiterID names one call that waits for the home's decision. The daemon makes
// it and never uses one twice.
type WaiterID uint64

// ActionKind tells what the daemon has to do.
type ActionKind uint8

const (
	// Read: read the shard's object and report with ReadDone.
	Read ActionKind = iota
	// Write: write Value to the shard's object if its version is ExpectVersion,
	// and report with WriteDone under Token. Never repeat it.
	Write
	// Run: hand the waiter's call to a target, once, and report with Ran. The
	// waiter gets the run's own outcome.
	Run
	// Reply: answer the waiter with the stored answer of the first run.
	Reply
	// RefuseNotRun: answer the waiter 'not run' with Reason and RetryAfter.
	RefuseNotRun
	// AnswerUnknown: answer the waiter 'unknown'. If Claimant is another live
	// instance, that one may still have the first run's answer.
	AnswerUnknown
)

var actionNames = [...]string{"read", "write", "run", "reply", "refuse-not-run", "answer-unknown"}

// String returns the kind's name.
func (k ActionKind) String() string {
	if int(k) < len(actionNames) {
		return actionNames[k]
	}
	return "invalid"
}

// Action is one thing that the daemon has to do.
type Action struct {
	Kind          ActionKind
	Shard         int    // Read, Write
	ExpectVersion uint64 // Write: 0 means that the object must not exist
	Value         []byte // Write
	Token         uint64 // Write
	Waiter        WaiterID
	Key           Key
	Answer        *Answer       // Reply
	Reason        call.Reason   // RefuseNotRun
	RetryAfter    time.Duration // RefuseNotRun: 0 if asking again is of no use
	Claimant      Claimant      // AnswerUnknown: who claimed the key, 0 if not known
}

// Answer is the complete answer of a target. It must not be changed once the
// home has it.
type Answer struct {
	Status int
	Header [][2]string
	Body   []byte
}

// bytes returns the memory that the answer takes.
func (a *Answer) bytes() int {
	size := answerOverheadBytes + len(a.Body)
	for _, field := range a.Header {
		size += len(field[0]) + len(field[1]) + headerFieldOverheadBytes
	}
	return size
}

const (
	answerOverheadBytes      = 256
	headerFieldOverheadBytes = 32
)

// ReadError tells how a read failed.
type ReadError uint8

const (
	// ReadOK: the read succeeded; an absent object has version 0.
	ReadOK ReadError = iota
	// ReadFailed: the platform gave no usable answer.
	ReadFailed
)

// WriteResult tells what became of a write.
type WriteResult uint8

const (
	// Written: the object has the value and the new version.
	Written WriteResult = iota
	// Conflict: the object has another version; the write took no effect.
	Conflict
	// Unsettled: no answer. The write may have taken effect or may yet do so.
	Unsettled
	// Rejected: the platform refused the write for good; it took no effect.
	Rejected
)

// RunResult is what became of a Run.
type RunResult struct {
	Outcome    call.Outcome
	Reason     call.Reason   // NotRun
	RetryAfter time.Duration // NotRun
	Answer     *Answer       // Completed
}
