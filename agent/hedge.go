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
	grant  int // attempts that were given to the try
	cancel context.CancelFunc
	reply  *exchange.Reply // set when the try is done
}

// hedge sends the call, and sends it to a second instance if no reply has arrived
// after the given time. The first complete response is returned and the other try is
// cancelled. Each try gets half of the attempts. Those of a cancelled try count as
// spent.
func (d *dispatcher) hedge(ctx context.Context, t *tryState, after time.Duration) *exchange.Reply {
	done := make(chan *hedgeTry, 2)
	first := d.launch(ctx, t, t.excluded, (t.allowance.Left()+1)/2, done)
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
	second := d.launch(ctx, t, append(slices.Clone(t.excluded), first.to), t.allowance.Left(), done)
	if second == nil {
		return settle(t, <-done)
	}
	d.metrics.Hedges.Add(1)
	d.routes.hedged(t.request.Call.Service)
	d.ring.recordCall(timeline.Hedged, &t.request.Call, d.className(t), string(second.to))
	return firstComplete(t, first, second, done)
}

// launch starts a try in a goroutine, or returns nil if no instance is left.
func (d *dispatcher) launch(ctx context.Context, t *tryState, excluded []fleet.InstanceID, attempts int, done chan<- *hedgeTry) *hedgeTry {
	grant := t.allowance.Take(attempts)
	chosen, ok := d.choose(t, excluded)
	if !ok {
		t.allowance.Return(grant)
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

// firstComplete returns the first complete response of two tries, or the later reply
// if neither completes. A response with a server error status doesn't end the other
// try.
func firstComplete(t *tryState, first, second *hedgeTry, done <-chan *hedgeTry) *exchange.Reply {
	winner := <-done
	if winner.reply.Outcome != call.Completed {
		settle(t, winner)
		return settle(t, <-done)
	}
	if winner.reply.Status >= http.StatusInternalServerError {
		return preferOther(t, winner, done)
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

// preferOther returns the reply of the other try if it completes, and the failed
// response otherwise.
func preferOther(t *tryState, failed *hedgeTry, done <-chan *hedgeTry) *exchange.Reply {
	other := <-done
	if other.reply.Outcome == call.Completed {
		t.allowance.Return(failed.reply.Unspent)
		failed.cancel()
		_ = failed.reply.Body.Close()
		return settle(t, other)
	}
	settle(t, other)
	return settle(t, failed)
}

// settle returns the try's unspent attempts to the call and keeps the try's context
// open until its response has been read.
func settle(t *tryState, try *hedgeTry) *exchange.Reply {
	t.allowance.Return(try.reply.Unspent)
	if try.reply.Outcome != call.Completed {
		t.recordLost(try.reply, try.grant)
		try.cancel()
		return try.reply
	}
	try.reply.Body = notifyOnEnd(try.reply.Body, try.cancel)
	return try.reply
}
