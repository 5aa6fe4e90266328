package claim

import "time"

// pace spaces the writes of one shard. A shard that has been quiet may write
// burst times at once; after that, writes are interval apart.
type pace struct {
	interval time.Duration
	burst    int
	due      time.Time // when the next write would be due if none came early
}

// earliest returns when the next write may start.
func (p *pace) earliest() time.Time {
	return p.due.Add(-time.Duration(p.burst-1) * p.interval)
}

func (p *pace) started(now time.Time) {
	if p.due.Before(now) {
		p.due = now
	}
	p.due = p.due.Add(p.interval)
}
