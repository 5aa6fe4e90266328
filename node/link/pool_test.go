package link

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

// patience is how long a test waits for an event before it fails.
const patience = 10 * time.Second

// fakeNode runs calls with the function of its test and records what it receives.
type fakeNode struct {
	name  string
	serve func(ctx context.Context, c *Call) *Reply

	mu struct {
		sync.Mutex
		version route.Version
		records []roster.Record
		states  int
		errors  []string
	}
}

func (n *fakeNode) LogUnexpected(_ string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mu.errors = append(n.mu.errors, err.Error())
}

func (n *fakeNode) Serve(ctx context.Context, c *Call) *Reply { return n.serve(ctx, c) }
func (n *fakeNode) Record() roster.Record                     { return roster.Record{Instance: n.name} }

func (n *fakeNode) Version() route.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mu.version
}

func (n *fakeNode) ReceiveVersion(v route.Version, pull func()) {
	if v > n.Version() {
		pull()
	}
}

func (n *fakeNode) StatedBeside(string) (roster.Record, bool) { return roster.Record{}, false }
func (n *fakeNode) StoreEpoch() epoch.ID                      { return epoch.Unknown }

func (n *fakeNode) ReceiveStoreEpoch(epoch.ID) {}

func (n *fakeNode) ReceiveRecord(r roster.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mu.records = append(n.mu.records, r)
}

func (n *fakeNode) State(bool) *State {
	return &State{Configuration: &route.Configuration{Version: n.Version()}}
}

func (n *fakeNode) ReceiveState(s *State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mu.states++
	n.mu.version = s.Configuration.Version
}

func echo(_ context.Context, c *Call) *Reply {
	return &Reply{Outcome: OutcomeResponded, Arrived: true, Status: 200, Body: []byte(c.RequestID)}
}

// pair returns a pool that sends calls to the address, its node, and the pool that
// serves at the address with the node server.
func pair(t *testing.T, server *fakeNode) (client *Pool, address string, clientNode *fakeNode, serverPool *Pool) {
	return pairWith(t, server, nil, nil)
}

// pairWith is like pair, with the proofs of both sides.
func pairWith(t *testing.T, server *fakeNode, clientProofs, serverProofs Proofs) (client *Pool, address string, clientNode *fakeNode, serverPool *Pool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serverPool = NewPool(server, time.Now)
	serverPool.Proofs = serverProofs
	go func() { _ = serverPool.Serve(listener) }()
	clientNode = &fakeNode{name: "caller", serve: echo}
	client = NewPool(clientNode, time.Now)
	client.Proofs = clientProofs
	t.Cleanup(func() {
		_ = listener.Close()
		serverPool.Close()
		client.Close()
	})
	return client, listener.Addr().String(), clientNode, serverPool
}

func call(id string) *Call {
	return &Call{RequestID: id, TargetID: "t", Service: "s", Route: "r", Method: "GET", URI: "/", Host: "h", CallerService: "c"}
}

func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func TestCallsShareAConnection(t *testing.T) {
	Convey("Each of many concurrent calls gets its own reply", t, func() {
		client, address, _, _ := pair(t, &fakeNode{name: "server", serve: echo})
		var group sync.WaitGroup
		wrong := make(chan string, 200)
		for i := range 200 {
			group.Go(func() {
				id := time.Duration(i).String()
				reply, err := client.Do(context.Background(), address, call(id))
				if err != nil || string(reply.Body) != id {
					wrong <- id
				}
			})
		}
		group.Wait()
		So(len(wrong), ShouldEqual, 0)
	})
}

func TestEndedContextCancelsTheCallAtThePeer(t *testing.T) {
	Convey("The context of the call ends at the peer", t, func() {
		ended := make(chan struct{})
		client, address, _, _ := pair(t, &fakeNode{name: "server", serve: func(ctx context.Context, _ *Call) *Reply {
			<-ctx.Done()
			close(ended)
			return &Reply{Outcome: OutcomeUnknown}
		}})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := client.Do(ctx, address, call("1"))
		So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
		select {
		case <-ended:
		case <-time.After(patience):
			t.Fatal("the call is not cancelled at the peer")
		}
	})
}

func TestLostAndUnsentCallsAreToldApart(t *testing.T) {
	Convey("A call whose connection ends may have run", t, func() {
		arrived := make(chan struct{})
		client, address, _, serverPool := pair(t, &fakeNode{name: "server", serve: func(ctx context.Context, _ *Call) *Reply {
			close(arrived)
			<-ctx.Done()
			return &Reply{Outcome: OutcomeUnknown}
		}})
		go func() {
			<-arrived
			serverPool.Close()
		}()
		_, err := client.Do(context.Background(), address, call("1"))
		So(errors.Is(err, ErrLost), ShouldBeTrue)
	})
	Convey("A call to an address without a listener is not sent, nor is the next one", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		So(listener.Close(), ShouldBeNil)
		client := NewPool(&fakeNode{name: "caller", serve: echo}, time.Now)
		for range 2 {
			_, err = client.Do(context.Background(), address, call("1"))
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		}
	})
}

func TestSilentConnectionIsClosed(t *testing.T) {
	Convey("A call ends with ErrLost if nothing is received on its connection for some ticks", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts bytes and never replies
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		client := NewPool(&fakeNode{name: "caller", serve: echo}, time.Now)
		ended := make(chan error, 1)
		go func() {
			_, err := client.Do(context.Background(), listener.Addr().String(), call("1"))
			ended <- err
		}()
		So(eventually(func() bool { return len(client.openConns()) == 1 }), ShouldBeTrue)
		So(eventually(func() bool {
			client.Tick()
			return len(ended) > 0
		}), ShouldBeTrue)
		So(errors.Is(<-ended, ErrLost), ShouldBeTrue)
	})
	Convey("A connection whose peer takes long for a call stays open", t, func() {
		release := make(chan struct{})
		client, address, _, _ := pair(t, &fakeNode{name: "server", serve: func(context.Context, *Call) *Reply {
			<-release
			return &Reply{Outcome: OutcomeResponded}
		}})
		ended := make(chan error, 1)
		go func() {
			_, err := client.Do(context.Background(), address, call("1"))
			ended <- err
		}()
		So(eventually(func() bool { return len(client.openConns()) == 1 }), ShouldBeTrue)
		for range 3 * maxSilentTicks {
			client.Tick()
			time.Sleep(20 * time.Millisecond) // time for the reply to the probe
		}
		So(len(ended), ShouldEqual, 0)
		close(release)
		So(<-ended, ShouldBeNil)
	})
}

func TestPeersExchangeState(t *testing.T) {
	Convey("The peer receives the node's record, and a newer configuration is pulled", t, func() {
		server := &fakeNode{name: "server", serve: echo}
		server.mu.version = 7
		client, address, clientNode, _ := pair(t, server)
		_, err := client.Do(context.Background(), address, call("1"))
		So(err, ShouldBeNil)
		So(eventually(func() bool { return clientNode.Version() == 7 }), ShouldBeTrue)
		So(eventually(func() bool {
			server.mu.Lock()
			defer server.mu.Unlock()
			return len(server.mu.records) > 0 && server.mu.records[0].Instance == "caller"
		}), ShouldBeTrue)
	})
}
