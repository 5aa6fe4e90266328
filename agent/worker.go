package agent

import (
	"context"
	"sync"
	"time"
)

// pool runs jobs on a fixed number of workers.
type pool struct {
	jobs chan func()
	done sync.WaitGroup
}

// newPool starts the workers. They run until jobs is closed.
func newPool(workers, queued int) *pool {
	p := &pool{jobs: make(chan func(), queued)}
	for range workers {
		p.done.Go(func() {
			for job := range p.jobs {
				job()
			}
		})
	}
	return p
}

// submit adds a job to the queue. It returns false, without waiting, if the queue is
// full.
func (p *pool) submit(job func()) bool {
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

// pause waits for the given time. It returns false if the context ends first.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
