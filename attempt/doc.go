// Package attempt bounds what one request may cause.
//
// An attempt is one hand-over of a call to a target. A root request gets a
// grant of attempts. Whoever sends a call passes a part of what it has, and
// takes back what the answer returns as unspent. A refusal before the hand-over
// returns the whole part; a lost answer returns nothing. No attempt is ever
// created, so whatever is lost, however deep the calls go and however often they
// are repeated, a request causes no more attempts than its grant.
//
// # How a grant is split between child calls
//
// All the rest to each child, taken back from its answer: sequential children
// get what they need, but of two parallel ones the second gets nothing, and a
// lost answer takes everything along.
//
// Halves: nothing starves at once, but a chain of n calls needs 2^n attempts.
//
// Learned need, which is used here: each node remembers how many attempts a
// child call of an operation spent, passes that and a margin, and keeps the
// rest. A child whose need was cut spends all it has got, so that the need which
// is remembered grows by the margin with every such call. An operation that was
// never seen gets seven eighths: that reaches 11 calls deep from a grant of 32,
// and leaves something for a second child.
//
// Retries also need a Budget: on each link they stay below a part of the recent
// successes, so that a failing service isn't loaded with repeated calls.
//
// The types are not safe for concurrent use.
package attempt
