//go:build review3

package main

import "time"

func init() { cases["12"] = leavingWhileStoreIsDown }

// leavingWhileStoreIsDown lets a target deregister while the store is down, and then kills all
// processes at the same moment. The target's last heartbeat, sent before, arrives late.
func leavingWhileStoreIsDown(b *bed, trouble bool) (broken bool, err error) {
	l, err := newLeavingBed(b)
	if err != nil {
		return false, err
	}
	if err := l.lastHeartbeat(3 * time.Second); err != nil {
		return false, err
	}
	if trouble {
		b.logf("the store is down")
		b.storeDown.Store(true)
	}
	time.Sleep(200 * time.Millisecond)
	if err := l.leave(); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := b.restart(b.nodes...); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
		b.storeDown.Store(false)
		b.logf("the store is back")
	}
	return l.judge(), nil
}
