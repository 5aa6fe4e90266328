package admission_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/admission"
	"github.com/gypsumford/gypsumford/call"
)

func TestLevels(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	closed := call.Level(call.PriorityOf(1, 0))
	browsing, order := call.PriorityOf(2, 7), call.PriorityOf(0, 7)
	check := func(l *admission.Levels, after time.Duration, p call.Priority) admission.LevelVerdict {
		return l.Check(start.Add(after), "search", "plot", "parish", p)
	}
	Convey("Given a reply with a level that admits only the first class", t, func() {
		l := admission.NewLevels()
		l.Observe(start, "search", "plot", "parish", closed)
		Convey("calls below it are admitted and others are refused with a retry-after delay", func() {
			So(check(l, 0, order).Admit, ShouldBeTrue)
			refused := check(l, 0, browsing)
			So(refused.Admit, ShouldBeFalse)
			So(refused.RetryAfter, ShouldBeGreaterThan, 0)
			So(refused.Level, ShouldEqual, closed)
		})
		Convey("it applies to no other operation or caller", func() {
			So(l.Check(start, "search", "plot", "mason", browsing).Admit, ShouldBeTrue)
			So(l.Check(start, "search", "scan", "parish", browsing).Admit, ShouldBeTrue)
		})
		Convey("without newer replies a bounded number of calls is admitted as probes", func() {
			probes := 0
			for ms := range 1000 {
				if check(l, time.Duration(ms)*time.Millisecond, browsing).Admit {
					probes++
				}
			}
			So(probes, ShouldBeBetweenOrEqual, 1, 4)
		})
		Convey("a newer reply for another operation that admits them allows more probes, still bounded", func() {
			probes := 0
			for ms := range 200 {
				at := time.Duration(ms) * time.Millisecond
				l.Observe(start.Add(at), "search", "scan", "parish", call.Level(call.PriorityOf(3, 0)))
				if check(l, at, browsing).Admit {
					probes++
				}
			}
			So(probes, ShouldBeBetweenOrEqual, 2, 4)
		})
		Convey("it expires after a second, so no caller stays locked out", func() {
			So(check(l, 1100*time.Millisecond, browsing).Admit, ShouldBeTrue)
		})
		Convey("a reply that admits all removes it", func() {
			l.Observe(start, "search", "plot", "parish", call.AdmitAll)
			So(check(l, 0, browsing).Admit, ShouldBeTrue)
			So(l.Len(), ShouldEqual, 0)
		})
	})
	Convey("The table stays bounded whatever caller names the calls carry", t, func() {
		l := admission.NewLevels()
		for i := range 3 * admission.MaxLevels {
			l.Observe(start, "search", "plot", time.Duration(i).String(), closed)
		}
		So(l.Len(), ShouldBeLessThanOrEqualTo, admission.MaxLevels)
	})
}

// TestUnknownCallersDontPushOutListedOnes guards against callers with arbitrary
// names that fill the table, so that a listed caller shares an entry with them.
func TestUnknownCallersDontPushOutListedOnes(t *testing.T) {
	Convey("Given a queue that received calls of many callers that aren't listed", t, func() {
		now := time.Unix(1_000_000, 0)
		cfg := admission.DefaultConfig(2)
		cfg.Callers = []admission.CallerShare{{Name: "parish", Share: 1}}
		q := admission.NewQueue(cfg, now)
		id := admission.TicketID(0)
		var running []admission.TicketID
		apply := func(verdicts []admission.Verdict) {
			for _, v := range verdicts {
				if v.Kind == admission.Start {
					running = append(running, v.Ticket)
				}
			}
		}
		arrive := func(caller string) {
			id++
			rank := call.Rank(uint64(id) * 0x9e3779b1 >> 8 & (1<<24 - 1))
			a := admission.Arrival{Priority: call.PriorityOf(1, rank), Caller: caller, Operation: "plot"}
			apply(q.Arrive(now, id, a, nil))
		}
		for i := range 1000 {
			arrive(time.Duration(i).String())
		}
		Convey("a listed caller keeps its share while they exceed theirs", func() {
			for range 200 {
				for i := range 40 {
					arrive(time.Duration(i).String())
				}
				arrive("parish")
				now = now.Add(admission.TickInterval)
				ended := running
				running = nil
				for _, ticket := range ended {
					apply(q.Finish(now, ticket, admission.Completed, nil))
				}
				apply(q.Tick(now, nil))
			}
			So(q.Level("parish"), ShouldBeGreaterThan, q.Level("one of the others"))
		})
	})
}
