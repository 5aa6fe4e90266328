package call

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxClasses is the maximum number of classes in an inventory.
const MaxClasses = 8

// Class is the class of importance of a call; 0 is the most important class.
type Class uint8

// RequestID identifies a root request. It is the same at every hop.
type RequestID string

// rankBits is the width of a Rank inside a Priority, in bits.
const rankBits = 24

// RankCount is the number of ranks of one class.
const RankCount = 1 << rankBits

// Rank orders the root requests of one class; 0 is the most important rank. It is a
// hash of the request id, so a request that one hop admits is likely to be admitted
// by the next.
type Rank uint32

// RankOf returns the rank of a root request; ranks are uniform over [0, RankCount).
func RankOf(id RequestID) Rank {
	return Rank(xxhash.Sum64String(string(id)) >> (64 - rankBits))
}

// Priority orders calls by class first and by rank second; lower values are
// more important.
type Priority uint32

// PriorityOf combines a class and a rank.
func PriorityOf(class Class, rank Rank) Priority {
	return Priority(uint32(class)<<rankBits | uint32(rank)&(RankCount-1))
}

// Class returns the class of the priority.
func (p Priority) Class() Class { return Class(p >> rankBits) }

// Rank returns the rank of the priority.
func (p Priority) Rank() Rank { return Rank(p & (RankCount - 1)) }

// Level is an admission threshold: a call is admitted if its priority is below the
// level. Lower levels are stricter.
type Level uint32

// AdmitAll is the level that refuses no call.
const AdmitAll Level = math.MaxUint32

// Admits reports whether the level admits a call of this priority.
func (l Level) Admits(p Priority) bool { return uint32(p) < uint32(l) }

// Stricter returns the lower of two levels.
func (l Level) Stricter(other Level) Level { return min(l, other) }

// Call holds the properties of a call that a node knows before it decides about it.
type Call struct {
	Request   RequestID
	Service   string
	Operation string
	Caller    string    // client account that sent the root request, "" if unnamed
	Deadline  time.Time // time after which the caller has no use for the response
	Class     Class
	Rank      Rank
	Grant     int // attempts that this call may cause in total, including its own
	Depth     int // number of calls above this one, 0 for the root call
}

// Priority returns the call's priority.
func (c *Call) Priority() Priority { return PriorityOf(c.Class, c.Rank) }
