// Package balance chooses the target that a request is sent to.
//
// Inputs are the latency and the outcome of the requests that this node sent, and what the
// targets' nodes report with each reply: the load, and how long the target takes for requests
// of the route. From these the package keeps a score for each target: the expected latency of
// the next request there, as a multiple of the route's mean latency. It is the target's
// moving average of that ratio, times a factor that grows with the target's load, times
// penalties for failures and refusals.
//
// An entry hears of each target about once a second, so loads are old, and entries that all
// send to the target with the lowest score flood it. So two candidates are drawn at random,
// each with a probability in proportion to what it completes, its slots over its expected
// latency; the one with the lower score gets the request. With 24 targets in one domain 0.66
// of the requests were served in time by the lowest score, 0.98 by two draws, and 0.94 by three
// (virtual time, scenario spread-70; docs/design/spillover.md). With
// admission at the entries, which then refuse requests for the pressure of the flooded target, 0.42
// and 0.89. Equal probabilities in place of
// those in proportion served 0.02 to 0.05 less near saturation.
//
// Traffic between failure domains costs money and time. Package spillover decides which
// requests leave the node's failure domain; without it, a request leaves if the score there,
// times a factor that grows with the bytes of the route's messages, is below the lowest in the
// own domain. That rule also applies to requests that other responses wait for, with a smaller
// factor.
package balance
