// Package callhttp writes and reads the fields of a call and of its response as
// HTTP headers. docs/CALLS.md is the reference page of these headers.
//
// They are used between a caller and any node, between a node and the node of the
// chosen target, and between a node and its local target. Fields that only nodes
// exchange are ignored in requests of callers.
package callhttp

// Fields of a call that callers and targets exchange with a node.
const (
	HeaderRequestID = "Gypsum-Request-Id" // id of the root request, the same at every hop
	HeaderCaller    = "Gypsum-Caller"     // client account that sends the root request
	HeaderTimeout   = "Gypsum-Timeout-Ms" // remaining time, in milliseconds
	HeaderParent    = "Gypsum-Parent"     // token that links a child call to its parent call
	HeaderService   = "Gypsum-Service"    // service, sent to the target
	HeaderOperation = "Gypsum-Operation"  // operation, sent to the target
)

// Fields of a response that callers receive.
const (
	HeaderOutcome      = "Gypsum-Outcome"        // completed, not-run or unknown
	HeaderReason       = "Gypsum-Reason"         // why a call was not run
	HeaderRetryAfter   = "Retry-After"           // retry-after delay in whole seconds, rounded up
	HeaderRetryAfterMS = "Gypsum-Retry-After-Ms" // retry-after delay in milliseconds
	HeaderNode         = "Gypsum-Node"           // instance whose target sent the response
)

// Fields that only nodes exchange.
const (
	HeaderClass    = "Gypsum-Class"    // class as a number, 0 for the most important one
	HeaderGrant    = "Gypsum-Grant"    // attempts that the call may cause
	HeaderDepth    = "Gypsum-Depth"    // number of calls above this one, 0 for the root call
	HeaderLamport  = "Gypsum-Lamport"  // Lamport clock value of the sender
	HeaderInstance = "Gypsum-Instance" // instance that the call is addressed to
	HeaderUnspent  = "Gypsum-Unspent"  // attempts of the grant that were not spent
	HeaderLevel    = "Gypsum-Level"    // strictest admission level of the target and its child calls, for the caller
	HeaderLoad     = "Gypsum-Load"     // load of the target: running/limit/queued
)

// MaxBodyBytes is the largest size of a request body that a node accepts.
const MaxBodyBytes = 1 << 20

// Largest sizes of text fields that a node accepts.
const (
	MaxIDBytes   = 128 // request ids and the tokens of parent calls
	MaxNameBytes = 64  // names of callers, services and operations
)
