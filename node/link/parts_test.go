package link

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

// parts returns a body of so many parts, each different.
func parts(count int) (first []byte, rest [][]byte) {
	for i := range count {
		part := bytes.Repeat([]byte{byte('a' + i%26)}, memory.PartBytes)
		if i == 0 {
			first = part
		} else {
			rest = append(rest, part)
		}
	}
	return first, rest
}

// echoBody returns the body of the call.
func echoBody(_ context.Context, c *Call) *Reply {
	return &Reply{Outcome: OutcomeResponded, Arrived: true, Status: 200, Body: c.Body, Rest: c.Rest}
}

func longCall(id string, count int) *Call {
	c := call(id)
	c.RemainingTime = time.Minute
	c.Body, c.Rest = parts(count)
	return c
}

func TestLongBodies(t *testing.T) {
	Convey("Long bodies arrive whole in both directions, in parts, and nothing is held afterwards", t, func() {
		client, address, _, server := pair(t, &fakeNode{name: "server", serve: echoBody})
		var group sync.WaitGroup
		wrong := make(chan string, 20)
		for i := range 10 {
			group.Go(func() {
				c := longCall("long", 3+10*i)
				reply, err := client.Do(context.Background(), address, c)
				if err != nil || !bytes.Equal(memory.Join(reply.Body, reply.Rest), memory.Join(c.Body, c.Rest)) {
					wrong <- "long"
					return
				}
				for _, part := range reply.Rest {
					if len(part) > memory.PartBytes {
						wrong <- "a larger part"
					}
				}
				reply.Lease.Release()
			})
		}
		group.Wait()
		So(len(wrong), ShouldEqual, 0)
		So(eventually(func() bool { return client.budget.Used() == 0 && server.budget.Used() == 0 }), ShouldBeTrue)
	})
	Convey("A call for which there is no memory is refused and has not run; a short one is served", t, func() {
		ran := make(chan string, 10)
		client, address, _, server := pair(t, &fakeNode{name: "server", serve: func(ctx context.Context, c *Call) *Reply {
			ran <- c.RequestID
			return echo(ctx, c)
		}})
		others := server.budget.Lease(server.budget.MaxBytes() - 1<<20)
		So(others, ShouldNotBeNil)
		reply, err := client.Do(context.Background(), address, longCall("long", 200))
		So(err, ShouldBeNil)
		So(reply.Outcome, ShouldEqual, OutcomeNotRun)
		So(reply.Reason, ShouldEqual, ReasonNoMemory)
		reply, err = client.Do(context.Background(), address, call("short"))
		So(err, ShouldBeNil)
		So(reply.Outcome, ShouldEqual, OutcomeResponded)
		So(<-ran, ShouldEqual, "short")
		others.Release()
		So(server.budget.Used(), ShouldEqual, 0)
	})
	Convey("A reply for which there is no memory has an unknown outcome, as the call has run", t, func() {
		client, address, _, _ := pair(t, &fakeNode{name: "server", serve: func(context.Context, *Call) *Reply {
			first, rest := parts(200)
			return &Reply{Outcome: OutcomeResponded, Arrived: true, Status: 200, Body: first, Rest: rest}
		}})
		client.budget = memory.NewBudget(40<<20, 0, time.Now)
		reply, err := client.Do(context.Background(), address, call("1"))
		So(err, ShouldBeNil)
		So(reply.Outcome, ShouldEqual, OutcomeUnknown)
		So(client.budget.Used(), ShouldEqual, 0)
	})
	Convey("A call that is cancelled before its last part has not run, and its memory is given back", t, func() {
		ran := make(chan string, 10)
		_, address, _, server := pair(t, &fakeNode{name: "server", serve: func(ctx context.Context, c *Call) *Reply {
			ran <- c.RequestID
			return echo(ctx, c)
		}})
		peer := dialAsPeer(address)
		peer.send(&frame{Hello: &Hello{TakesParts: true}})
		first, rest := parts(3)
		w := newSymbolEncoder().call(&Call{RequestID: "1", Body: first, Rest: rest})
		peer.send(&frame{ID: 1, Call: w}, &frame{ID: 1, Part: &wirePart{Data: rest[0]}})
		So(eventually(func() bool { return server.budget.Used() == 3*memory.PartBytes }), ShouldBeTrue)
		peer.send(&frame{ID: 1, Cancel: true}, &frame{ID: 1, Part: &wirePart{Data: rest[1]}})
		So(eventually(func() bool { return server.budget.Used() == 0 }), ShouldBeTrue)
		Convey("nor has one whose connection ends", func() {
			peer.send(&frame{ID: 2, Call: w}, &frame{ID: 2, Part: &wirePart{Data: rest[0]}})
			So(eventually(func() bool { return server.budget.Used() == 3*memory.PartBytes }), ShouldBeTrue)
			_ = peer.socket.Close()
			So(eventually(func() bool { return server.budget.Used() == 0 }), ShouldBeTrue)
		})
		So(len(ran), ShouldEqual, 0)
	})
	Convey("A body whose remaining length is invalid is refused, and nothing is held for it", t, func() {
		_, address, _, server := pair(t, &fakeNode{name: "server", serve: echo})
		peer := dialAsPeer(address)
		first, _ := parts(1)
		w := newSymbolEncoder().call(&Call{RequestID: "1", Body: first})
		w.Rest = -1
		peer.send(&frame{ID: 1, Call: w}, &frame{ID: 2, Ping: true})
		decoder := gob.NewDecoder(peer.socket)
		var answer frame
		for !answer.Pong || answer.ID != 2 {
			answer = frame{}
			So(decoder.Decode(&answer), ShouldBeNil)
		}
		So(server.budget.Used(), ShouldEqual, 0)
	})
	Convey("A reply with more bytes than were stated is broken, not complete", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		go func() {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			first, rest := parts(2)
			w := newSymbolEncoder().reply(&Reply{Outcome: OutcomeResponded, Arrived: true, Status: 200, Body: first})
			w.Rest = 10
			encoder := gob.NewEncoder(socket)
			for _, f := range []*frame{{Hello: &Hello{TakesParts: true}}, {ID: 1, Reply: w}, {ID: 1, Part: &wirePart{OfReply: true, Data: rest[0]}}} {
				_ = encoder.Encode(f)
			}
		}()
		client := NewPool(&fakeNode{name: "caller", serve: echo}, time.Now)
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		reply, err := client.Do(ctx, listener.Addr().String(), call("1"))
		So(err, ShouldBeNil)
		So(reply.Outcome, ShouldEqual, OutcomeUnknown)
		So(client.budget.Used(), ShouldEqual, 0)
	})
	Convey("A call whose connection ends before the last part was written counts as not sent", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		go func() {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			_ = gob.NewEncoder(socket).Encode(&frame{Hello: &Hello{TakesParts: true}})
			_, _ = socket.Read(make([]byte, 1<<10))
			time.Sleep(100 * time.Millisecond) // the caller waits for room in the buffers of the system
			_ = socket.Close()
		}()
		client := NewPool(&fakeNode{name: "caller", serve: echo}, time.Now)
		defer client.Close()
		_, err = client.Do(context.Background(), listener.Addr().String(), longCall("1", 400))
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
	})
	Convey("A peer of an earlier build gets the body in one piece", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		sizes := make(chan int, 1)
		go func() {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			_ = gob.NewEncoder(socket).Encode(&earlierFrame{Hello: &earlierHello{}})
			decoder := gob.NewDecoder(socket)
			for {
				var f earlierFrame
				if decoder.Decode(&f) != nil {
					return
				}
				if f.Call != nil {
					sizes <- len(f.Call.Body)
				}
			}
		}()
		client := NewPool(&fakeNode{name: "caller", serve: echo}, time.Now)
		defer client.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _, _ = client.Do(ctx, listener.Addr().String(), longCall("1", 5)) }()
		select {
		case size := <-sizes:
			So(size, ShouldEqual, 5*memory.PartBytes)
		case <-time.After(patience):
			So("no call", ShouldEqual, "a call")
		}
	})
	Convey("A short call passes a long one on the same connection", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		client := NewPool(&fakeNode{name: "caller", serve: echo}, time.Now)
		defer client.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _, _ = client.Do(ctx, listener.Addr().String(), longCall("long", 900)) }()
		socket, err := listener.Accept()
		So(err, ShouldBeNil)
		So(gob.NewEncoder(socket).Encode(&frame{Hello: &Hello{TakesParts: true}}), ShouldBeNil)
		decoder := gob.NewDecoder(socket)
		passed := 0 // parts of the long call before the short one
		for {
			var f frame
			So(decoder.Decode(&f), ShouldBeNil)
			if f.Call != nil && f.Call.RequestID == "short" {
				break
			}
			if f.Part != nil {
				if passed++; passed == 1 {
					go func() { _, _ = client.Do(ctx, listener.Addr().String(), call("short")) }()
				}
			}
		}
		So(passed, ShouldBeLessThan, 899)
	})
}

