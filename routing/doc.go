// Package routing chooses the target of a call.
//
// A Table holds, for each service, the instances that this node sends to: all of
// them, or a stable subset when there are many, so that the connections to one
// target stay bounded. Of two instances drawn at random the better one is taken.
// It is drawn from the node's own failure domain while that has room, then from
// the region, then from everywhere. The cost doesn't grow with the instances.
//
// What an instance is judged by is seen by the sender itself: the calls in
// flight, the latency of the answers against what is usual for the operation,
// and how long nothing has been answered. Answers also carry the running and
// waiting calls of the target's node, which covers the load of other senders.
// The target's own report of its load isn't used; it may be late or wrong.
//
// An instance that answers much slower than usual is set aside after a few
// answers and gets single calls from time to time, until it answers as the
// others do. A failed connection sets it aside for a short time that grows. A new
// instance is given its share step by step while it warms up.
//
// A Table is not safe for concurrent use.
package routing
