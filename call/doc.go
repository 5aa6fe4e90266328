// Package call holds the values that one call carries from hop to hop, and the
// three outcomes by which a call can end.
//
// A call is one request for one operation of one service. A request that a
// caller sends (the root call) causes child calls: the target that serves the
// root call asks further services through its own node. All calls of one
// request share its RequestID, class and rank, so every hop ranks them alike.
//
// The package decides nothing and does no I/O.
package call
