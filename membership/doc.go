// Package membership keeps, at each node, a table of all instances of the fleet
// and what each says of itself. No instance is set aside for it and the platform
// takes no part but for the seed objects by which a new node finds a peer.
//
// # Claims
//
// All that nodes tell each other about a member is a claim: its incarnation, its
// announced state and its health (alive, suspect, left). Only the member itself
// raises its incarnation. A claim replaces what a table holds if its incarnation
// is higher or, at the same one, its health is worse; left is final. So tables
// that have seen the same claims in any order are equal.
//
// A member is named by a reference, a 64-bit hash of its instance id. A new
// instance at the address of another one ends the other at once; it is told from
// the other by the start of its process, or by who answers at the address.
//
// # Failure detection
//
// Members stand on a ring in the order of their references. Each node probes its
// next Monitored live successors on the ring and one random member once in a
// ProbeInterval. No answer in directTimeout: it probes again, directly and
// through other members. No answer in probeTimeout: it suspects the member. The
// suspicion is spread with its age, so it runs out everywhere at about the same
// time, and the member is dead in each table for itself. Nobody spreads that a
// member is dead. A suspected member raises its incarnation and is alive again.
//
// A dead member is kept for a while and probed now and then, so regions that
// were cut off from each other meet again. A node that learns in a comparison of
// tables that a member which it holds for alive is dead for another node, or the
// other way round, probes that member itself.
//
// # Spread
//
// News are sent to a few random members with each tick, each claim a limited
// number of times, under a limit of bytes a second. Urgent news (draining, left,
// suspect, and their refutation) are passed on at once. What is lost is found by
// comparing tables: each packet carries a digest, and on difference two nodes
// compare sums of ever smaller groups of members, then the members themselves.
//
// # Pauses
//
// A node that was stopped for longer than pauseLimit believes nothing of what it
// knew before: it declares nobody dead for the time in which it didn't listen,
// raises its own incarnation, and is not Fresh until it has compared its table
// with another node's.
//
// A Table does no I/O and reads no clock. It is not safe for concurrent use.
package membership
