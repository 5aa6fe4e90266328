// Package membershiptest simulates a fleet: it runs the membership and rollout tables
// of many nodes in one process and in virtual time. The simulated network delays,
// loses, duplicates and reorders datagrams and can be partitioned; nodes can be paused,
// killed and replaced. The tables and the encoded packets are those of the daemon, so
// the package makes no protocol decisions itself.
//
// A Fleet runs in one goroutine. Runs with the same seed are identical.
package membershiptest
