// Package boundary lists the decision packages and what they must not use. Its test
// enforces the rules.
//
// A decision package is deterministic: it receives events and the time as arguments and
// returns what to do. It does no I/O, starts no goroutine, reads no clock and uses only
// random sources that its caller seeds. Sockets, workers and timers belong to the daemon
// around it.
package boundary

// DecisionPackages lists the directories of the decision packages, relative to the
// root of the module.
var DecisionPackages = []string{
	"admission",
	"attempt",
	"balance",
	"call",
	"callgraph",
	"epoch",
	"fairshare",
	"fleet",
	"freshness",
	"inventory",
	"limiter",
	"loadshed",
	"membership",
	"membudget",
	"pipeline",
	"quarantine",
	"quota",
	"republish",
	"retrybudget",
	"rollout",
	"roster",
	"route",
	"routing",
	"servicetime",
	"spillover",
	"startup",
	"timeline",
}

// ForbiddenImports lists import paths of packages that do I/O, involve goroutines, or
// contain a hidden source of time or randomness. A path also forbids all paths below it.
var ForbiddenImports = []string{
	"context",
	"log",
	"math/rand",
	"net",
	"os",
	"runtime",
	"sync",
	"syscall",
	"github.com/ThreeDotsLabs/watermill",
	"github.com/go-chi/chi",
	"github.com/go-logr/logr",
	"github.com/twitchtv/twirp",
}

// AllowedImports lists exceptions to ForbiddenImports: math/rand/v2 for seeded random
// sources, and net/netip, which parses addresses without I/O.
var AllowedImports = []string{
	"math/rand/v2",
	"net/netip",
}

// ForbiddenCalls lists functions, by package name, that read a clock, wait, or draw from
// the random source of the process.
var ForbiddenCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"},
	"rand": {"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Float64", "N", "Perm", "Shuffle"},
}
