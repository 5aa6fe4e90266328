// Package agent is the daemon around the decision packages: it owns the sockets,
// the workers, the clock and the random seed, and passes events to the state
// tables that make the decisions (packages admission, attempt, membership,
// rollout and routing).
//
// A call passes through the agents of two nodes:
//
//	caller ── entry ── dispatcher ──(link)── delivery ── target
//	                                            │
//	          entry of the same node  ──────────┘  child calls of the target
//
// entry assigns a call to its root request (class, rank, deadline, attempts) and
// refuses what deeper services would refuse. dispatcher chooses targets and
// retries where that is allowed. delivery holds the queue in front of the local
// target. A call of an at-most-once operation is handed to one target; it is sent
// to another target only after a refusal, which states that the call has not run.
//
// # Locks
//
// Each table has one lock, held for the length of one decision and never over
// I/O. No lock is taken while another is held, with these exceptions: the lock
// that orders the applied states of the local target is taken first, then that of
// fleetView, and the lock of the timeline's ring is taken last.
//
// # Workers
//
// net/http serves each connection in a goroutine. Everything periodic and all
// calls to the platform run in a fixed number of goroutines over these tables.
package agent
