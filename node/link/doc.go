// Package link carries calls between nodes.
//
// Two nodes share one TCP connection for each direction of calls. A frame is one
// gob message: gob states the types once for a connection and omits empty
// fields, so that a call costs few bytes beyond its own. Answers may come in any
// order; a call can be cancelled; a connection that stays silent although an
// answer is due is probed and then closed.
//
// A call ends in one of three ways: with the peer's Reply, as ErrNotSent if no
// byte of it was handed to the connection, or as ErrLost if it may have reached
// the peer.
package link
