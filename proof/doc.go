// Package proof holds the tests that no single package can hold: the mutations
// that show that each promise's proof catches the loss of its guard, and the
// scripted scenarios over real processes. It has no code of its own; see
// docs/PROOFS.md for the table of promises.
package proof
