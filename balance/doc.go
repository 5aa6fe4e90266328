// Package balance chooses the target that a request is sent to.
//
// Inputs are the latency and the outcome of the requests that this node sent, and the
// load that the targets' nodes report with each reply. From these the package keeps a
// score for each target: the expected latency of the next request there, as a multiple of
// the route's mean latency. It is the target's moving average of that ratio, times a
// factor that grows with the target's load, times penalties for failures and refusals.
// The score of a target in another failure domain is multiplied by a factor that grows
// with the bytes of the route's requests and responses, since traffic between failure
// domains costs money and time. The lowest score wins, so a target that becomes slow
// loses its share of the requests within a few of them.
package balance
