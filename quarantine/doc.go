// Package quarantine decides which requests are kept from targets because they crash them.
//
// A request that crashes each target that runs it (a query of death, a poison request) ends a
// whole service if it is retried, or sent again, as any other request is. No single crash shows
// the cause: many requests are in flight at the target, and targets crash for other reasons.
//
// Evidence comes from the nodes beside targets. A node whose target has crashed reports the
// fingerprints of the requests that were in flight there, those included whose callers have left;
// they are suspects. A request that runs
// to a response afterwards, at a target with the software that crashed, refutes the evidence against
// its fingerprint. At a target of another service or version it shows that this software bears the
// request: then it runs at such targets freely, and stays a suspect for the others. All of these are
// sets of facts that only grow until they expire: all nodes merge the reports of all others, in any
// order and any number of times, and come to the same result without a coordinator, as the state
// joins of a lattice do (conflict-free replicated data types).
//
// A suspect runs on probation: at one target of its service alone, while another one serves, so
// that it can't end all of them. From two crashes on it runs there apart from other suspects, so
// that no innocent request is in flight at the next crash.
//
// A request that was in flight at three crashes, and never completed between them, is in
// quarantine: it is refused. The quarantine ends after a time that doubles with each further
// crash, for targets of a version that the request hasn't crashed, and when an operator lifts
// it. The first two put the request on probation again, and one crash renews the quarantine.
//
// Requests whose bytes differ each time have different fingerprints, so none of them is recognised.
// What limits their harm is that a run that was lost in a crash is repeated once at most, on
// probation: each ends one target, or two if it is idempotent, and never the last one that is up.
//
// The types do no I/O and read no clock. They are not safe for concurrent use.
package quarantine
