package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// spread simulates how an update spreads by gossip: one node receives it, and each node
// that doesn't know it yet sends it to fanout nodes, chosen at random. It returns how many
// nodes are informed in the end, and the number of messages and of steps.
func spread(nodes, fanout int, seed uint64) (informed, messages, steps int) {
	random := rand.New(rand.NewPCG(seed, 1))
	tables := make([]*Table, nodes)
	for i := range tables {
		tables[i] = NewTable()
	}
	update := Record{Instance: "n", Incarnation: 1, Sequence: 1, Target: ready("t", 1, 1)}
	next := []int{0}
	for len(next) > 0 {
		receivers := next
		next = nil
		steps++
		for _, node := range receivers {
			if !tables[node].Update(update) {
				continue
			}
			informed++
			for range fanout {
				next = append(next, random.IntN(nodes))
				messages++
			}
		}
	}
	return informed, messages, steps
}

// Most nodes of a large fleet read the store only now and then, so a change at one node
// must reach the others from peer to peer, with a bounded number of messages.
func TestUpdatesReachNearlyAllNodes(t *testing.T) {
	for _, nodes := range []int{95, 1000, 19000} {
		Convey(fmt.Sprint(nodes, " nodes receive an update by gossip with a fanout of 4"), t, func() {
			for seed := range uint64(5) {
				informed, messages, steps := spread(nodes, 4, seed)
				So(float64(informed), ShouldBeGreaterThan, 0.93*float64(nodes))
				So(messages, ShouldBeLessThanOrEqualTo, 4*nodes)
				So(steps, ShouldBeLessThan, 20)
			}
		})
	}
}
