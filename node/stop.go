package node

import (
	"context"
	"time"
)

const (
	// callerStopDelay is how long a stopping node still accepts requests of callers. The
	// platform notices the stop only after two failed readiness probes, one second
	// apart.
	callerStopDelay = 2300 * time.Millisecond
	// peerStopDelay is how long a stopping node waits until it announces the stop to its
	// peers. Until then they use the target, and most of their calls still end within
	// callerStopDelay.
	peerStopDelay = 1500 * time.Millisecond
	// cutOffFraction of the grace time is how long before the process is killed the node stops
	// waiting for requests and calls to end.
	cutOffFraction   = 0.125
	idlePollInterval = 20 * time.Millisecond
	// quietTime is how long no call must be in flight before the node stops.
	quietTime = 100 * time.Millisecond
)

// stopSchedule is the course of a planned stop.
type stopSchedule struct {
	late   time.Time // when callers and the platform have had time to notice the stop
	cutOff time.Time // when requests still in flight are cut off
}

func newStopSchedule(begun time.Time, graceTime time.Duration) *stopSchedule {
	return &stopSchedule{
		late:   begun.Add(callerStopDelay),
		cutOff: begun.Add(time.Duration((1 - cutOffFraction) * float64(graceTime))),
	}
}

// bound returns the deadline of a request that arrives now, which is no later than the cut-off. It
// returns false if the request arrives late and may last beyond it. Such a request is refused, so
// that its caller can still send it to another node. s is nil while the node isn't stopping.
func (s *stopSchedule) bound(now, deadline time.Time) (time.Time, bool) {
	switch {
	case s == nil || !deadline.After(s.cutOff):
		return deadline, true
	case now.Before(s.late):
		return s.cutOff, true
	}
	return deadline, false
}

// stopGracefully lets requests in flight complete, as far as the grace time allows.
func (n *Node) stopGracefully(s *servers) {
	started := n.now()
	schedule := newStopSchedule(started, n.settings.GraceTime)
	n.dispatcher.stop.Store(schedule)
	n.log.Info("node stopping", "requests", n.ingress.InFlight(), "calls", n.delivery.inFlight())
	time.Sleep(peerStopDelay)
	n.announceStopping()
	time.Sleep(callerStopDelay - peerStopDelay)
	// From here on the node accepts no connections of callers, and closes each open one
	// after the response to its last request.
	ctx, cancel := context.WithDeadline(context.Background(), schedule.cutOff)
	defer cancel()
	if err := n.ingress.Stop(ctx); err != nil {
		n.log.Info("requests cut off", "error", err.Error())
		n.ingress.Close()
	}
	n.waitIdle(schedule.cutOff)
	_ = s.peers.Close()
	for _, server := range s.control {
		_ = server.Close() // their requests are short
	}
	n.links.Close()
	n.log.Info("node stopped", "after", n.now().Sub(started).Seconds())
}

// announceStopping makes peers send no more calls to this node. The node refuses calls
// that arrive more than stopFenceDelay later.
func (n *Node) announceStopping() {
	n.delivery.stop()
	n.mu.Lock()
	n.mu.record.Sequence++
	n.mu.record.Leaving = true
	record := n.mu.record
	n.mu.Unlock()
	n.announce(record)
	n.quotas.stop()
}

// waitIdle returns when no call has been in flight for quietTime, or at the deadline.
func (n *Node) waitIdle(deadline time.Time) {
	idle := time.Duration(0)
	for n.now().Before(deadline) {
		time.Sleep(idlePollInterval)
		idle += idlePollInterval
		if n.delivery.inFlight() > 0 {
			idle = 0
		}
		if idle >= quietTime {
			return
		}
	}
}
