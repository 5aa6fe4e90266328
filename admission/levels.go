package admission

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// Parameters of learned levels.
const (
	MaxLevels     = 4096                   // levels that an entry node remembers
	MaxProbes     = 1024                   // services whose probes it counts
	levelExpiry   = time.Second            // age from which a level no longer holds
	levelStale    = 300 * time.Millisecond // age from which a refused call may go as a probe
	probeInterval = 250 * time.Millisecond // time between two probes of one service
	hintNewer     = 20 * time.Millisecond  // by which another operation's level must be newer to count as a hint
	hintInterval  = 50 * time.Millisecond  // time between two probes that follow a hint
)

// LevelVerdict tells whether an entry node lets a call pass.
type LevelVerdict struct {
	Admit      bool
	Probe      bool // admitted against the level, to learn a newer one
	Level      call.Level
	RetryAfter time.Duration // of a refusal
}

// levelKey names one learned level.
type levelKey struct {
	service   string
	operation string
	caller    string
}

// learned is a level as the last answer told it.
type learned struct {
	level call.Level
	at    time.Time
	since time.Time // start of the time in which it refused something
}

// Levels is what an entry node has learned of the levels of the services that
// it calls. It is not safe for concurrent use.
type Levels struct {
	learned map[levelKey]learned
	hints   map[levelKey]learned // by service and caller: the last level of any operation
	probes  map[string]time.Time // last probe of a service
	swept   time.Time
}

// NewLevels returns an empty table: all calls are admitted.
func NewLevels() *Levels {
	return &Levels{
		learned: make(map[levelKey]learned),
		hints:   make(map[levelKey]learned),
		probes:  make(map[string]time.Time),
	}
}

// Observe takes the level that an answer carried.
func (l *Levels) Observe(now time.Time, service, operation, caller string, level call.Level) {
	l.hint(now, levelKey{service: service, caller: caller}, level)
	key := levelKey{service, operation, caller}
	known, ok := l.learned[key]
	if level == call.AdmitAll {
		if ok {
			delete(l.learned, key)
		}
		return
	}
	if !ok && len(l.learned) >= MaxLevels {
		l.sweep(now)
		if len(l.learned) >= MaxLevels {
			return
		}
	}
	if !ok || now.Sub(known.at) > levelExpiry {
		known.since = now
	}
	known.level = level
	known.at = now
	l.learned[key] = known
}

// hint takes the level as a hint for the other operations of the service.
func (l *Levels) hint(now time.Time, key levelKey, level call.Level) {
	_, ok := l.hints[key]
	if !ok && level == call.AdmitAll {
		return
	}
	if !ok && len(l.hints) >= MaxLevels {
		l.sweep(now)
		if len(l.hints) >= MaxLevels {
			return
		}
	}
	l.hints[key] = learned{level: level, at: now}
}

// hinted reports whether a newer answer to another operation suggests that the
// level has risen above the priority. Only a probe can tell, as the operations
// of a service may call different services.
func (l *Levels) hinted(known learned, service, caller string, p call.Priority) bool {
	hint, ok := l.hints[levelKey{service: service, caller: caller}]
	return ok && hint.at.Sub(known.at) > hintNewer && hint.level.Admits(p)
}

// Check tells whether a call may pass.
func (l *Levels) Check(now time.Time, service, operation, caller string, p call.Priority) LevelVerdict {
	known, ok := l.learned[levelKey{service, operation, caller}]
	if !ok || now.Sub(known.at) > levelExpiry {
		return LevelVerdict{Admit: true, Level: call.AdmitAll}
	}
	if known.level.Admits(p) {
		return LevelVerdict{Admit: true, Level: known.level}
	}
	if l.mayProbe(now, known, service, caller, p) {
		return LevelVerdict{Admit: true, Probe: true, Level: known.level}
	}
	return LevelVerdict{Level: known.level, RetryAfter: retryAfter(now.Sub(known.since), p)}
}

// mayProbe reports whether a call that the level refuses may pass as a probe.
func (l *Levels) mayProbe(now time.Time, known learned, service, caller string, p call.Priority) bool {
	if now.Sub(known.at) > levelStale && l.probe(now, service, probeInterval) {
		return true
	}
	return l.hinted(known, service, caller, p) && l.probe(now, service, hintInterval)
}

// probe reports whether a probe of the service is due, and counts it.
func (l *Levels) probe(now time.Time, service string, interval time.Duration) bool {
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

// sweep forgets expired levels and probes, at most once in levelExpiry.
func (l *Levels) sweep(now time.Time) {
	if now.Sub(l.swept) < levelExpiry {
		return
	}
	l.swept = now
	for key, known := range l.learned {
		if now.Sub(known.at) > levelExpiry {
			delete(l.learned, key)
		}
	}
	for key, hint := range l.hints {
		if now.Sub(hint.at) > levelExpiry {
			delete(l.hints, key)
		}
	}
	for service, last := range l.probes {
		if now.Sub(last) > levelExpiry {
			delete(l.probes, service)
		}
	}
}

// Len returns the number of remembered levels.
func (l *Levels) Len() int { return len(l.learned) }
