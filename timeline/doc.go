// Package timeline records the events of a node in memory, and merges the events
// of many nodes into one order.
//
// Each node has a Ring, a bounded buffer of its most recent events; recording an
// event allocates no memory. An event carries the node's own sequence number, from
// which a reader can continue later, and a Lamport clock value. Nodes send their
// Lamport clock along with calls and control messages and pass the values that
// they receive to Observe, so an event has a greater value than all events that
// caused it. Merge orders by that clock. Wall clocks are for display only, since
// the clocks of instances differ.
//
// The package does no I/O and reads no clock. A Ring is not safe for concurrent
// use: the daemon guards it with a lock. Package command/timeline renders events,
// and package eventpb converts them to the protocol.
package timeline
