// Package rollout decides, at each node, which version of the configuration is in
// force, whether the node watches the platform for newer versions, and which peer
// it pulls them from.
//
// The platform's store can't serve a watch from each node, so a few nodes of each
// failure domain watch it. The watchers are the live members with the highest hash
// of domain and instance ID (rendezvous hashing), so nodes that agree on the
// members of the domain also agree on its watchers. Each packet of the membership
// protocol carries the sender's version. A node that receives a newer version than
// its own pulls the document from a peer that has it, after a random delay of up
// to Config.PullSpread, so that not all nodes pull from the first few peers that
// have it. When new versions appear faster than Config.PullBytesPerSecond allows,
// a node skips some and pulls the newest, at most Config.PullDelayLimit later.
//
// The version in force only increases: an older document is refused, wherever it
// comes from. The versions are those of the platform's object, so that a version
// stands for the same document on all nodes. They name the epoch of the store in which
// the document was written (package epoch): a restored store gives its revisions out
// again, and holds older documents than those in force. A document that fails the check
// is refused, and its version is not pulled again.
//
// A node that has just started is Ready when its version is at least as new as
// the versions that the platform, or a number of peers, reported to it. So it
// serves no caller with a configuration that the other nodes have replaced.
//
// A Table does no I/O and reads no clock. It is not safe for concurrent use.
package rollout
