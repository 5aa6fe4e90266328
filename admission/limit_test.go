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
