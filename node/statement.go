package node

import (
	"net/http"
	"time"

	"github.com/gypsumford/gypsumford/node/egress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/roster"
)

// statementLogInterval is the time between log lines on the calls of a target that limits
// its rate, and between those on statements that can't be read.
const statementLogInterval = 1 * time.Second

// statementLog tracks what the local target states, for log lines and metrics.
type statementLog struct {
	stated       roster.Statement
	sent         int // calls sent to the target since the last line
	refused      int // calls refused since then
	invalidLogAt time.Time
}

// observeResponse records what the local target states in a response to the call.
func (d *delivery) observeResponse(c *link.Call, response *egress.Response) {
	if response == nil || response.Status == http.StatusMisdirectedRequest {
		return // another target responded
	}
	s := response.Fields.Statement
	d.mu.Lock()
	defer d.mu.Unlock()
	l := &d.mu.statementLog
	if s.Invalid != nil && d.now().Sub(l.invalidLogAt) >= statementLogInterval {
		l.invalidLogAt = d.now()
		d.log.inputIgnored("statement of the target", s.Invalid.Error(), "target", c.TargetID, "request", c.RequestID)
	}
	if before := l.stated; before.HasRateLimit != s.HasRateLimit || before.Leaving != s.Leaving {
		d.log.statementChanged(c, before, s)
	}
	l.stated = s
}

// logLimited logs how many calls were sent to the local target since the last line, if the
// target limits its rate.
func (d *delivery) logLimited() {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := &d.mu.statementLog
	if l.stated.HasRateLimit {
		target, _ := d.mu.local.Target()
		d.log.targetLimited(target.ID, l.stated.RateLimit, l.sent, l.refused, d.mu.limiter.Running(), d.mu.limiter.Waiting())
	}
	l.sent, l.refused = 0, 0
}

// stated returns what the local target stated last.
func (d *delivery) stated() roster.Statement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.statementLog.stated
}

func (d *delivery) countSent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.statementLog.sent++
}

func (d *delivery) countRefused() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.statementLog.refused++
}
