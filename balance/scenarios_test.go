package balance

import (
	"math/rand/v2"
	"time"
)

// steady returns a scenario of three failure domains whose targets of mixed speed are used
// for the share of what they complete. Each entry sends 9 requests a second, so it sees
// about one a second of each target in its domain.
func steady(seed uint64, speeds []float64, use float64) scenario {
	mean := 0.0
	for _, s := range speeds {
		mean += s / float64(len(speeds))
	}
	const targets, slots = 24, 10
	capacity := targets * slots * 0.95 / fleetServiceTime * mean
	const entries = 60
	return scenario{
		seed: seed, entries: map[string]int{"a": 20, "b": 20, "c": 20}, targets: map[string]int{"a": 8, "b": 8, "c": 8},
		speeds: speeds, slots: slots, seconds: 25, warmUp: 5, bodyBytes: 800,
		rate:     func(string, float64) float64 { return use * capacity / entries },
		newTable: func(domain string, seed uint64) *Table { return NewSeededTable(domain, seed) },
	}
}

var mixed = []float64{0.7, 0.7, 1.6}
var spread = []float64{0.5, 1, 1, 1.5}

// speedScenarios returns scenarios whose targets differ in speed or change.
func speedScenarios(seed uint64) map[string]scenario {
	list := map[string]scenario{}
	for _, use := range []struct {
		name string
		use  float64
	}{{"50", 0.5}, {"70", 0.7}} {
		list["mixed-"+use.name] = steady(seed, mixed, use.use)
		list["spread-"+use.name] = steady(seed, spread, use.use)
	}
	burst := steady(seed, mixed, 1)
	base := burst.rate("a", 0)
	burst.rate = func(_ string, t float64) float64 {
		if int(t)%10 < 4 {
			return base * 1.05
		}
		return base * 0.5
	}
	list["burst"] = burst
	slowed := steady(seed, spread, 0.6)
	slowed.speed = func(target int, t float64) float64 {
		if target%8 == 1 && int(t)%15 >= 6 && int(t)%15 < 12 {
			return 0.25
		}
		return 1
	}
	list["slowed"] = slowed
	cold := steady(seed, spread, 0.6)
	cold.cold = func(target int) time.Duration { return time.Duration(target%3) * 3 * time.Second }
	cold.warmUp, cold.seconds = 0, 10
	list["cold"] = cold
	rejecting := steady(seed, spread, 0.6)
	rejecting.reject = func(target int, _ float64) float64 {
		if target%8 == 2 {
			return 0.55
		}
		return 0
	}
	list["rejecting"] = rejecting
	lying := steady(seed, spread, 0.6)
	random := rand.New(rand.NewPCG(seed, 3))
	lying.stated = func(target int, _ float64) float64 {
		switch target % 8 {
		case 1:
			return 0.2
		case 2:
			return 5
		case 3:
			return 0.2 + 4*random.Float64()
		}
		return 1
	}
	list["lying"] = lying
	return list
}
