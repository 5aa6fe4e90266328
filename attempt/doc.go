// Package attempt bounds the number of attempts that one root request causes.
//
// An attempt is one delivery of a call to a target. A root request gets a grant of
// attempts. The sender of a call passes on a part of its own grant, and takes back
// the attempts that the reply reports as unspent. A refusal before the delivery
// returns the whole part; a lost reply returns nothing. Attempts are only ever
// passed on, never created. A root request therefore causes no more attempts than its
// grant, however deep its calls go and however many are lost or retried.
//
// # How a grant is split between child calls
//
// Three rules were considered:
//
//   - Each child call gets all remaining attempts, and its reply returns the unspent
//     ones. Sequential child calls get what they need, but of two parallel ones the
//     second gets nothing, and a lost reply loses all attempts.
//   - Each child call gets half of the remaining attempts. No child call starves at
//     once, but a chain of n calls needs 2^n attempts.
//   - Each child call gets the need of its operation plus a margin. This rule is used.
//
// Each node observes how many attempts the child calls of an operation spend: this
// is the need. A child call that gets less than it needs spends all of it, so the
// observed need grows by the margin with every such call. An operation whose need is
// unknown gets seven eighths of the remaining attempts. From a grant of 32 this
// reaches 11 calls deep, and it leaves some attempts for a second child call.
//
// Retries also need a Budget, which limits the retries of calls to a service to a
// fraction of the recent successes, so that a failing service isn't loaded with
// retries.
//
// The types are not safe for concurrent use.
package attempt