// earlierFrame and earlierHello are what a build without bodies in parts exchanges.
type earlierFrame struct {
	ID      uint64
	Symbols []string
	Call    *struct{ Body []byte }
	Hello   *earlierHello
}

type earlierHello struct{ StoreEpoch uint64 }

// rawPeer sends frames that the test makes.
type rawPeer struct {
	socket  net.Conn
	encoder *gob.Encoder
}

func dialAsPeer(address string) *rawPeer {
	socket, err := net.Dial("tcp", address)
	So(err, ShouldBeNil)
	return &rawPeer{socket: socket, encoder: gob.NewEncoder(socket)}
}

func (p *rawPeer) send(frames ...*frame) {
	for _, f := range frames {
		So(p.encoder.Encode(f), ShouldBeNil)
	}
}

// fullListener fails as often as a process without descriptors does.
type fullListener struct {
	net.Listener
	failures int
}

func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a node that ends because a peer connects while no descriptor is left.
func TestPeersConnectOnceDescriptorsAreFree(t *testing.T) {
	Convey("A failed accept doesn't end the listener", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		server := NewPool(&fakeNode{name: "server", serve: echo}, time.Now)
		served := make(chan error, 1)
		go func() { served <- server.Serve(&fullListener{Listener: listener, failures: 3}) }()
		client := NewPool(&fakeNode{name: "caller", serve: echo}, time.Now)
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		reply, err := client.Do(ctx, listener.Addr().String(), call("1"))
		So(err, ShouldBeNil)
		So(string(reply.Body), ShouldEqual, "1")
		_ = listener.Close()
		So(<-served, ShouldBeNil)
		server.Close()
	})
}
