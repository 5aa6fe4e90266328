// Package link sends calls between nodes.
//
// Two nodes use one TCP connection for each direction of calls. Many calls share
// it: replies may come in any order, and a call can be cancelled. A connection on
// which nothing is received although a reply is due is probed and then closed.
//
// A frame is one gob message. Gob sends the description of the types once per
// connection and omits empty fields, so a call costs few bytes beyond its content.
// Strings that a connection sends repeatedly are replaced by numbers (symbols).
//
// Unless its context ends first, a call ends in one of three ways: with the peer's
// Reply, with ErrNotSent if no byte of it was written to the connection, or with
// ErrLost if it may have reached the peer.
package link
