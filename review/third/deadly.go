//go:build review3

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	deadlyPath  = "/lookup/deadly"
	deadlyTime  = 20 * time.Second
	deadlyPause = 500 * time.Millisecond // between two copies
	crashesMost = 3                      // crashes, and retries later than contact after them
)

func init() { cases["13"] = deadlyWithQuery }

// deadlyWithQuery sends copies of a request that crashes each target which begins to run it. They have
// one method, host, path, caller and body, and different queries.
func deadlyWithQuery(b *bed, trouble bool) (broken bool, err error) {
	b.configure(1, "configuration.txt")
	for _, m := range []struct{ name, zone, service string }{
		{"a", "za", "stock"}, {"b", "zb", "stock"}, {"c", "za", "stock"}, {"d", "zb", "stock"}, {"e", "za", "front"},
	} {
		n, err := b.addNode(m.name, m.zone, m.service, 36, "")
		if err != nil {
			return false, err
		}
		n.target.DeadlyPath, n.target.CrashDelay, n.target.RestartDelay = deadlyPath, 50*time.Millisecond, 3*time.Second
		if err := n.start(); err != nil {
			return false, err
		}
	}
	var mu sync.Mutex
	var arrivals []time.Time
	for _, n := range b.nodes {
		n.target.Observe = func(r *http.Request, _ string) {
			b.logf("%s reaches %s", r.Header.Get(field("request-id")), n.target.ID)
			if r.URL.Path == deadlyPath {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
				b.logf("%s is going to crash by it", n.target.ID)
			}
		}
		n.beat()
	}
	if err := b.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	client := &http.Client{}
	for _, n := range b.nodes {
		go func() {
			for ctx.Err() == nil {
				b.send(ctx, client, n, http.MethodGet, "/lookup/x", "")
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	for copies, begun := 0, time.Now(); trouble && time.Since(begun) < deadlyTime; copies++ {
		path := deadlyPath
		if os.Getenv("SAME") == "" {
			path += fmt.Sprintf("?copy=%d", copies)
		}
		b.send(ctx, client, b.nodes[copies%len(b.nodes)], http.MethodGet, path, "")
		time.Sleep(deadlyPause)
	}
	stop()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, at := range arrivals {
		if i >= crashesMost && at.After(arrivals[crashesMost-1].Add(50*time.Millisecond+contact)) {
			late++
		}
	}
	summary := fmt.Sprintf("%d runs, each a crash; %d of them later than %v after the third crash", len(arrivals), late, contact)
	fmt.Println(summary)
	b.logf("%s", summary)
	return late > crashesMost, nil
}
