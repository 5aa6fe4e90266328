package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultyNode is the node beside one target, whose budget ends with its process.
type faultyNode struct {
	budget   *Budget
	weight   int // of the requests that it gets
	awayTill int // step until which nothing reaches it
}

// Guards against retries beyond the budget of all nodes together while nodes die and restart,
// freeze or are cut off, and while requests move from some targets to others, with callers
// that make as many retries as they are granted.
func TestBudgetHoldsWithFaults(t *testing.T) {
	const step, steps, maxRetries = 100 * time.Millisecond, 400, 15
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 10).Draw(t, "nodes")
		perStep := rapid.IntRange(5, 40).Draw(t, "requests a step")
		nodes := make([]*faultyNode, count)
		for i := range nodes {
			nodes[i] = &faultyNode{budget: New(config), weight: 1 + i%2}
			nodes[i].budget.WithholdSlack(start.Add(-config.Window))
		}
		var requests, retries [steps]float64
		turn := 0
		for s := range steps {
			now := start.Add(time.Duration(s) * step)
			n := nodes[rapid.IntRange(0, count-1).Draw(t, "node")]
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0: // dies and restarts
				n.budget, n.awayTill = New(config), s+rapid.IntRange(5, 30).Draw(t, "steps until it is back")
				n.budget.WithholdSlack(now)
			case 1: // frozen, or cut off
				n.awayTill = s + rapid.IntRange(1, 150).Draw(t, "steps until it is back")
			case 2: // another share of the requests
				n.weight = rapid.IntRange(1, 4).Draw(t, "weight")
			}
			var order []*faultyNode // that get the requests, in turns
			for _, n := range nodes {
				for range n.weight {
					if s >= n.awayTill {
						order = append(order, n)
					}
				}
			}
			for r := range perStep {
				if len(order) == 0 {
					break
				}
				importance := Importance{Priority: r % 3, Rank: uint8(r * 37)}
				order[turn%len(order)].budget.RecordRequest(now, "s")
				requests[s]++
				for range maxRetries {
					turn++
					if !order[turn%len(order)].budget.AllowRetry(now, count, importance, []Charge{{Service: "s", Requests: 1}}) {
						break
					}
					retries[s]++
				}
			}
		}
		window := int(config.Window / step)
		between := func(counts []float64, from, to int) (sum float64) {
			for _, c := range counts[min(max(from, 0), steps):min(max(to, 0), steps)] {
				sum += c
			}
			return sum
		}
		for from := range steps {
			retried := between(retries[:], from, from+window)
			sent := max(between(requests[:], from, from+window), between(requests[:], from-window/2, from+window/2), between(requests[:], from-window, from))
			if allowed := config.Ratio*sent + config.Slack; retried > allowed {
				t.Fatalf("%v retries for %v requests in the window from step %d, allowed %v", retried, sent, from, allowed)
			}
		}
	})
}
