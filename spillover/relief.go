package spillover

import "time"

// reliefMaxAge is how long an observed gain counts for Relief. Each request renews it.
const reliefMaxAge = 1 * time.Second

// Relief returns the share of slots in use in the least full domain that requests for the
// service leave for, and false if they leave for none. While there is one, a full own domain is
// no reason to refuse requests.
func (t *Table) Relief(now time.Time, name string) (used float64, ok bool) {
	s := t.services[name]
	if s == nil {
		return 0, false
	}
	for _, g := range s.gains {
		if g.value > minCrossing && now.Sub(g.updated) < reliefMaxAge && (!ok || g.used < used) {
			used, ok = g.used, true
		}
	}
	return used, ok
}
