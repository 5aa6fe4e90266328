package returntime

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/internal/virtual"
)

var start = time.Unix(1000, 0)

var limit = Limit{Service: "deep", Priority: 2, Share: 0.3}

const earliest, longest = 100 * time.Millisecond, time.Second

// feed records arrivals for three seconds, a hundred in a second.
func feed(t *Table) (now time.Time) {
	now = start
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		t.Refused(now, limit)
	}
	return now
}

func TestPlaces(t *testing.T) {
	Convey("Refused callers get places one after the other, as many as half of the room", t, func() {
		table := NewTable()
		now := feed(table)
		placed := 0
		var latest time.Duration
		for i := range uint64(100) {
			delay := table.Tell(now, i, limit, earliest, longest, longest)
			So(delay, ShouldBeGreaterThanOrEqualTo, latest)
			if latest = delay; delay <= longest {
				placed++
			}
		}
		So(placed, ShouldBeBetween, 10, 18) // 100 x 0.3 / 2 in 0.9 s
		So(latest, ShouldBeGreaterThan, longest)
	})
	Convey("A caller that comes at its time is due, once; early it is told the rest, however often", t, func() {
		table := NewTable()
		now := feed(table)
		delay := table.Tell(now, 7, limit, earliest, longest, longest)
		for wait := time.Duration(0); wait < delay-earlyTolerance; wait += 10 * time.Millisecond {
			status, rest := table.Arrive(now.Add(wait), 7)
			So(status, ShouldEqual, Early)
			So(rest, ShouldEqual, delay-wait)
		}
		status, _ := table.Arrive(now.Add(delay), 7)
		So(status, ShouldEqual, Due)
		status, _ = table.Arrive(now.Add(delay), 7)
		So(status, ShouldEqual, New)
	})
	Convey("An equal request of another caller, later, is decided on like a new one, and gets no second place", t, func() {
		table := NewTable()
		now := feed(table)
		table.Tell(now, 1, limit, earliest, longest, longest)
		delay := table.Tell(now, 7, limit, 3*earliest, longest, longest)
		later := now.Add(impatientTime + 10*time.Millisecond)
		status, _ := table.Arrive(later, 7)
		So(status, ShouldEqual, New)
		So(table.Tell(later, 7, limit, earliest, longest, longest), ShouldEqual, now.Add(delay).Sub(later))
		status, _ = table.Arrive(now.Add(delay), 7)
		So(status, ShouldEqual, Due)
	})
	Convey("As many new requests yield as places are used", t, func() {
		table := NewTable()
		now := feed(table)
		delay := table.Tell(now, 7, limit, earliest, longest, longest)
		_, _ = table.Arrive(now.Add(delay), 7)
		So(table.Admitted(now.Add(delay), limit), ShouldBeFalse)
		So(table.Admitted(now.Add(delay), limit), ShouldBeTrue)
	})
	Convey("A place isn't kept for a caller that comes much too late, nor is there one where nothing is admitted", t, func() {
		table := NewTable()
		now := feed(table)
		delay := table.Tell(now, 7, limit, earliest, longest, longest)
		status, _ := table.Arrive(now.Add(delay+time.Second), 7)
		So(status, ShouldEqual, New)
		closed := limit
		closed.Share = 0
		delay = table.Tell(now, 8, closed, earliest, longest, longest)
		So(delay, ShouldBeGreaterThan, longest)
		status, _ = table.Arrive(now.Add(delay), 8)
		So(status, ShouldEqual, New)
	})
	// Guards against places so late that the response misses its objective, while a new request
	// that would meet it yields.
	Convey("There is no place after the time at which a response is still useful", t, func() {
		table := NewTable()
		now := feed(table)
		for i := range uint64(20) {
			delay := table.Tell(now, i, limit, earliest, longest/2, longest)
			if delay > longest/2 {
				So(delay, ShouldBeGreaterThan, longest)
			}
		}
	})
	Convey("The number of remembered requests is bounded", t, func() {
		table := NewTable()
		now := feed(table)
		for i := range uint64(10 * maxRequests) {
			table.Tell(now, i, limit, earliest, longest, longest)
		}
		So(len(table.current)+len(table.previous), ShouldBeLessThanOrEqualTo, 2*maxRequests)
		So(len(table.queues), ShouldEqual, 1)
	})
}

// simulateCallers returns, of a second's 100 callers each of which has room for a share of 0.3,
// how many were served, how many were refused after they had come back, and how many of those
// were served that come back at once and up to ten times.
func simulateCallers(usesPlaces bool) (served, refusedAgain, impatientServed float64) {
	clock := virtual.NewClock(start)
	random := rand.New(rand.NewPCG(1, 2))
	table := NewTable()
	credit, offset, callers, impatient := 0.0, uint64(0), 0.0, 0.0
	admits := func() bool {
		credit = min(credit+limit.Share, 2)
		if credit < 1 {
			return false
		}
		credit--
		return true
	}
	var try func(fingerprint uint64, tries int, isImpatient bool)
	try = func(fingerprint uint64, tries int, isImpatient bool) {
		now := clock.Now()
		isServed, delay := false, time.Duration((0.25+0.35*random.Float64())*float64(longest))
		if usesPlaces {
			status, wait := table.Arrive(now, fingerprint)
			switch {
			case status == Early:
				delay = wait
			case status == Due:
				isServed = true
			default:
				if isServed = admits(); isServed {
					isServed = table.Admitted(now, limit)
				} else {
					table.Refused(now, limit)
				}
				if !isServed {
					delay = table.Tell(now, fingerprint, limit, earliest, longest, longest)
				}
			}
		} else {
			isServed = admits()
		}
		switch {
		case isServed && isImpatient:
			impatientServed++
		case isServed:
			served++
		case isImpatient && tries < 10:
			clock.After(20*time.Millisecond, func() { try(fingerprint, tries+1, true) })
		case !isImpatient && tries == 1 && delay <= longest:
			clock.After(delay, func() { try(fingerprint, 2, false) })
		case !isImpatient && tries > 1:
			refusedAgain++
		}
	}
	var arrive func()
	arrive = func() {
		offset++
		isImpatient := random.IntN(20) == 0
		if isImpatient {
			impatient++
		} else {
			callers++
		}
		try(offset, 1, isImpatient)
		clock.After(time.Duration(random.ExpFloat64()*float64(10*time.Millisecond)), arrive)
	}
	clock.After(0, arrive)
	clock.RunUntil(start.Add(30 * time.Second))
	return served / callers, refusedAgain / callers, impatientServed / impatient
}

// Guards against callers that come back at the stated time and are refused again, and against
// a gain for those that come back at once and often.
func TestCallersThatComeBackAreServed(t *testing.T) {
	Convey("With places hardly any caller is refused twice, and impatience gains nothing", t, func() {
		_, againBefore, impatientBefore := simulateCallers(false)
		served, again, impatient := simulateCallers(true)
		t.Logf("refused again %.3f, impatient served %.2f; with places served %.2f, refused again %.3f, impatient served %.2f",
			againBefore, impatientBefore, served, again, impatient)
		So(againBefore, ShouldBeGreaterThan, 0.3)
		So(again, ShouldBeLessThan, 0.03)
		So(impatient, ShouldBeLessThanOrEqualTo, served+0.05)
	})
}
