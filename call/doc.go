// Package call defines the values that a call carries from hop to hop, and the
// outcomes and refusal reasons with which a call can end.
//
// A call is one request for one operation of one service. A root request is a
// caller's request with all the calls that it causes: the root call, and the child
// calls that targets send through their nodes while they serve it. All calls of one
// root request share its RequestID, class and rank, so every hop gives them the same
// priority.
//
// The package contains no decisions and does no I/O.
package call
