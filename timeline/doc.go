// Package timeline keeps what happened on a node, and puts the events of many
// nodes into one order.
//
// Each node has a Ring: a bounded buffer of its last events, which costs no
// allocation to write. An event carries the node's own sequence number, for
// reading on where a reader stopped, and a Lamport clock value. Nodes send their
// Lamport clock along with calls and control messages and pass what they receive
// to Observe, so an event has a greater value than all events that caused it.
// Merge orders by that clock; wall clocks are for display only, as the clocks of
// instances differ.
//
// The package does no I/O and reads no clock. A Ring is not safe for concurrent
// use: the daemon holds the lock. Package report renders events, and package
// eventpb converts them to the protocol.
package timeline
