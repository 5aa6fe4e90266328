// Package proof contains the tests that span packages; it has no other code. TestMutations
// removes the guard of each promise from the source and expects the named test to fail.
// TestProcesses runs scripted scenarios over real processes. See docs/PROOFS.md for the
// table of promises.
package proof
