// Package spillover decides what share of the requests for a service leaves the node's
// failure domain.
//
// Traffic between failure domains is slower and charged by the byte, yet the targets in a
// domain are sometimes too few or gone. With a fixed factor on the score of targets elsewhere,
// all requests of a node stay until the own targets have a queue, and all of them leave at
// once when it is long enough, to targets of which little is known. In virtual time (package
// balance, scenario "uneven": one domain at 1.1 of its targets' nominal capacity beside two at
// 0.3) 0.92 of the requests were served in time that way, 0.99 with this package; 0.72 and 0.98
// with admission at the entries, which refuse requests before the fixed factor lets any leave.
// Where all domains are full, 0.67 of the requests crossed in vain without admission, now 0.007.
//
// Each node decides alone, from the loads that replies report. For each other domain it keeps
// the gain of leaving: the cost of one more request in the own domain less that in the other
// one, as a moving average. The cost is the expected time of the request there, as a multiple
// of the route's mean, and, where slots are short, the delay of the requests behind it. The
// cost of a crossing is stated in the same unit. Requests stay while the gain is lower; above,
// the share that leaves grows in proportion. Requests with short messages cross at a lower
// gain, so they leave first.
//
// Nodes of a domain decide alike from data that is 0.1 to 0.3 s old. The average and the
// proportional share keep their sum from swinging between domains. There is no state to
// return from: as the own domain's cost falls, the share does.
//
// A domain of which little was heard gets single probes, at growing intervals while they show
// no gain. Bounds: two averages for each service and domain, maxServices services, and at most
// one probe of a service each minProbePause.
package spillover
