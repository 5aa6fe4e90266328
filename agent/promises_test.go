package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/timeline"
)

// behaviour lets a test replace the handler of a target for one call.
type behaviour struct {
	handle chan func(w http.ResponseWriter, r *http.Request)
}

func (b *behaviour) serve(n *testNode, w http.ResponseWriter, r *http.Request) {
	select {
	case handle := <-b.handle:
		handle(w, r)
	default:
		callStock(n, w, r)
	}
}

func (b *behaviour) next(handle func(w http.ResponseWriter, r *http.Request)) { b.handle <- handle }

// startShop starts a shop and a stock node and waits until requests complete.
func startShop(t *testing.T) (shop, stock *testNode, next func(func(http.ResponseWriter, *http.Request))) {
	t.Helper()
	fake, url := newFakePlatform(t)
	fake.put(ConfigKey, []byte(testInventory))
	b := &behaviour{handle: make(chan func(http.ResponseWriter, *http.Request), 1)}
	shop = startNode(t, url, "shop", b.serve)
	stock = startNode(t, url, "stock", countStock)
	for _, node := range []*testNode{shop, stock} {
		until(t, "a call completes", func() (bool, any) {
			got := node.call("shop/look")
			return got.status == http.StatusOK, got
		})
	}
	return shop, stock, b.next
}

func TestGracefulStopCutsOffNothing(t *testing.T) {
	shop, stock, next := startShop(t)
	begun, release := make(chan struct{}), make(chan struct{})
	next(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-release
		child := shop.call("stock/count", callhttp.HeaderParent, r.Header.Get(callhttp.HeaderParent))
		fmt.Fprint(w, child.body, "; ")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
		fmt.Fprint(w, "end")
	})
	results := make(chan callResult, 1)
	go func() { results <- stock.call("shop/look") }()
	<-begun
	shop.stop()
	until(t, "the stopping node admits no new request", func() (bool, any) {
		got := shop.call("shop/look")
		return got.reason == "draining", got
	})
	until(t, "other nodes send it no new request", func() (bool, any) {
		got := stock.call("shop/look")
		return got.outcome == "not-run", got
	})
	runs := shop.runs.Load()
	close(release)
	got := <-results
	<-shop.done
	Convey("The call in flight and its child call complete, and the response is complete", t, func() {
		So(got.outcome, ShouldEqual, "completed")
		So(got.body, ShouldEqual, "12 chairs for body; end")
		So(shop.runs.Load(), ShouldEqual, runs)
	})
}

func TestCancellationReachesTheTarget(t *testing.T) {
	_, stock, next := startShop(t)
	begun, cancelled := make(chan struct{}), make(chan struct{})
	next(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http notices a closed connection only after that
		close(begun)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	url := "http://" + stock.agent.callAddress() + "/call/shop/look"
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	go func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}()
	<-begun
	cancel()
	select {
	case <-cancelled:
	case <-time.After(settleTimeout):
		t.Fatal("the target still runs a call whose caller disconnected")
	}
}

