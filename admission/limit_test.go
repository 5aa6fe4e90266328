package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/admission"
	"github.com/gypsumford/gypsumford/call"
)

// runKneeTarget simulates a target that is always loaded and whose throughput stops
// rising at kneeCalls calls at once; more calls only slow each other down. It returns
// the limit after the given time, and the completed calls of the last second as a
// fraction of the target's capacity.
func runKneeTarget(kneeCalls int, work, span time.Duration) (limit int, fraction float64) {
	r := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1_000_000, 0)
	q := admission.NewQueue(admission.DefaultConfig(0), start)
	type running struct {
		id   admission.TicketID
		left float64 // work in seconds
	}
	var calls []running
	id := admission.TicketID(0)
	const step = time.Millisecond
	apply := func(verdicts []admission.Verdict) {
		for _, v := range verdicts {
			if v.Kind == admission.Start {
				calls = append(calls, running{v.Ticket, work.Seconds() * (0.5 + r.Float64())})
			}
		}
	}
	completed := 0
	for ms := range int(span / step) {
		now := start.Add(time.Duration(ms) * step)
		for q.Stats().Queued < 8 {
			id++
			apply(q.Arrive(now, id, admission.Arrival{Priority: call.PriorityOf(1, 1), Operation: "read"}, nil))
		}
		progress := step.Seconds() * min(1, float64(kneeCalls)/float64(max(len(calls), 1)))
		before := calls
		calls = nil
		for _, c := range before {
			if c.left -= progress; c.left > 0 {
				calls = append(calls, c)
				continue
			}
			apply(q.Finish(now, c.id, admission.Completed, nil))
			if ms >= int((span-time.Second)/step) {
				completed++
			}
		}
		if ms%int(admission.TickInterval/step) == 0 {
			apply(q.Tick(now, nil))
		}
	}
	return q.Stats().Limit, float64(completed) * work.Seconds() / float64(kneeCalls)
}

func TestLimitOfUnknownSlots(t *testing.T) {
	Convey("Without stated slots the limit settles near the knee", t, func() {
		for _, kneeCalls := range []int{4, 20, 100} {
			limit, fraction := runKneeTarget(kneeCalls, 20*time.Millisecond, 20*time.Second)
			t.Logf("knee at %d calls: limit %d, throughput %.2f of capacity", kneeCalls, limit, fraction)
			So(fraction, ShouldBeGreaterThan, 0.9)
			So(limit, ShouldBeLessThan, 2*kneeCalls+4)
		}
	})
}

// meanLimitWhileShedding simulates an overloaded target of 16 slots that sheds
// calls: all above a number that it runs at once, and a fraction of the others. It
// returns the mean limit over the last two of four seconds.
func meanLimitWhileShedding(capacity int, shedFraction float64) float64 {
	r := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1_000_000, 0)
	q := admission.NewQueue(admission.DefaultConfig(16), start)
	ends := map[admission.TicketID]int{}
	var shed []admission.TicketID
	id := admission.TicketID(0)
	sum, count := 0, 0
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		apply := func(verdicts []admission.Verdict) {
			for _, v := range verdicts {
				switch {
				case v.Kind != admission.Start:
				case len(ends) >= capacity || r.Float64() < shedFraction:
					shed = append(shed, v.Ticket)
				default:
					ends[v.Ticket] = ms + 40 + r.IntN(20)
				}
			}
		}
		for q.Stats().Queued < 8 {
			id++
			apply(q.Arrive(now, id, admission.Arrival{Priority: call.PriorityOf(1, 1), Operation: "read"}, nil))
		}
		refused := shed
		shed = nil
		for _, ticket := range refused {
			apply(q.Finish(now, ticket, admission.Shed, nil))
		}
		for ticket := max(id, 200) - 199; ticket <= id; ticket++ {
			if end, ok := ends[ticket]; ok && end <= ms {
				delete(ends, ticket)
				apply(q.Finish(now, ticket, admission.Completed, nil))
			}
		}
		if ms%int(admission.TickInterval/time.Millisecond) == 0 {
			apply(q.Tick(now, nil))
		}
		if ms >= 2000 {
			sum += q.Stats().Limit
			count++
		}
	}
	return float64(sum) / float64(count)
}

func TestLimitOfSheddingTargets(t *testing.T) {
	Convey("A target that sheds a tenth of its calls at any load keeps most of its slots", t, func() {
		limit := meanLimitWhileShedding(16, 0.1)
		t.Logf("a tenth of the calls shed: mean limit %.1f of 16", limit)
		So(limit, ShouldBeGreaterThan, 12)
	})
	Convey("The limit falls to about half if a target sheds all calls above half of its stated slots", t, func() {
		limit := meanLimitWhileShedding(8, 0)
		t.Logf("all calls above eight shed: mean limit %.1f of 16", limit)
		So(limit, ShouldBeBetween, 7, 10)
	})
}
