// Package rollout decides, at each node, which version of the configuration is in
// force, whether the node watches the platform for a newer one, and from whom it
// takes one.
//
// The platform's store has no room for a watch by each node. In each failure
// domain a few nodes watch: those live members with the highest hash of domain and
// instance, so all nodes of the domain agree on them as far as they agree on the
// members. All packets of the membership protocol carry the sender's version. A
// node that hears of a newer one pulls it from a peer that has it, at a random
// moment within Config.PullSpread, so the first ones are not asked by all. Where
// versions follow each other faster than Config.PullBytesPerSecond carries, a node
// skips some and takes the newest, at most Config.PullDelayLimit later.
//
// The version in force only grows: an older document is never taken, wherever it
// comes from. The versions are those of the platform's object, so a document and
// its version are one pair for all nodes. A document that fails the check is not
// taken, and its version not pulled again.
//
// A node that has just started is Ready when its version is at least as new as
// what the platform, or a number of peers, told it. So it answers no caller with a
// configuration that the others have replaced.
//
// A Table does no I/O and reads no clock. It is not safe for concurrent use.
package rollout
