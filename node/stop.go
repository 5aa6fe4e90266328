package node

import (
	"context"
	"time"
)

const (
	// leavingTime is how long a node that stops still takes requests of callers:
	// the platform notices only after two of its questions, a second apart.
	leavingTime = 2300 * time.Millisecond
	// peersTime is how long peers still send calls: their calls are mostly done by
	// leavingTime, and until then the target is of use.
	peersTime = 1500 * time.Millisecond
	// graceMargin is kept from the time until the process is killed.
	graceMargin = 1 * time.Second
	// cutOffTime is how long answers to requests that were cut off may take.
	cutOffTime = 300 * time.Millisecond
	stopStep   = 20 * time.Millisecond
	// quietTime is how long no call must be under way before the node stops.
	quietTime = 100 * time.Millisecond
)

// stopGracefully lets requests under way complete, as long as there is time.
func (n *Node) stopGracefully(s *servers) {
	started := n.now()
	n.stopping.Store(true)
	n.log.Info("node stopping", "requests", n.ingress.InFlight(), "calls", n.delivery.active())
	time.Sleep(peersTime)
	n.leaveFleet()
	time.Sleep(leavingTime - peersTime)
	// From here on no connection is taken, and each closes after its answer.
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(n.settings.GraceTime-graceMargin+cutOffTime))
	defer cancel()
	if err := n.ingress.Stop(ctx); err != nil {
		n.log.Info("requests cut off", "requests", n.ingress.InFlight(), "error", err.Error())
		n.ingress.Close()
	}
	n.waitIdle(started.Add(n.settings.GraceTime - graceMargin))
	_ = s.peers.Close()
	for _, server := range s.control {
		_ = server.Close() // nothing of theirs lasts
	}
	n.links.Close()
	n.log.Info("node stopped", "after", n.now().Sub(started).Seconds())
}

// leaveFleet tells peers that the node takes no new calls, and soon takes none.
func (n *Node) leaveFleet() {
	n.delivery.stop()
	n.mu.Lock()
	n.mu.record.Sequence++
	n.mu.record.Leaving = true
	record := n.mu.record
	n.mu.Unlock()
	n.announce(record)
}

// waitIdle returns when no call has been under way for quietTime, or at latest.
func (n *Node) waitIdle(latest time.Time) {
	idle := time.Duration(0)
	for n.now().Before(latest) {
		time.Sleep(stopStep)
		idle += stopStep
		if n.delivery.active() > 0 {
			idle = 0
		}
		if idle >= quietTime {
			return
		}
	}
}
