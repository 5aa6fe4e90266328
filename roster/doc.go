// Package roster tracks which target stands beside which instance.
//
// Each node publishes one Record, which states the address for its peers and the target
// that it serves. Records of one instance are ordered by the incarnation of the node's
// process and, within it, by a sequence number, so that updates may arrive late, more
// than once or by different paths. Only the node beside a target publishes the target's
// state; LocalTarget derives that state from the target's heartbeats.
package roster
