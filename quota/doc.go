// Package quota keeps the requests of client accounts within quotas that bind all nodes
// together: in each sliding window at most (rate x window + burst) x (1 + overage) + slack
// requests of an account start, whatever is cut off, frozen, restarted or delayed.
//
// Evidence: a callers' account may send everything to one node or spread it thinly over all,
// at up to 8 times its usual rate, so static parts of the quota on each node either refuse an
// account below its quota or exceed the bound. No service keeps state for all nodes.
//
// Decision: each of N instances owns the Nth part of every quota. It delegates its part, by
// group of accounts, to one home at a time: an instance that all nodes choose by rendezvous
// hashing among those that answer them. A delegation ends by itself after a term. It carries a
// time of the home's own clock which the home sent before, so that its end at the home never
// lies behind its end at the instance, however late the frame arrives. An instance delegates
// to another home only when its term has ended, or the home has confirmed that it uses
// the part no more. A process that starts first waits for the term of its earlier one.
//
// A home keeps a token bucket for each account, empty at first, that fills at the rate of
// the parts that it holds. Entries ask it for tokens, in batches by demand that expire.
// Tokens at entries count as content of the bucket until they expire. So at any time
// buckets and entries together hold at most (burst + rate x a fifth of a second) for each unit
// of parts, which with the refill of a window bounds what starts in it.
//
// Bound: a part exists once, so the sum over all homes exceeds 1 only while instances
// disagree on N. A home never counts more than 1, and raises its sum by reclaimFraction if it
// holds the majority of the parts, for those of instances that are gone for good.
package quota
