package admission

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// Parameters of received levels.
const (
	MaxLevels       = 4096                   // levels in the table of an entry node
	MaxProbes       = 1024                   // services whose last probe is in the table
	levelExpiry     = time.Second            // age above which a level is ignored
	levelStaleAfter = 300 * time.Millisecond // age above which a refused call may be admitted as a probe
	probeInterval   = 250 * time.Millisecond // shortest time between two probes of one service
	minHintLead     = 20 * time.Millisecond  // a hint counts if it is newer than the operation's own level by more than this
	hintInterval    = 50 * time.Millisecond  // shortest time between two probes of one service if a hint counts
)

// LevelVerdict is the decision of an entry node on a call.
type LevelVerdict struct {
	Admit      bool
	Probe      bool // admitted although the level refuses it, to receive a newer level
	Level      call.Level
	RetryAfter time.Duration // of a refusal
}

// levelKey identifies one received level.
type levelKey struct {
	service   string
	operation string
	caller    string
}

// receivedLevel is the level in the last reply.
type receivedLevel struct {
	level         call.Level
	received      time.Time
	refusingSince time.Time // time from which the level has refused some calls
}

// Levels is the table that an entry node keeps of the levels of the services that
// it calls, as received in replies. It is not safe for concurrent use.
type Levels struct {
	levels map[levelKey]receivedLevel
	hints  map[levelKey]receivedLevel // by service and caller: the last level received for any operation
	probes map[string]time.Time       // time of the last probe, by service
	pruned time.Time
}

// NewLevels returns an empty table, which admits all calls.
func NewLevels() *Levels {
	return &Levels{
		levels: make(map[levelKey]receivedLevel),
		hints:  make(map[levelKey]receivedLevel),
		probes: make(map[string]time.Time),
	}
}

// Observe records the level in a reply. AdmitAll removes the entry. A new
// entry is dropped if the table is full.
func (l *Levels) Observe(now time.Time, service, operation, caller string, level call.Level) {
	l.recordHint(now, levelKey{service: service, caller: caller}, level)
	key := levelKey{service, operation, caller}
	known, ok := l.levels[key]
	if level == call.AdmitAll {
		if ok {
			delete(l.levels, key)
		}
		return
	}
	if !ok && len(l.levels) >= MaxLevels {
		l.prune(now)
		if len(l.levels) >= MaxLevels {
			return
		}
	}
	if !ok || now.Sub(known.received) > levelExpiry {
		known.refusingSince = now
	}
	known.level = level
	known.received = now
	l.levels[key] = known
}

// recordHint records the level as a hint for the other operations of the service.
func (l *Levels) recordHint(now time.Time, key levelKey, level call.Level) {
	_, ok := l.hints[key]
	if !ok && level == call.AdmitAll {
		return
	}
	if !ok && len(l.hints) >= MaxLevels {
		l.prune(now)
		if len(l.hints) >= MaxLevels {
			return
		}
	}
	l.hints[key] = receivedLevel{level: level, received: now}
}

// mayHaveRisen reports whether a newer reply for another operation suggests
// that the level has risen above the priority. This is only a reason to probe, since
// the operations of a service may call different services.
func (l *Levels) mayHaveRisen(known receivedLevel, service, caller string, p call.Priority) bool {
	hint, ok := l.hints[levelKey{service: service, caller: caller}]
	return ok && hint.received.Sub(known.received) > minHintLead && hint.level.Admits(p)
}

// Check decides whether a call is admitted.
func (l *Levels) Check(now time.Time, service, operation, caller string, p call.Priority) LevelVerdict {
	known, ok := l.levels[levelKey{service, operation, caller}]
	if !ok || now.Sub(known.received) > levelExpiry {
		return LevelVerdict{Admit: true, Level: call.AdmitAll}
	}
	if known.level.Admits(p) {
		return LevelVerdict{Admit: true, Level: known.level}
	}
	if l.mayProbe(now, known, service, caller, p) {
		return LevelVerdict{Admit: true, Probe: true, Level: known.level}
	}
	return LevelVerdict{Level: known.level, RetryAfter: retryAfter(now.Sub(known.refusingSince), p)}
}

// mayProbe reports whether a call that the level refuses is admitted as a probe.
func (l *Levels) mayProbe(now time.Time, known receivedLevel, service, caller string, p call.Priority) bool {
	if now.Sub(known.received) > levelStaleAfter && l.takeProbe(now, service, probeInterval) {
		return true
	}
	return l.mayHaveRisen(known, service, caller, p) && l.takeProbe(now, service, hintInterval)
}

// takeProbe reports whether a probe of the service is due, and records it if so.
func (l *Levels) takeProbe(now time.Time, service string, interval time.Duration) bool {
	last, ok := l.probes[service]
	if ok && now.Sub(last) < interval {
		return false
	}
	if !ok && len(l.probes) >= MaxProbes {
		return false
	}
	l.probes[service] = now
	return true
}

// prune removes expired levels, hints and probes, at most once per levelExpiry.
func (l *Levels) prune(now time.Time) {
	if now.Sub(l.pruned) < levelExpiry {
		return
	}
	l.pruned = now
	for key, known := range l.levels {
		if now.Sub(known.received) > levelExpiry {
			delete(l.levels, key)
		}
	}
	for key, hint := range l.hints {
		if now.Sub(hint.received) > levelExpiry {
			delete(l.hints, key)
		}
	}
	for service, last := range l.probes {
		if now.Sub(last) > levelExpiry {
			delete(l.probes, service)
		}
	}
}

// Len returns the number of levels in the table, without hints.
func (l *Levels) Len() int { return len(l.levels) }
