package link

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumford/gypsumford/quota"
)

// quotaNode answers each message about quotas with another one.
type quotaNode struct {
	fakeNode
	answer   *quota.Message
	received atomic.Int64
	done     chan struct{}
}

func (n *quotaNode) ReceiveQuota(_ *quota.Message, reply func(*quota.Message)) {
	n.received.Add(1)
	if n.answer != nil {
		reply(n.answer)
		return
	}
	n.done <- struct{}{}
}

// BenchmarkQuotaExchange measures what an ask and its answer cost both nodes together.
func BenchmarkQuotaExchange(b *testing.B) {
	m := &quota.Message{From: "instance-1", Incarnation: time.Now().UnixMilli(), Sent: time.Hour, Instances: 88, Version: 7}
	ask, answer := *m, *m
	ask.Asks = []quota.Ask{{Account: "account-12", Need: 1, Want: 3}}
	answer.Answer = &quota.Answer{Echo: time.Hour, Grants: []quota.Grant{{Account: "account-12", Tokens: 1, Valid: quota.MaxValidity, Ahead: 3, AheadValid: quota.MaxValidity}}}
	home, entry := &quotaNode{answer: &answer}, &quotaNode{done: make(chan struct{}, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	homePool, entryPool := NewPool(home, time.Now), NewPool(entry, time.Now)
	go func() { _ = homePool.Serve(listener) }()
	defer func() {
		_ = listener.Close()
		entryPool.Close()
		homePool.Close()
	}()
	b.ReportAllocs()
	for b.Loop() {
		entryPool.SendQuota(listener.Addr().String(), &ask, func() { b.Error("not sent") })
		<-entry.done
	}
}

// TestQuotaMessages guards against messages that are changed on their way, and against nodes that
// know nothing of quotas and end the connection on receipt of one.
func TestQuotaMessages(t *testing.T) {
	answer := &quota.Message{From: "home", Ack: &quota.Ack{}}
	home, entry, other := &quotaNode{answer: answer}, &quotaNode{done: make(chan struct{}, 1)}, &fakeNode{serve: echo}
	for i, node := range []Node{home, other} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		pool, entryPool := NewPool(node, time.Now), NewPool(entry, time.Now)
		go func() { _ = pool.Serve(listener) }()
		if i == 1 { // a call connects, so that the message is sent before the next call
			if _, err := entryPool.Do(t.Context(), listener.Addr().String(), &Call{RequestID: "first"}); err != nil {
				t.Fatal(err)
			}
		}
		failed := make(chan struct{}, 1)
		entryPool.SendQuota(listener.Addr().String(), &quota.Message{From: "entry", Renewal: &quota.Renewal{}}, func() { failed <- struct{}{} })
		if i == 0 {
			select {
			case <-entry.done:
			case <-time.After(patience):
				t.Error("no answer, although it holds only zero values")
			}
		} else if reply, err := entryPool.Do(t.Context(), listener.Addr().String(), &Call{RequestID: "r"}); err != nil || string(reply.Body) != "r" {
			t.Errorf("a call after a message that the peer ignores: %v", err)
		}
		select {
		case <-failed:
			t.Error("not sent")
		default:
		}
		_ = listener.Close()
		entryPool.Close()
		pool.Close()
	}
}
