package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/agent/bus"
	"github.com/gypsumford/gypsumford/agent/metrics"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/objects"
)

// platformTimeout bounds a sequence of calls to the platform.
const platformTimeout = 2 * time.Second

// platformCalls counts the node's calls to the platform and announces when the
// platform becomes unavailable or available again.
type platformCalls struct {
	client      objects.Store
	metrics     *metrics.Set
	announce    func(bus.Announcement)
	unavailable atomic.Bool
}

func (p *platformCalls) get(ctx context.Context, key string) (objects.Object, error) {
	object, err := p.client.Get(ctx, key)
	p.record("get", err)
	return object, err
}

func (p *platformCalls) put(ctx context.Context, key string, value []byte, replaces epoch.Revision) (objects.Object, error) {
	written, err := p.client.Put(ctx, key, value, replaces)
	p.record("put", err)
	return written, err
}

func (p *platformCalls) watch(ctx context.Context, key string, after epoch.Revision, wait time.Duration) (objects.Object, error) {
	object, err := p.client.Watch(ctx, key, after, wait)
	p.record("watch", err)
	return object, err
}

func (p *platformCalls) list(ctx context.Context, kind string) ([]string, error) {
	keys, err := p.client.List(ctx, kind)
	p.record("list", err)
	return keys, err
}

// epochChanged announces what a call showed about the epoch of the platform's store.
func (p *platformCalls) epochChanged(c epoch.Change) {
	p.metrics.Epochs.Add(c.Finding.String(), 1)
	what := "platform-epoch"
	if c.BeginsHistory() {
		what = "platform-restored"
	}
	detail := c.Finding.String() + ", from " + c.From.String() + " to " + c.To.String()
	if c.Err != nil {
		detail += ": " + c.Err.Error()
	}
	p.announce(bus.Announcement{Topic: bus.TopicPlatform, What: what, Detail: detail, Value: float64(c.To)})
}

// record counts a call and announces a change of the platform's availability.
func (p *platformCalls) record(kind string, err error) {
	unavailable := errors.Is(err, objects.ErrUnavailable)
	if errors.Is(err, context.Canceled) {
		return // the node cancelled the call, so nothing is known of the platform
	}
	result := "ok"
	if unavailable {
		result = "unavailable"
	}
	p.metrics.Platform.Add(kind+"-"+result, 1)
	if p.unavailable.Swap(unavailable) == unavailable {
		return
	}
	what := "platform-back"
	if unavailable {
		what = "platform-out"
	}
	p.announce(bus.Announcement{Topic: bus.TopicPlatform, What: what, Detail: kind})
}
