// Package admission decides which calls a target is given, in which order, and
// which are refused; and it lets entry nodes refuse early what a deeper service
// would refuse later.
//
// A Queue stands in front of one target, at the target's own node. It starts as
// many calls at once as its limit allows and holds the others. They start in
// order of arrival, with a lead for each class over the next less important one:
// an order by importance alone would pass over admitted calls again and again,
// while the services above hold slots for them. When the queue is full, the least
// important call is refused: by class, then by rank, stretched by how far its
// caller exceeds its share. A call that can no longer meet its deadline is
// refused before it runs, and so is one that has waited long and whose class the
// level has closed.
//
// The limit is the number of slots that the target's contract states. It is cut
// when the target sheds and climbs back when it stops. A target that is merely
// slow keeps its slots busy, so latency alone never lowers the limit. Without a
// stated number the limit is raised as long as that raises the completions.
//
// Refusals at the queue come late: the services above have already worked for
// the request. So each queue also derives a Level, by which entry nodes refuse
// before any work is done. Ranks are uniform hashes of the request, so the calls
// that arrive below a known rank tell how many are offered in total, whether or
// not the entry nodes refuse the rest. From these densities, the rate at which
// the target completes calls, and the length of the queue, the level follows
// directly: classes are filled in order of importance, and the class that does
// not fit is divided between callers by weighted max-min fairness. The level
// leaves a short queue, so the slots stay busy while the demand varies. A level
// falls at once; it rises by bounded steps each tick, faster while slots are idle,
// so a closed class is open again within a second.
//
// Long calls get a lane of their own. Operations that usually run many times
// longer than the service's usual call can't take the slots kept for short ones.
//
// Levels is the other end: what an entry node has learned from answers.
//
// All tables are bounded. Nothing here does I/O, reads a clock, or may be used
// by several goroutines at once.
package admission
