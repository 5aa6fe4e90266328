package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/internal/virtual"
)

var start = time.Unix(1000, 0)

const (
	entries    = 20
	burst      = 8.0 // times the usual load that the first account sends
	roomShare  = 0.6 // of the usual load
	warmUp     = 90 * time.Second
	simulation = 100 * time.Second
)

// simulate returns which fraction of its usual load each account gets while the first one sends
// a multiple of it. Every other account sends all requests to one entry. A controller that all
// entries share sets the share that is admitted, as the pressure of a service does.
func simulate(fair bool) []float64 {
	const accounts = 12
	clock := virtual.NewClock(start)
	random := rand.New(rand.NewPCG(3, 4))
	tables := make([]*Table, entries)
	credits := make([]float64, entries)
	for i := range tables {
		tables[i] = NewTable()
	}
	configured := func(i int) float64 { return 400 / float64(i+1) } // Zipf
	usual := func(i int) float64 { return configured(i) / 1.6 }
	total := 0.0
	for i := range accounts {
		total += usual(i)
	}
	inTrouble := func() bool { return clock.Now().Sub(start) > warmUp }
	admitted := make([]float64, accounts)
	share, recent := 1.0, 0.0 // recent is the number of requests admitted since the last tick
	var tick func()
	tick = func() {
		if inTrouble() {
			share = min(max(share*math.Pow(roomShare*total*0.1/max(recent, 1), 0.3), 0.02), 1)
		}
		recent = 0
		clock.After(100*time.Millisecond, tick)
	}
	clock.After(0, tick)
	for i := range accounts {
		account := Account{Name: fmt.Sprint(i), Rate: configured(i)}
		var arrive func()
		arrive = func() {
			now := clock.Now()
			entry := i % entries
			if i%2 == 1 || i == 0 {
				entry = random.IntN(entries)
			}
			admits := false
			if excess := tables[entry].Arrive(now, account, entries); fair {
				admits = tables[entry].Admit(now, Limit{Service: "deep"}, account, share/excess)
			} else {
				credits[entry] = min(credits[entry]+share, 2)
				if admits = credits[entry] >= 1; admits {
					credits[entry]--
				}
			}
			rate := usual(i)
			if inTrouble() && i == 0 {
				rate *= burst
			}
			if admits {
				recent++
				if inTrouble() {
					admitted[i]++
				}
			}
			clock.After(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		clock.After(0, arrive)
	}
	clock.RunUntil(start.Add(simulation))
	for i := range admitted {
		admitted[i] /= usual(i) * (simulation - warmUp).Seconds()
	}
	return admitted
}

// Guards against an account at many times its usual load that takes the room of others.
func TestRoomIsSharedByAccount(t *testing.T) {
	Convey("An account at eight times its load gets little more than others, which get nearly what they would without it", t, func() {
		before, after := simulate(false), simulate(true)
		t.Logf("part of the usual load, by account: %.2f, shared %.2f", before, after)
		mean, least := 0.0, after[1]
		for _, part := range after[1:] {
			mean += part / float64(len(after)-1)
			least = min(least, part)
		}
		So(before[0], ShouldBeGreaterThan, 1)
		// Its configured rate is 1.6 times what it usually sends, 1.3 times that isn't excess
		// by chance, and the excess shows after a second or two.
		So(after[0], ShouldBeLessThan, 3.2*mean)
		So(mean, ShouldBeGreaterThan, 1.7*before[1])
		So(least, ShouldBeGreaterThan, 0.85*mean)
	})
}

func TestExcess(t *testing.T) {
	Convey("An account that sends its usual load, or at most its configured rate with a new name, has hardly any excess", t, func() {
		table, random := NewTable(), rand.New(rand.NewPCG(1, 2))
		now, sum := start, 0.0
		for range 2000 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(50*time.Millisecond)))
			sum += table.Arrive(now, Account{Name: "a", Rate: 32}, 10)
		}
		So(sum/2000, ShouldBeLessThan, 1.02)
	})
	Convey("A new name that sends many times its configured rate has the excess of a known one", t, func() {
		table := NewTable()
		now, excess := start, 0.0
		for range 2000 {
			now = now.Add(2 * time.Millisecond)
			excess = table.Arrive(now, Account{Name: "a", Rate: 50}, 10)
		}
		So(excess, ShouldBeGreaterThan, 6)
	})
	Convey("The number of names is bounded", t, func() {
		table := NewTable()
		for i := range 3 * maxAccounts {
			table.Arrive(start, Account{Name: fmt.Sprint(i), Rate: 1}, 10)
		}
		So(len(table.senders), ShouldBeLessThanOrEqualTo, maxAccounts+1)
		table.RetainAccounts(map[string]bool{"1": true})
		So(len(table.senders), ShouldEqual, 1)
	})
}
