// Package admission decides which calls start on a target, in which order, and
// which are refused. It also lets entry nodes refuse requests that a service
// further down the call graph would refuse later.
//
// A Queue holds the calls for one target, on the node beside that target. Its
// inputs are the arrivals, with priority, caller, operation and deadline, the
// results of the calls that it started, and regular ticks. Its outputs are
// verdicts (start or refuse) and a Level for each caller.
//
// # Order and refusals
//
// The queue runs as many calls at once as its concurrency limit allows; the
// others wait. Waiting calls start in order of arrival, with a head start for
// each class over the next less important one. Strict priority order would pass
// over admitted calls again and again while the services that sent them hold
// slots for them.
//
// When the queue is full, the least important call is refused: by class, then by
// rank, weighted by how far its caller exceeds its share. A call that can no
// longer meet its deadline is refused before it runs, and so is one that has
// waited too long; the bound is shorter if the level has closed the call's class.
//
// # Concurrency limit
//
// The limit is the number of slots in the target's contract. It is cut when the
// target sheds calls and recovers when the shedding stops. A target that is only
// slow keeps its slots busy, so latency alone never lowers the limit. Without a
// stated number of slots, the limit is raised as long as this raises throughput.
//
// # Levels
//
// A refusal at the queue comes late: the services that sent the call have already
// worked for the request. Each queue therefore also derives a Level, by which
// entry nodes refuse requests before any work is done.
//
// Ranks are uniform hashes of the request id. The number of calls that arrive
// below a known rank therefore gives an estimate of the total demand, even if the
// entry nodes refuse the rest. The level follows from this demand, the rate at
// which the target completes calls (both in calls per second), and the length of
// the queue: capacity goes to the classes in order of importance, and the first
// class that does not fit is divided between callers by weighted max-min
// fairness. The level leaves a short queue, so that the slots stay busy while
// demand varies. A level falls at once. It rises by bounded steps each tick,
// faster while slots are idle, so a closed class is open again within a second.
//
// # Long calls
//
// Long calls wait in a lane of their own. Operations whose service time is many
// times the target's median can't take the slots that are reserved for short calls.
//
// # Entry nodes
//
// Levels is the table that an entry node keeps of the levels in the replies that it
// received, and by which it admits or refuses requests.
//
// All tables are bounded. The package does no I/O and reads no clock. Its types
// are not safe for concurrent use.
package admission
