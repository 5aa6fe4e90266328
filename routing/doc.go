// Package routing chooses the target of a call.
//
// A Table holds, for each service, the instances that this node sends calls to:
// all of them, or a stable subset when there are many, so that the number of
// connections to one target stays bounded. Of two instances drawn at random, the
// Table takes the one with the lower expected latency (the power of two choices).
// It draws them from the node's own failure domain while that has room, then from
// the region, then from all others. So the cost of a choice does not grow with
// the number of instances.
//
// The expected latency is estimated from what the sender observes itself: the
// calls in flight, the latency of replies relative to the average of the
// operation, and the time since the last reply. Replies also carry the number of
// running and queued calls of the target's node, which covers the load from other
// senders. The load that the target itself reports is not used, since it may be
// late or wrong.
//
// An instance that replies much more slowly than the others is ejected after a
// few replies; it then gets single probe calls until its latency is back to
// normal. A failed connection ejects an instance for a short time, which doubles
// with each further failure. The share of a new instance ramps up while it warms
// up.
//
// A Table is not safe for concurrent use.
package routing
