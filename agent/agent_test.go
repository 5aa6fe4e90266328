package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/internal/periodic"
	"github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/settings"
)

const testInventory = `
classes: [orders, browsing]
attempts: {bound: 6}
retry: {budget-percent: 10, max-per-call: 3, backoff-min: 5ms, backoff-max: 50ms}
services:
  - name: shop
    contract: {slots: 4, connections: 100}
    calls: [stock]
    operations:
      - {name: buy, class: orders, at-most-once: true, deadline: 2s}
      - {name: look, class: browsing, repeatable: true, deadline: 2s}
  - name: stock
    contract: {slots: 4, connections: 100}
    operations:
      - {name: count, class: browsing, repeatable: true, deadline: 2s}
`

// settleTimeout bounds the waits for background work of the agents.
const settleTimeout = 20 * time.Second

// testNode is an agent with its local target.
type testNode struct {
	agent  *Agent
	stop   context.CancelFunc
	done   chan struct{}
	target *httptest.Server
	runs   atomic.Int64
	silent atomic.Bool // the target sends no announcements
}

func startNode(t testing.TB, platformURL, service string, handle func(n *testNode, w http.ResponseWriter, r *http.Request)) *testNode {
	t.Helper()
	set := settings.New("test", func(string) string { return "" })
	declared := DeclareSettings(set)
	err := set.Parse([]string{
		"-call-listen=127.0.0.1:0", "-peer-listen=127.0.0.1:0", "-platform=" + platformURL,
		"-failure-domain=by-1", "-region=bayern", "-drain-timeout=5s",
	})
	if err != nil {
		t.Fatal(err)
	}
	node := &testNode{done: make(chan struct{})}
	if node.agent, err = New(declared, platform.NewObjects(platformURL), logr.Discard()); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	node.stop = stop
	go func() {
		defer close(node.done)
		_ = node.agent.Run(ctx)
	}()
	node.target = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		node.runs.Add(1)
		handle(node, w, r)
	}))
	t.Cleanup(func() {
		stop()
		<-node.done
		node.target.Close()
	})
	go node.announce(ctx, service)
	return node
}

func (n *testNode) announce(ctx context.Context, service string) {
	address := strings.TrimPrefix(n.target.URL, "http://")
	body, _ := json.Marshal(TargetAnnouncement{Service: service, Address: address, State: "ready"})
	post := func() {
		if n.silent.Load() {
			return
		}
		response, err := http.Post("http://"+n.agent.callAddress()+"/target/announce", "application/json", bytes.NewReader(body))
		if err == nil {
			response.Body.Close()
		}
	}
	post()
	periodic.Every(ctx, time.Second, post)
}

type callResult struct {
	status          int
	outcome, reason string
	body            string
}

func (n *testNode) call(path string, header ...string) callResult {
	request, _ := http.NewRequest(http.MethodPost, "http://"+n.agent.callAddress()+"/call/"+path, strings.NewReader("body"))
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{body: err.Error()}
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return callResult{
		status: response.StatusCode, body: string(body),
		outcome: response.Header.Get(callhttp.HeaderOutcome), reason: response.Header.Get(callhttp.HeaderReason),
	}
}

// until waits for a condition that the background work of the agents fulfils.
func until(t testing.TB, what string, condition func() (bool, any)) {
	t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for {
		reached, observed := condition()
		if reached {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s; last observed: %+v", what, observed)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// callStock makes the child call of the shop's target through its node.
func callStock(n *testNode, w http.ResponseWriter, r *http.Request) {
	child := n.call("stock/count", callhttp.HeaderParent, r.Header.Get(callhttp.HeaderParent))
	if child.status != http.StatusOK {
		w.WriteHeader(http.StatusBadGateway)
	}
	fmt.Fprintf(w, "%s run %d: %s%s", r.Header.Get(callhttp.HeaderOperation), n.runs.Load(), child.body, child.reason)
}

func countStock(_ *testNode, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "12 chairs for %s", body)
}

func TestEndToEnd(t *testing.T) {
	fake, url := newFakePlatform(t)
	fake.put(ConfigKey, []byte(testInventory))
	shop := startNode(t, url, "shop", callStock)
	stock := startNode(t, url, "stock", countStock)
	for _, node := range []*testNode{shop, stock} {
		until(t, "a call enters at any node and completes", func() (bool, any) {
			got := node.call("shop/look")
			return got.status == http.StatusOK, got
		})
	}
	Convey("A request that calls two services gets the complete response", t, func() {
		got := stock.call("shop/look")
		So(got.outcome, ShouldEqual, "completed")
		So(got.body, ShouldContainSubstring, "12 chairs for body")
	})
	Convey("An unknown operation is refused with its reason", t, func() {
		So(stock.call("shop/steal").reason, ShouldEqual, "unknown-operation")
	})
	Convey("While the platform is unavailable, an at-most-once call runs once", t, func() {
		fake.setDown(true)
		defer fake.setDown(false)
		before := shop.runs.Load()
		So(stock.call("shop/buy").outcome, ShouldEqual, "completed")
		So(shop.runs.Load()-before, ShouldEqual, 1)
	})
}

func TestAtMostOnceCallIsHandedToOneTarget(t *testing.T) {
	fake, url := newFakePlatform(t)
	fake.put(ConfigKey, []byte(testInventory))
	var breaks atomic.Bool
	sell := func(n *testNode, w http.ResponseWriter, r *http.Request) {
		if breaks.Load() {
			panic(http.ErrAbortHandler)
		}
		countStock(n, w, r)
	}
	first, second := startNode(t, url, "shop", sell), startNode(t, url, "shop", sell)
	until(t, "both targets are known", func() (bool, any) {
		got := first.call("shop/look")
		return got.status == http.StatusOK && takingCalls(first, "shop") == 2, got
	})
	breaks.Store(true)
	Convey("An at-most-once call whose response is lost is sent to no other target", t, func() {
		before := first.runs.Load() + second.runs.Load()
		So(first.call("shop/buy").outcome, ShouldEqual, "unknown")
		So(first.runs.Load()+second.runs.Load()-before, ShouldEqual, 1)
	})
}
