// Package freshness decides whether a node may still rely on its configuration, and what it does
// to stay able to.
//
// Problem: a key that operators withdraw must be refused everywhere a bound after the store
// acknowledged the change, also by nodes that are cut off, frozen or suspended, which can't
// know of it. So a node accepts keys only while it holds a proof that is younger than the bound:
// no configuration newer than version V had been acknowledged at time T. It holds for any
// node whose configuration has version V or a newer one, whatever happened to the store since.
//
// Evidence comes from an own linearizable read of the store, where T is when the question was
// sent, or from a peer that states the age of its proof in an answer, where T is when the
// question was sent less that age. Frames that nobody asked for prove nothing: a partition
// may hold them up for seconds. All times are those of one machine's boot clock, which
// counts suspends; between machines only ages pass.
//
// Decision: a node whose proof grows old asks peers, and then reads the store. Reads are
// spread at random, so that one read serves many nodes; a node whose reads fail leaves
// time for the others, unless no peer answers it.
//
// A store that was restored may hold an older configuration until the operators' writes are
// made again, so its reads prove nothing for a time. A process that has just started can't know how
// long ago the epoch began that it meets, so this applies to it as well; peers' proofs don't depend on it.
//
// Bound: a proof is used until margin before the bound. The margin has only to cover clocks
// that advance at different rates, since each step takes the earlier of the possible times.
//
// A Tracker does no I/O and reads no clock. It is not safe for concurrent use.
package freshness
