// Package roster knows which target stands beside which instance.
//
// Each node states one Record: where its peers reach it and which target it
// serves. Records of one instance are ordered by the incarnation of the node
// process and, within it, by a sequence, so that news may arrive late, twice or
// over different ways. The node beside a target is the only one that states
// anything of it; Own decides from the target's own heartbeats what that is.
package roster
