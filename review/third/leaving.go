//go:build review3

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	downTime    = 600 * time.Millisecond // from the end of a process to its restart
	leavingTime = 9 * time.Second        // for which the target serves after its deregistration
)

func init() { cases["11"] = leavingBetweenKills }

// leavingBed is a deployment in which a target leaves while callers send requests.
type leavingBed struct {
	*bed
	node         *node // beside the target
	acknowledged atomic.Int64
	inTouch      atomic.Int64 // from when all nodes are in touch; both in Unix nanoseconds, 0 before
	late         atomic.Int64
	stop         context.CancelFunc
}

// newLeavingBed starts the deployment, and callers at the nodes that aren't beside the target.
func newLeavingBed(b *bed) (*leavingBed, error) {
	b.configure(1, "configuration.txt")
	for _, m := range []struct{ name, zone, service string }{{"a", "za", "stock"}, {"b", "zb", "stock"}, {"c", "za", "front"}} {
		n, err := b.addNode(m.name, m.zone, m.service, 36, "")
		if err != nil {
			return nil, err
		}
		if err := n.start(); err != nil {
			return nil, err
		}
		n.writeSettings(m.zone, "false", "") // for later starts
	}
	l := &leavingBed{bed: b, node: b.nodes[0]}
	id := l.node.target.ID
	l.node.target.Observe = func(r *http.Request, _ string) {
		request, now := r.Header.Get(field("request-id")), time.Now()
		b.logf("%s reaches %s", request, id)
		at, inTouch := l.acknowledged.Load(), l.inTouch.Load()
		if at == 0 || inTouch == 0 || !now.After(time.Unix(0, at).Add(drain)) || !b.sentAt(request).After(time.Unix(0, inTouch)) {
			return
		}
		l.late.Add(1)
		b.logf("BROKEN: %s reaches %s %.2f s after its leaving was acknowledged", request, id, now.Sub(time.Unix(0, at)).Seconds())
	}
	for _, n := range b.nodes {
		n.beat()
	}
	if err := b.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, l.stop = context.WithCancel(context.Background())
	client := &http.Client{}
	for _, n := range b.nodes[1:] {
		go func() {
			for ctx.Err() == nil {
				b.send(ctx, client, n, http.MethodGet, "/lookup/x", "")
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(4 * time.Second)
	return l, nil
}

// lastHeartbeat makes the target send its last heartbeat, which arrives late.
func (l *leavingBed) lastHeartbeat(lateBy time.Duration) error {
	l.node.beating.Store(false)
	time.Sleep(beatInterval)
	link, err := newLateLink(l.node.control, lateBy)
	if err != nil {
		return err
	}
	l.logf("%s sends a heartbeat that arrives %v late", l.node.target.ID, lateBy)
	go func() { _ = l.node.target.SendHeartbeat(link.address, "ready") }()
	return nil
}

// leave makes the target deregister, which the node acknowledges.
func (l *leavingBed) leave() error {
	var err error
	for range 20 {
		if err = l.node.target.Deregister(l.node.control); err == nil {
			l.acknowledged.Store(time.Now().UnixNano())
			l.logf("%s has deregistered at %s, which acknowledged it", l.node.target.ID, l.node.name)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// judge waits until the target has left, and reports whether requests reached it too late.
func (l *leavingBed) judge() bool {
	l.inTouch.Store(time.Now().Add(contact).UnixNano())
	time.Sleep(time.Until(time.Unix(0, l.acknowledged.Load()).Add(leavingTime)))
	l.stop()
	count := l.late.Load()
	summary := fmt.Sprintf("requests that reached %s later than %v after the acknowledgement, sent by machines in touch: %d", l.node.target.ID, drain, count)
	fmt.Println(summary)
	l.logf("%s", summary)
	return count > 0
}

// restart kills the processes of the nodes at the same moment, and starts them again.
func (b *bed) restart(nodes ...*node) error {
	for _, n := range nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range nodes {
		<-n.ended
	}
	time.Sleep(downTime)
	for _, n := range nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// leavingBetweenKills kills one node twice. In between, its target deregisters there. The target's
// last heartbeat, sent before, arrives late.
func leavingBetweenKills(b *bed, trouble bool) (broken bool, err error) {
	l, err := newLeavingBed(b)
	if err != nil {
		return false, err
	}
	if err := l.lastHeartbeat(3 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		if err := b.restart(l.node); err != nil {
			return false, err
		}
	}
	if err := l.leave(); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := b.restart(l.node); err != nil {
			return false, err
		}
	}
	return l.judge(), nil
}
