package call

// Outcome is how a call ended, as reported to its sender.
type Outcome uint8

const (
	// Unknown: the call was sent to a target and no complete response was received.
	Unknown Outcome = iota
	// NotRun: no target ran the call; it may be retried later.
	NotRun
	// Completed: the target's complete response was received, whatever its status.
	Completed
)

var outcomeNames = [...]string{Unknown: "unknown", NotRun: "not-run", Completed: "completed"}

// String returns the outcome as it is written on the wire.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// ParseOutcome parses the text of an outcome as String returns it.
func ParseOutcome(text string) (Outcome, bool) {
	for outcome, name := range outcomeNames {
		if name == text {
			return Outcome(outcome), true
		}
	}
	return Unknown, false
}

// Reason is why a call was refused, and so not run.
type Reason uint8

const (
	// NoReason is the zero value: the call was not refused.
	NoReason Reason = iota
	// ReasonOverload: a level or the target's queue refused a call of this priority.
	ReasonOverload
	// ReasonDeadline: the remaining time is too short for the call to complete.
	ReasonDeadline
	// ReasonDraining: the target is draining or the node is stopping.
	ReasonDraining
	// ReasonNoTarget: no available target offers the service.
	ReasonNoTarget
	// ReasonAttempts: the call's grant of attempts is spent.
	ReasonAttempts
	// ReasonCancelled: the caller disconnected or cancelled before the call ran.
	ReasonCancelled
	// ReasonUnknownOperation: the inventory has no such service or operation.
	ReasonUnknownOperation
	// ReasonShed: the target itself refused the call before running it.
	ReasonShed
	// ReasonStarting: the node has no configuration yet.
	ReasonStarting
	// ReasonQuarantined: calls like this one have crashed targets.
	ReasonQuarantined

	reasonCount
)

var reasonNames = [...]string{
	NoReason: "", ReasonOverload: "overload", ReasonDeadline: "deadline",
	ReasonDraining: "draining", ReasonNoTarget: "no-target",
	ReasonAttempts:  "attempts",
	ReasonCancelled: "cancelled", ReasonUnknownOperation: "unknown-operation",
	ReasonShed: "shed", ReasonStarting: "starting", ReasonQuarantined: "quarantined",
}

// Reasons returns all reasons for which a call can be refused, without NoReason.
func Reasons() []Reason {
	reasons := make([]Reason, 0, int(reasonCount)-1)
	for r := ReasonOverload; r < reasonCount; r++ {
		reasons = append(reasons, r)
	}
	return reasons
}

// String returns the reason as it is written on the wire and in metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// ParseReason parses the text of a reason as String returns it.
func ParseReason(text string) (Reason, bool) {
	for reason, name := range reasonNames {
		if name == text {
			return Reason(reason), true
		}
	}
	return NoReason, false
}
