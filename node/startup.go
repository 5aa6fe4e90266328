package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

const (
	// consultInterval is the time between two checks whether a starting node may put its
	// configuration in force.
	consultInterval = 50 * time.Millisecond
	// maxConsulted bounds the peers that are asked at the same time. Some may be gone.
	maxConsulted = 4
	// consultTimeout bounds the question to one peer.
	consultTimeout = 1 * time.Second
)

// propose brings a configuration into force, or holds it until the startup gate opens.
func (n *Node) propose(c *route.Configuration, from string) {
	defer n.healthPathKnown()
	n.startup.Lock()
	n.startup.gate.ConfigurationKnown(n.now())
	if !n.startup.isOpen {
		if n.startup.candidate == nil || n.startup.candidate.Version < c.Version {
			n.startup.candidate, n.startup.candidateFrom = c, from
		}
		n.startup.Unlock()
		return
	}
	n.startup.Unlock()
	n.applyConfiguration(c, from)
}

// openStartup brings the newest known configuration into force if the startup gate is open.
// It reports whether the gate is.
func (n *Node) openStartup() bool {
	others := len(n.others())
	n.startup.Lock()
	defer n.startup.Unlock()
	if n.startup.isOpen || !n.startup.gate.Open(n.now(), others) {
		return n.startup.isOpen
	}
	n.startup.isOpen = true
	if c := n.startup.candidate; c != nil {
		n.applyConfiguration(c, n.startup.candidateFrom)
		n.startup.candidate = nil
	}
	return true
}

// consult asks peers which configuration they have in force, until the startup gate opens.
func (n *Node) consult(ctx context.Context) {
	asking := make(chan struct{}, maxConsulted)
	asked := map[string]time.Time{}
	for !n.openStartup() {
		others := n.others()
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		for _, r := range others {
			if n.hasAnswered(r.Instance) || n.now().Sub(asked[r.Instance]) < consultTimeout/4 {
				continue
			}
			select {
			case asking <- struct{}{}:
				asked[r.Instance] = n.now()
				go func() {
					n.ask(ctx, r)
					<-asking
				}()
			default: // enough peers are being asked
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-n.startup.answered:
		case <-time.After(consultInterval):
		}
	}
}

// ask pulls the state of a peer, which may be gone.
func (n *Node) ask(ctx context.Context, peer roster.Record) {
	ctx, cancel := context.WithTimeout(ctx, consultTimeout)
	defer cancel()
	if err := n.links.Pull(ctx, peer.Address); err != nil {
		return
	}
	n.startup.Lock()
	n.startup.gate.Answered(peer.Instance)
	n.startup.Unlock()
	select {
	case n.startup.answered <- struct{}{}:
	default:
	}
}

func (n *Node) hasAnswered(instance string) bool {
	n.startup.Lock()
	defer n.startup.Unlock()
	return n.startup.gate.HasAnswered(instance)
}

// others returns the records of the other instances whose nodes aren't stopping.
func (n *Node) others() []roster.Record {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	var others []roster.Record
	for _, r := range n.tables.mu.roster.All() {
		if r.Instance != n.settings.Name && !r.Leaving {
			others = append(others, r)
		}
	}
	return others
}
