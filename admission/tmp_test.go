package admission_test

import (
	"testing"
	"time"
)

func TestTmp(t *testing.T) {
	p := plan{again: 3, span: 9 * time.Second, from: 2 * time.Second}
	p.rate = func(at time.Duration) float64 {
		if at > 2*time.Second && at < 5*time.Second {
			return 1.6 * narrowMost
		}
		return 0.8 * narrowMost
	}
	p.slowed = func(at time.Duration) float64 {
		if at > 2*time.Second && at < 5*time.Second {
			return 4
		}
		return 1
	}
	w := newWorld(p, 3)
	for i := 4900; i < 6000; i += 40 {
		w.after(time.Duration(i)*time.Millisecond, func() { t.Log(i, 0, w.narrow[0].queue.Dump()); t.Log(i, "f", w.fronts[0].queue.Dump()) })
	}
	w.run()
}
