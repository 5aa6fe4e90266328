package node

import (
	"context"
	"net/http"
	"time"

	"github.com/gypsumford/gypsumford/confirmation"
	"github.com/gypsumford/gypsumford/node/egress"
	"github.com/gypsumford/gypsumford/roster"
)

// healthCheckTimeout bounds a health check of the target, which may wait for a slot there.
const healthCheckTimeout = 1 * time.Second

// heartbeat handles a heartbeat. One that says ready is held until the target is confirmed. It
// reports whether anything changed that is to be published.
func (d *delivery) heartbeat(t roster.Target) bool {
	return d.applyHeartbeat(func(now time.Time) (roster.Target, bool) { return t, d.mayUse(now, t) })
}

// mayUse reports whether a heartbeat is to be applied now. The lock is held.
func (d *delivery) mayUse(now time.Time, t roster.Target) bool {
	if t.State != roster.Ready {
		current, _ := d.mu.local.Target()
		if isEarlier := t.ID == current.ID && t.Born < current.Born; !isEarlier {
			d.mu.confirmation.Left(now, t.ID)
		}
		return true
	}
	if !d.mu.local.Accepts(t) {
		return false
	}
	before, _ := d.mu.confirmation.Held()
	switch d.mu.confirmation.Heartbeat(now, t) {
	case confirmation.Use:
		return true
	case confirmation.UseUnanswered:
		d.log.targetConfirmed(&t, "heartbeats")
		return true
	}
	if held, _ := d.mu.confirmation.Held(); held.ID != before.ID || held.Born != before.Born {
		d.log.targetHeld(&held)
		d.onHeld()
	}
	return false
}

// nextCheck returns how long to wait until the held target is checked, if one is held.
func (d *delivery) nextCheck() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.confirmation.NextCheck(d.now())
}

// checkSoon makes the next check of a held target due. It reports whether one is held.
func (d *delivery) checkSoon() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.confirmation.CheckNow(d.now())
	_, isHeld := d.mu.confirmation.Held()
	return isHeld
}

// held returns the target that isn't confirmed yet.
func (d *delivery) held() (t roster.Target, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.confirmation.Held()
}

// unchecked records that a health check got no answer, or couldn't be made: yet, or as the service
// has no health path.
func (d *delivery) unchecked(hasNoPath bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if hasNoPath {
		d.mu.confirmation.NoHealthPath(d.now())
	} else {
		d.mu.confirmation.Unanswered(d.now())
	}
}

// checked records the response to a health check that was sent at sentAt. It reports whether the
// target's state changed.
func (d *delivery) checked(sentAt time.Time, health *egress.Health) bool {
	answer := confirmation.Answer{
		TargetID: health.TargetID, Healthy: health.Status == http.StatusOK,
		KeepsConnection: health.KeepsConnection, StatesLeaving: health.Statement.Leaving,
	}
	return d.applyHeartbeat(func(now time.Time) (roster.Target, bool) {
		t, ok := d.mu.confirmation.Answered(now, sentAt, answer)
		if ok {
			d.log.targetConfirmed(&t, "answer")
		} else {
			d.log.targetUnconfirmed(&answer, health.Status)
		}
		return t, ok
	})
}

// confirmTarget makes the health checks that decide whether the target may be used.
func (n *Node) confirmTarget(ctx context.Context) {
	for {
		var due <-chan time.Time
		if wait, isHeld := n.delivery.nextCheck(); isHeld {
			due = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-n.confirm: // a target is held, or the health path has become known
		case <-due:
			n.checkTarget(ctx)
		}
	}
}

// checkTarget makes one health check of the target.
func (n *Node) checkTarget(ctx context.Context) {
	held, isHeld := n.delivery.held()
	if !isHeld {
		return
	}
	path, isConfigured := n.healthPath()
	if path == "" {
		outcome := "no-configuration"
		if isConfigured {
			outcome = "no-path"
		}
		n.metrics.targetChecks.Add(outcome, 1)
		n.delivery.unchecked(isConfigured)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	sentAt := n.now()
	health, err := n.delivery.sender.CheckHealth(ctx, path, held.ID)
	if err != nil {
		n.metrics.targetChecks.Add("no-answer", 1)
		n.delivery.unchecked(false)
		return
	}
	n.metrics.targetChecks.Add("answered", 1)
	if n.delivery.checked(sentAt, health) {
		n.targetChanged()
	}
}

// healthPath returns the health path of the local target's service, "" if the configuration states
// none. isConfigured is false while no configuration is known.
func (n *Node) healthPath() (path string, isConfigured bool) {
	c := n.tables.inForce.Load()
	if c == nil {
		n.startup.Lock()
		c = n.startup.candidate
		n.startup.Unlock()
	}
	if c == nil {
		return "", false
	}
	return c.HealthPath(n.settings.Service), true
}

// healthPathKnown makes the next check of a held target due.
func (n *Node) healthPathKnown() {
	if path, _ := n.healthPath(); path != "" && n.delivery.checkSoon() {
		n.signalConfirm()
	}
}

// signalConfirm makes confirmTarget look at what is to be checked.
func (n *Node) signalConfirm() {
	select {
	case n.confirm <- struct{}{}:
	default:
	}
}