func TestResponsesAreCompleteOrUnknown(t *testing.T) {
	shop, stock, next := startShop(t)
	breakOff := func(w http.ResponseWriter, _ *http.Request) {
		panic(http.ErrAbortHandler)
	}
	Convey("A target that closes the connection without a response makes the outcome unknown, even if a retry finds no other target", t, func() {
		next(breakOff)
		got := stock.call("shop/look")
		So(got.outcome, ShouldEqual, "unknown")
		So(got.status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("A response that breaks off half way can't be read as complete", t, func() {
		next(func(w http.ResponseWriter, r *http.Request) {
			const half = 256 << 10 // bytes, more than is buffered on the way
			w.Header().Set("Content-Length", strconv.Itoa(2*half))
			_, _ = w.Write(make([]byte, half))
			_ = http.NewResponseController(w).Flush()
			breakOff(w, r)
		})
		url := "http://" + stock.agent.callAddress() + "/call/shop/look"
		response, err := http.Post(url, "text/plain", strings.NewReader("body"))
		So(err, ShouldBeNil)
		defer response.Body.Close()
		So(response.Header.Get(callhttp.HeaderOutcome), ShouldEqual, "completed")
		_, err = io.ReadAll(response.Body)
		So(err, ShouldNotBeNil)
	})
	Convey("A call that the target sheds is not run", t, func() {
		next(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(callhttp.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		got := stock.call("shop/look")
		So(got.outcome, ShouldEqual, "not-run")
	})
	Convey("A call addressed to an instance that had this address before is not run", t, func() {
		runs := shop.runs.Load()
		response := deliver(t, shop, "/deliver/shop/look", "an-earlier-process")
		So(response.Header.Get(callhttp.HeaderOutcome), ShouldEqual, "not-run")
		So(response.Header.Get(callhttp.HeaderUnspent), ShouldEqual, "1")
		So(shop.runs.Load(), ShouldEqual, runs)
	})
}

func TestAttemptsAreBounded(t *testing.T) {
	shop, stock, next := startShop(t)
	Convey("The child calls of a target are bounded by the attempts of its root request", t, func() {
		before := stock.runs.Load()
		next(func(w http.ResponseWriter, r *http.Request) {
			for range 50 {
				shop.call("stock/count", callhttp.HeaderParent, r.Header.Get(callhttp.HeaderParent))
			}
		})
		So(stock.call("shop/look").outcome, ShouldEqual, "completed")
		So(stock.runs.Load()-before, ShouldBeLessThanOrEqualTo, 5) // the bound of 6 less the shop's run
		So(stock.runs.Load()-before, ShouldBeGreaterThan, 0)
	})
	Convey("A child call after its parent's response is not run", t, func() {
		var token string
		next(func(_ http.ResponseWriter, r *http.Request) { token = r.Header.Get(callhttp.HeaderParent) })
		So(stock.call("shop/look").outcome, ShouldEqual, "completed")
		got := shop.call("stock/count", callhttp.HeaderParent, token)
		So(got.reason, ShouldEqual, "attempts")
	})
}

func TestTimelineOrdersCausesBeforeEffects(t *testing.T) {
	shop, stock, _ := startShop(t)
	Convey("A child call that another node serves completes before its parent by the Lamport clock", t, func() {
		So(shop.call("shop/look", callhttp.HeaderRequestID, "caused").outcome, ShouldEqual, "completed")
		child := completedAt(stock, "caused")
		parent := completedAt(shop, "caused")
		So(child, ShouldBeGreaterThan, 0)
		So(parent, ShouldBeGreaterThan, child)
	})
}

func TestGossipCarriesLogicalTime(t *testing.T) {
	shop, stock, _ := startShop(t)
	Convey("A gossip packet advances the receiver's Lamport clock to the sender's", t, func() {
		for range 200 {
			shop.agent.ring.record(timeline.Event{Kind: timeline.NodeStarted})
		}
		before := shop.agent.ring.lamport()
		until(t, "the other node's Lamport clock reaches the sender's", func() (bool, any) {
			after := stock.agent.ring.lamport()
			return after >= before, after
		})
	})
}

// completedAt returns the Lamport clock value at which the node's target completed a
// call of the request, 0 if it did not.
func completedAt(n *testNode, request call.RequestID) uint64 {
	events, _ := n.agent.ring.after(0, timeline.Filter{Request: request, Kind: timeline.Completed}, 10)
	if len(events) != 1 {
		return 0
	}
	return events[0].Lamport
}

// deliver sends a call as another node would, addressed to the given instance.
func deliver(t *testing.T, n *testNode, path string, instance fleet.InstanceID) *http.Response {
	t.Helper()
	request, _ := http.NewRequest(http.MethodGet, "http://"+n.agent.self.PeerAddress+path, nil)
	for name, value := range map[string]string{
		callhttp.HeaderRequestID: "r1", callhttp.HeaderInstance: string(instance), callhttp.HeaderTimeout: "1000",
		callhttp.HeaderClass: "1", callhttp.HeaderGrant: "1", callhttp.HeaderDepth: "0", callhttp.HeaderLamport: "1",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response
}

func TestCallsOfADeadTargetGoElsewhere(t *testing.T) {
	shop, stock, _ := startShop(t)
	stock.silent.Store(true)
	stock.target.CloseClientConnections()
	stock.target.Listener.Close()
	Convey("When a target dies and its node lives, its calls may go to other targets and the fleet receives its state", t, func() {
		var response *http.Response
		until(t, "the node's idle connections to the target are closed", func() (bool, any) {
			response = deliver(t, stock, "/deliver/stock/count", stock.agent.self.ID)
			outcome := response.Header.Get(callhttp.HeaderOutcome)
			return outcome != "unknown", outcome
		})
		So(response.Header.Get(callhttp.HeaderOutcome), ShouldEqual, "not-run")
		So(response.Header.Get(callhttp.HeaderReason), ShouldEqual, "draining")
		So(response.Header.Get(callhttp.HeaderUnspent), ShouldEqual, "1")
		until(t, "the other node knows that the target takes no calls", func() (bool, any) {
			known := shop.agent.members.instances("stock")
			return len(known) == 1 && known[0].State == fleet.Starting, known
		})
	})
}

// takingCalls counts the instances of a service that the node knows to take calls.
func takingCalls(n *testNode, service string) int {
	count := 0
	for _, instance := range n.agent.members.instances(service) {
		if instance.State.TakesCalls() {
			count++
		}
	}
	return count
}

func TestLostChildCallIsRetriedFromItsParentsAttempts(t *testing.T) {
	fake, url := newFakePlatform(t)
	fake.put(ConfigKey, []byte(testInventory))
	shop := startNode(t, url, "shop", callStock)
	var fail atomic.Int64 // calls to which the targets of stock will not respond
	breaking := func(n *testNode, w http.ResponseWriter, r *http.Request) {
		if fail.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
		countStock(n, w, r)
	}
	startNode(t, url, "stock", breaking)
	startNode(t, url, "stock", breaking)
	until(t, "both targets of stock are known and calls complete", func() (bool, any) {
		got := shop.call("shop/look")
		return got.status == http.StatusOK && takingCalls(shop, "stock") == 2, got
	})
	Convey("A child call whose response is lost completes at another target, within the root request's attempts", t, func() {
		for range 5 {
			fail.Store(1)
			got := shop.call("shop/look")
			So(got.body, ShouldContainSubstring, "12 chairs")
			So(got.status, ShouldEqual, http.StatusOK)
		}
	})
}
