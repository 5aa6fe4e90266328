package claim_test

import (
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/claim"
)

// fakePlatform keeps the objects of one service's shards.
type fakePlatform struct {
	objects map[int]object
	down    bool
	asked   int // calls, whatever became of them
}

type object struct {
	version uint64
	value   []byte
}

func (p *fakePlatform) put(a claim.Action) (claim.WriteResult, uint64) {
	current := p.objects[a.Shard]
	if current.version != a.ExpectVersion {
		return claim.Conflict, 0
	}
	next := object{current.version + 1, slices.Clone(a.Value)}
	p.objects[a.Shard] = next
	return claim.Written, next.version
}

// writeFault tells what goes wrong with a write.
type writeFault int

const (
	noFault writeFault = iota
	lostRequest
	lostAnswer
	lateEffect // the write takes effect long after it was given up
	writeFaults
)

func (w *world) writeFault() writeFault {
	if w.choose("write fault", 100) >= w.faults.platform {
		return noFault
	}
	return lostRequest + writeFault(w.choose("write fault kind", int(writeFaults-lostRequest)))
}

func (w *world) write(n *node, a claim.Action) {
	w.platform.asked++
	fault := w.writeFault()
	home := n.home
	if w.platform.down {
		fault = lostRequest
	}
	unsettled := func(h *claim.Home) []claim.Action {
		return h.WriteDone(w.now, a.Shard, a.Token, claim.Unsettled, 0)
	}
	switch fault {
	case lostRequest:
		n.later(platformTimeout, unsettled)
	case lostAnswer:
		w.after(w.latency(), func() { w.platform.put(a) })
		n.later(platformTimeout, unsettled)
	case lateEffect:
		n.later(platformTimeout, unsettled)
		delay := platformTimeout + 10*w.latency()
		w.after(delay, func() { w.platform.put(a) })
	default:
		w.after(w.latency(), func() {
			result, version := w.platform.put(a)
			n.laterTo(home, w.latency(), func(h *claim.Home) []claim.Action {
				return h.WriteDone(w.now, a.Shard, a.Token, result, version)
			})
		})
	}
}

func (w *world) read(n *node, a claim.Action) {
	w.platform.asked++
	failed := w.platform.down || w.choose("read fault", 100) < w.faults.platform
	if failed {
		n.later(platformTimeout, func(h *claim.Home) []claim.Action {
			return h.ReadDone(w.now, a.Shard, 0, nil, claim.ReadFailed)
		})
		return
	}
	home := n.home
	w.after(w.latency(), func() {
		o := w.platform.objects[a.Shard]
		n.laterTo(home, w.latency(), func(h *claim.Home) []claim.Action {
			return h.ReadDone(w.now, a.Shard, o.version, o.value, claim.ReadOK)
		})
	})
}

// heal ends all faults and lets everything that is under way finish.
func (w *world) heal() {
	w.platform.down = false
	w.faults = faults{}
	for _, n := range w.nodes {
		if n.paused {
			n.resume()
		}
	}
	w.advance(time.Minute)
}
