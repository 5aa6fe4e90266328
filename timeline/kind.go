package timeline

// Kind is the kind of an event.
type Kind uint8

// The kinds of events. Request, Service, Operation and Class are set for the
// kinds that concern a call. The comments state the contents of Detail and Value.
const (
	// NoKind is the zero value; no event has it.
	NoKind Kind = iota
	// Received: the node received a call from a caller, its target or a peer.
	Received
	// Queued: the call is waiting for a slot. Value: number of calls in the queue.
	Queued
	// Sent: the node sent the call to the chosen instance. Detail: the instance.
	Sent
	// Started: the call was passed to the target. Value: number of calls running.
	Started
	// Completed: the target's complete response was received. Detail: the HTTP
	// status. Value: the duration of the call in seconds.
	Completed
	// Unknown: the call was passed to the target, and no complete response was
	// received.
	Unknown
	// Refused: the call was refused before it ran. Detail: the reason.
	Refused
	// Retried: the call is retried. Detail: the reason. Value: number of the attempt.
	Retried
	// Hedged: the call was also sent to a second instance. Detail: that instance.
	Hedged
	// Cancelled: the caller disconnected or cancelled.
	Cancelled
	// ConfigAccepted: an inventory came into force. Value: its version.
	ConfigAccepted
	// ConfigRefused: an inventory was invalid. Detail: its first finding. Value: its version.
	ConfigRefused
	// MemberJoined: a node joined the fleet. Detail: its ID.
	MemberJoined
	// MemberReady: a node's target takes calls. Detail: the node's ID.
	MemberReady
	// MemberDraining: a node's target takes no new calls. Detail: the node's ID.
	MemberDraining
	// MemberSuspect: a node did not respond to probes. Detail: its ID.
	MemberSuspect
	// MemberLost: a node failed or left the fleet for good. Detail: its ID.
	MemberLost
	// TargetState: the state of the local target changed. Detail: the new state.
	TargetState
	// LimitChanged: the concurrency limit changed. Value: the new limit.
	LimitChanged
	// LevelChanged: the admission level changed. Detail: the class at the level.
	// Value: the fraction of all priorities that is admitted, 0 to 1.
	LevelChanged
	// PlatformOut: the platform became unavailable. Detail: the error.
	PlatformOut
	// PlatformBack: the platform is available again. Value: seconds for which it was
	// unavailable.
	PlatformBack
	// NodeStarted: the process of the node started. Detail: its version.
	NodeStarted
	// NodeStopping: the process of the node is stopping. Detail: what requested it,
	// such as a signal.
	NodeStopping
	// PlatformRestored: the platform's store came back from a copy and has lost what was
	// written since. Detail: its epochs before and now.
	PlatformRestored
	// ConfigLost: the platform holds an older inventory than the one in force. Detail:
	// both versions.
	ConfigLost

	kindCount
)

var kindNames = [...]string{
	NoKind: "", Received: "received", Queued: "queued", Sent: "sent", Started: "started",
	Completed: "completed", Unknown: "unknown", Refused: "refused", Retried: "retried",
	Hedged: "hedged", Cancelled: "cancelled",
	ConfigAccepted: "config-accepted", ConfigRefused: "config-refused",
	MemberJoined: "member-joined", MemberReady: "member-ready", MemberDraining: "member-draining",
	MemberSuspect: "member-suspect", MemberLost: "member-lost",
	TargetState: "target-state", LimitChanged: "limit-changed", LevelChanged: "level-changed",
	PlatformOut: "platform-out", PlatformBack: "platform-back",
	PlatformRestored: "platform-restored", ConfigLost: "config-lost",
	NodeStarted: "node-started", NodeStopping: "node-stopping",
}

// Kinds returns all kinds of events.
func Kinds() []Kind {
	kinds := make([]Kind, 0, int(kindCount)-1)
	for k := Received; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// String returns the kind's name, such as "config-accepted".
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// ParseKind parses the name that String returns; "" is NoKind.
func ParseKind(text string) (Kind, bool) {
	for k, name := range kindNames {
		if name == text {
			return Kind(k), true
		}
	}
	return NoKind, false
}

// MarshalText returns the kind's name, for JSON.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }
