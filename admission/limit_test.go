package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/admission"
	"github.com/gypsumford/gypsumford/call"
)

// knee is a target that does work on so many calls at once; more only slow each
// other down. It returns the limit found after the given time, and the calls
// completed in its last second over what the target can do.
func knee(at int, work, span time.Duration) (limit int, part float64) {
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
	take := func(verdicts []admission.Verdict) {
		for _, v := range verdicts {
			if v.Kind == admission.Start {
				calls = append(calls, running{v.Ticket, work.Seconds() * (0.5 + r.Float64())})
			}
		}
	}
	done := 0
	for ms := range int(span / step) {
		now := start.Add(time.Duration(ms) * step)
		for q.Stats().Queued < 8 {
			id++
			take(q.Arrive(now, id, admission.Arrival{Priority: call.PriorityOf(1, 1), Operation: "read"}, nil))
		}
		speed := step.Seconds() * min(1, float64(at)/float64(max(len(calls), 1)))
		before := calls
		calls = nil
		for _, c := range before {
			if c.left -= speed; c.left > 0 {
				calls = append(calls, c)
				continue
			}
			take(q.Finish(now, c.id, admission.Completed, nil))
			if ms >= int((span-time.Second)/step) {
				done++
			}
		}
		if ms%int(admission.TickInterval/step) == 0 {
			take(q.Tick(now, nil))
		}
	}
	return q.Stats().Limit, float64(done) * work.Seconds() / float64(at)
}

func TestLimitOfUnknownSlots(t *testing.T) {
	Convey("Without stated slots the limit settles near the knee", t, func() {
		for _, at := range []int{4, 20, 100} {
			limit, part := knee(at, 20*time.Millisecond, 20*time.Second)
			t.Logf("knee at %d calls: limit %d, %.2f of the most completed", at, limit, part)
			So(part, ShouldBeGreaterThan, 0.9)
			So(limit, ShouldBeLessThan, 2*at+4)
		}
	})
}

// shedding is a target of 16 slots under overload that refuses calls: all above
// a number that it runs at once, and a share of the others. It returns the mean
// limit over the last half of four seconds.
func shedding(bears int, share float64) float64 {
	r := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1_000_000, 0)
	q := admission.NewQueue(admission.DefaultConfig(16), start)
	ends := map[admission.TicketID]int{}
	var shed []admission.TicketID
	id := admission.TicketID(0)
	sum, count := 0, 0
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		take := func(verdicts []admission.Verdict) {
			for _, v := range verdicts {
				switch {
				case v.Kind != admission.Start:
				case len(ends) >= bears || r.Float64() < share:
					shed = append(shed, v.Ticket)
				default:
					ends[v.Ticket] = ms + 40 + r.IntN(20)
				}
			}
		}
		for q.Stats().Queued < 8 {
			id++
			take(q.Arrive(now, id, admission.Arrival{Priority: call.PriorityOf(1, 1), Operation: "read"}, nil))
		}
		refused := shed
		shed = nil
		for _, ticket := range refused {
			take(q.Finish(now, ticket, admission.Shed, nil))
		}
		for ticket := max(id, 200) - 199; ticket <= id; ticket++ {
			if end, ok := ends[ticket]; ok && end <= ms {
				delete(ends, ticket)
				take(q.Finish(now, ticket, admission.Completed, nil))
			}
		}
		if ms%int(admission.TickInterval/time.Millisecond) == 0 {
			take(q.Tick(now, nil))
		}
		if ms >= 2000 {
			sum += q.Stats().Limit
			count++
		}
	}
	return float64(sum) / float64(count)
}

func TestLimitOfSheddingTargets(t *testing.T) {
	Convey("A target that refuses a tenth of its calls at any load keeps most of its slots", t, func() {
		limit := shedding(16, 0.1)
		t.Logf("a tenth refused: mean limit %.1f of 16", limit)
		So(limit, ShouldBeGreaterThan, 12)
	})
	Convey("A target that bears only half of its slots is found out", t, func() {
		limit := shedding(8, 0)
		t.Logf("eight borne: mean limit %.1f of 16", limit)
		So(limit, ShouldBeBetween, 7, 10)
	})
}
