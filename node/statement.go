package node

import (
	"net/http"
	"time"

	"github.com/gypsumford/gypsumford/node/egress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/roster"
)

// statementLogInterval is the time between log lines on the calls of a target that limits
// its rate, and the least time between those on statements that can't be read and between
// those on a limit that comes and goes.
const statementLogInterval = 1 * time.Second

// callCounts counts the calls for the local target since the last log line on them.
type callCounts struct{ sent, refused int }

// observeResponse updates the local target from what it states in a response to a call that
// was sent to it at sentAt, in the incarnation to.
func (d *delivery) observeResponse(c *link.Call, to roster.Target, sentAt time.Time, response *egress.Response) {
	if response == nil || response.Status == http.StatusMisdirectedRequest || to.ID != c.TargetID {
		return // another target responded
	}
	stated := response.Fields.Statement
	now := d.now()
	d.mu.Lock()
	before, _ := d.mu.local.Target()
	if stated.Invalid != nil && now.Sub(d.mu.invalidLoggedAt) >= statementLogInterval {
		d.mu.invalidLoggedAt = now
		d.log.inputIgnored("statement of the target", stated.Invalid.Error(), "target", c.TargetID, "request", c.RequestID)
	}
	publish := d.mu.local.ObserveStatement(now, sentAt, to, stated)
	d.mu.limiter.EndSlowStart()
	d.applyStatements(now, c.RequestID, before)
	d.mu.Unlock()
	if publish {
		d.onTargetChanged()
	}
}

// applyStatements makes the limiter keep to what the local target states, and logs a change.
// The lock is held.
func (d *delivery) applyStatements(now time.Time, why string, before roster.Target) {
	after, _ := d.mu.local.Target()
	d.mu.limiter.SetRateLimit(now, after.RateLimit)
	d.wake()
	limitChanged := (before.RateLimit > 0) != (after.RateLimit > 0) && now.Sub(d.mu.limitLoggedAt) >= statementLogInterval
	if limitChanged || before.Leaving != after.Leaving {
		d.mu.limitLoggedAt = now
		d.log.statementChanged(&before, &after, why)
	}
}

// observeEarlier records what the target stated before this process was started. It
// reports whether the target's state changed.
func (d *delivery) observeEarlier(t roster.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, _ := d.mu.local.Target()
	changed := d.mu.local.ObserveEarlier(t)
	d.applyStatements(d.now(), "before the restart", before)
	return changed
}

// ratePublicationDue reports whether the target's rate limit is to be published now.
func (d *delivery) ratePublicationDue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.local.RatePublicationDue(d.now())
}

// stated returns what replies report of the local target's statements. The lock is held.
func (d *delivery) stated() *link.Statement {
	target, _ := d.mu.local.Target()
	if target.RateLimit == 0 && !target.Leaving {
		return nil
	}
	return &link.Statement{Born: target.Born, RateLimit: target.RateLimit, Leaving: target.Leaving}
}

// logLimited logs how many calls were sent to the local target since the last line, if the
// target limits its rate.
func (d *delivery) logLimited() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target, _ := d.mu.local.Target(); target.RateLimit > 0 {
		d.log.targetLimited(&target, d.mu.calls, d.mu.limiter)
	}
	d.mu.calls = callCounts{}
}
