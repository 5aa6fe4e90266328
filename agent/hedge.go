package agent

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/timeline"
)

// hedgeTry is one of the two tries of a hedged call.
type hedgeTry struct {
	to     fleet.InstanceID
	grant  int // attempts that the try was passed
	cancel context.CancelFunc
	reply  *exchange.Reply // set when the try is done
}

// hedge sends the call, and a second time elsewhere if no answer has come after
// the given time. The first complete answer wins and the other try is
// cancelled. Each try has half of the attempts; what a cancelled try did not
// return counts as spent.
func (d *dispatcher) hedge(ctx context.Context, t *trial, after time.Duration) *exchange.Reply {
	done := make(chan *hedgeTry, 2)
	first := d.launch(ctx, t, t.excluded, (t.pot.Left()+1)/2, done)
	if first == nil {
		return exchange.Refuse(call.ReasonNoTarget, noTargetRetryAfter, 0)
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-done:
		return settle(t, first)
	case <-timer.C:
	}
	if !d.routes.mayHedge(d.now(), t.request.Call.Service) {
		return settle(t, <-done)
	}
	second := d.launch(ctx, t, append(slices.Clone(t.excluded), first.to), t.pot.Left(), done)
	if second == nil {
		return settle(t, <-done)
	}
	d.metrics.Hedges.Add(1)
	d.routes.hedged(t.request.Call.Service)
	d.ring.call(timeline.Hedged, &t.request.Call, d.className(t), string(second.to))
	return firstComplete(t, first, second, done)
}

// launch starts a try in a goroutine, or returns nil if no instance is left.
func (d *dispatcher) launch(ctx context.Context, t *trial, excluded []fleet.InstanceID, share int, done chan<- *hedgeTry) *hedgeTry {
	grant := t.pot.Take(share)
	chosen, ok := d.choose(t, excluded)
	if !ok {
		t.pot.Return(grant)
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	try := &hedgeTry{to: chosen.ID, grant: grant, cancel: cancel}
	request := t.request
	go func() {
		try.reply = d.send(ctx, request, chosen, grant)
		done <- try
	}()
	return try
}

// firstComplete returns the first complete answer of two tries, or the answer
// of the later one if neither completes. An answer by which the target says that
// it failed doesn't end the other try.
func firstComplete(t *trial, first, second *hedgeTry, done <-chan *hedgeTry) *exchange.Reply {
	winner := <-done
	if winner.reply.Outcome != call.Completed {
		settle(t, winner)
		return settle(t, <-done)
	}
	if winner.reply.Status >= http.StatusInternalServerError {
		return otherThan(t, winner, done)
	}
	loser := first
	if winner == first {
		loser = second
	}
	loser.cancel()
	t.wasted += loser.grant
	go func() {
		discarded := <-done
		_ = discarded.reply.Body.Close()
	}()
	return settle(t, winner)
}

// otherThan returns the answer of the other try, or the failed one if the other
// does not complete.
func otherThan(t *trial, failed *hedgeTry, done <-chan *hedgeTry) *exchange.Reply {
	other := <-done
	if other.reply.Outcome == call.Completed {
		t.pot.Return(failed.reply.Unspent)
		failed.cancel()
		_ = failed.reply.Body.Close()
		return settle(t, other)
	}
	settle(t, other)
	return settle(t, failed)
}

// settle returns the try's unspent attempts to the call and keeps the try's
// context until its answer has been read.
func settle(t *trial, try *hedgeTry) *exchange.Reply {
	t.pot.Return(try.reply.Unspent)
	if try.reply.Outcome != call.Completed {
		t.noteLost(try.reply, try.grant)
		try.cancel()
		return try.reply
	}
	try.reply.Body = closeAfter(try.reply.Body, try.cancel)
	return try.reply
}
