// Package membership keeps, at each node, a table of all instances of the fleet:
// address, failure domain, region, service, slots and state. It is a gossip protocol
// with failure detection in the manner of SWIM. No instance has a special role. The
// platform is used only for seed objects, in which a new node finds the address of a
// peer.
//
// # Claims
//
// Nodes exchange claims. A claim about a member consists of its incarnation, its
// announced state and its health (alive, suspect or left). Only the member itself
// raises its incarnation. A claim replaces a record if its incarnation is higher or,
// at the same incarnation, its health is worse; left is final. Tables that have
// received the same claims in any order are therefore equal.
//
// A member is identified by a reference, a 64-bit hash of its instance id. If two
// instances have the same address, one has replaced the other: the one whose process
// started later stays in the table. If the start times don't show that, the address is
// probed and the instance that replies stays. The other one is marked as left.
//
// # Failure detection
//
// Members form a ring in the order of their references. Once in each ProbeInterval a
// node probes its next MonitoredSuccessors live successors on the ring and one random
// member. If no reply arrives within directTimeout, it probes again, directly and
// through other members. If none arrives within probeTimeout, it suspects the member.
// A suspicion is gossiped with its age, so that it ends at about the same time in all
// tables. Then each node declares the member dead for itself; that a member is dead
// is never gossiped. A member that receives a suspicion about itself raises its
// incarnation, which makes it alive again.
//
// A dead member is retained for a while and probed from time to time, so that regions
// find each other again after a network partition. If a comparison of tables shows
// that a member is dead for one node and alive for another one, each node probes that
// member itself.
//
// # Dissemination
//
// With each tick updates are sent to a few random members, each a limited number of
// times and within a limit of bytes per second. Urgent updates (draining, left,
// suspect, and the refutation of a suspicion) are also sent as soon as they arrive.
// Updates that were lost are found by anti-entropy: each packet carries a digest of
// the sender's table, and two nodes with different digests compare the sums of groups
// of members, then of leaves within the groups that differ, then the members.
//
// # Pauses
//
// A node whose process was paused for longer than pauseLimit has a table that may be
// out of date. It doesn't count the pause against suspect members, raises its own
// incarnation, and is not Fresh until it has compared its table with another node's.
//
// A Table does no I/O and reads no clock. It is not safe for concurrent use.
package membership
