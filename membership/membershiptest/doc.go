// Package membershiptest runs many nodes' membership and rollout tables in one
// process, in virtual time, over a network that delays, loses, repeats and reorders
// datagrams, with links that are cut and nodes that are paused, killed and
// replaced. It holds no decision of its own: the tables are those of the daemon,
// and so are the bytes that travel.
//
// A Fleet runs in one goroutine and repeats exactly for one seed.
package membershiptest
