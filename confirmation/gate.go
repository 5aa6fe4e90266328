// Package confirmation decides whether a node may use a target of which it hears by heartbeats.
//
// A node that acknowledges that a target leaves is bound by that, and so are all others. Its
// process may end the moment after, before anybody else knows, and the store may be away, forget
// what it held, or never have heard of it. The next process then knows nothing of the leaving,
// while a heartbeat that the target sent earlier may still be on its way and say ready. Nothing
// that nodes remember covers all of these, and no heartbeat tells when it was sent.
//
// The target itself knows. A node therefore asks it, with a health check, before it uses a target
// of which its own process hasn't heard before. What an answer shows:
//
//   - A target is healthy only while it doesn't leave, so a healthy answer shows that it stays.
//   - A target that leaves closes each connection after its response, as do others now and then.
//     So an answer that keeps the connection open shows that the target stays, though it is
//     overloaded or fails its health check.
//   - Any other answer shows nothing. The node asks again.
//   - An answer of another target shows that the heartbeat is an old one.
//
// The answer counts from when the check was sent. Whatever was acknowledged before by an earlier
// process is then refuted, as a leaving target doesn't come back, and what this process
// acknowledges later it remembers itself: see Left. So one answer for each process and target
// suffices.
//
// A target that gives no answer to any check is used once its heartbeats have gone on for longer
// than a target that leaves goes on serving. One that can't be asked, as its service has no health
// path, is used once they have gone on for longer than heartbeats are late. A target that gave an
// answer which it may give while it leaves isn't used by its heartbeats.
//
// A Gate does no I/O and reads no clock. It is not safe for concurrent use.
package confirmation

import (
	"time"

	"github.com/gypsumford/gypsumford/roster"
)

const (
	// minPause and maxPause bound the pause between two checks. It doubles with each check.
	minPause = 50 * time.Millisecond
	maxPause = 1 * time.Second
	// lateIntervals is the number of heartbeat intervals for which heartbeats of a target that
	// can't be asked must go on, and after which a held target whose heartbeats have stopped is
	// dropped. Heartbeats may be seconds late.
	lateIntervals = 4
	// unansweredTime is how long the heartbeats of a target that could be asked, but doesn't answer,
	// must go on. A target that leaves serves for seconds, at times for many.
	unansweredTime = 30 * time.Second
)

// Answer is a target's answer to a health check.
type Answer struct {
	TargetID        string // of the target that answered, "" if it isn't stated
	Healthy         bool
	KeepsConnection bool // the target lets the connection of the check stay open
	StatesLeaving   bool
}

// Decision is what becomes of a heartbeat.
type Decision uint8

const (
	// Hold means that the target isn't to be used yet. The gate keeps the heartbeat.
	Hold Decision = iota
	// Use means that the target is confirmed.
	Use
	// UseUnanswered means that the target has become confirmed by its heartbeats alone.
	UseUnanswered
)

// Gate holds the heartbeats of a target until the target is confirmed.
type Gate struct {
	interval  time.Duration // between heartbeats
	confirmed string        // ID of the target that is confirmed, "" if none is
	lastLeft  time.Time     // when a target last said that it leaves

	held        roster.Target // by its last heartbeat; without an ID if none is held
	heldSince   time.Time
	lastHeard   time.Time
	isDoubtful  bool // the held target has given an answer that doesn't confirm it
	hasNoPath   bool // the service of the held target has no health path
	pause       time.Duration
	nextCheckAt time.Time
}

// NewGate returns a gate that knows no target. interval is the time between heartbeats.
func NewGate(interval time.Duration) *Gate { return &Gate{interval: interval} }

// Heartbeat decides on a heartbeat that says that the target is ready.
func (g *Gate) Heartbeat(now time.Time, t roster.Target) Decision {
	if t.ID == g.confirmed {
		return Use
	}
	switch {
	case t.ID == g.held.ID && t.Born == g.held.Born:
		if t.Sequence <= g.held.Sequence {
			return Hold
		}
		g.held, g.lastHeard = t, now
	case g.held.ID == "" || t.Born >= g.held.Born:
		g.held, g.heldSince, g.lastHeard, g.isDoubtful = t, now, now, false
		g.CheckNow(now)
	default:
		return Hold
	}
	enough := unansweredTime
	if g.hasNoPath {
		enough = lateIntervals * g.interval
	}
	if g.isDoubtful || now.Sub(g.heldSince) < enough {
		return Hold
	}
	g.confirm()
	return UseUnanswered
}

// Left records that a target said that it leaves. Only answers to checks that are sent later can
// confirm it, or another incarnation with its ID.
func (g *Gate) Left(now time.Time, id string) {
	g.lastLeft = now
	if g.confirmed == id {
		g.confirmed = ""
	}
	if g.held.ID == id {
		g.held = roster.Target{}
	}
}

// Held returns the target that isn't confirmed yet.
func (g *Gate) Held() (t roster.Target, ok bool) { return g.held, g.held.ID != "" }

// NextCheck returns how long to wait until the target is checked. ok is false if none is to be.
func (g *Gate) NextCheck(now time.Time) (wait time.Duration, ok bool) {
	if g.held.ID != "" && now.Sub(g.lastHeard) >= lateIntervals*g.interval {
		g.held = roster.Target{}
	}
	return max(g.nextCheckAt.Sub(now), 0), g.held.ID != ""
}

// CheckNow makes the next check due, for example as the health path has become known.
func (g *Gate) CheckNow(now time.Time) {
	g.pause, g.nextCheckAt, g.hasNoPath = minPause, now, false
}

// NoHealthPath records that a check couldn't be made, as the target's service has no health path.
func (g *Gate) NoHealthPath(now time.Time) {
	g.scheduleCheck(now)
	g.hasNoPath = true
}

// Unanswered records that a check got no answer, or couldn't be made yet.
func (g *Gate) Unanswered(now time.Time) { g.scheduleCheck(now) }

// scheduleCheck schedules the next check after a pause.
func (g *Gate) scheduleCheck(now time.Time) {
	g.nextCheckAt = now.Add(g.pause)
	g.pause = min(2*g.pause, maxPause)
}

// Answered records the answer to a check that was sent at sentAt. If the answer confirms the held
// target, Answered returns its heartbeat, which is to be used now.
func (g *Gate) Answered(now, sentAt time.Time, a Answer) (t roster.Target, ok bool) {
	g.scheduleCheck(now) // it isn't made if the target is confirmed
	switch {
	case g.held.ID == "" || a.TargetID == "" || !sentAt.After(g.lastLeft):
		return t, false
	case a.TargetID != g.held.ID:
		g.held = roster.Target{}
		return t, false
	case a.StatesLeaving || !a.Healthy && !a.KeepsConnection:
		g.isDoubtful = true
		return t, false
	}
	t = g.held
	g.confirm()
	return t, true
}

// confirm makes the held target the confirmed one.
func (g *Gate) confirm() { g.confirmed, g.held = g.held.ID, roster.Target{} }
