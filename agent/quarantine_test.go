package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/internal/periodic"
	"github.com/gypsumford/gypsumford/quarantine"
)

// crashingTarget is a target that ends, all its connections with it, when it runs a call whose
// path contains "deadly". It starts again at the same address.
type crashingTarget struct {
	address string
	delay   time.Duration // from the begin of a deadly call until the crash
	mu      struct {
		sync.Mutex
		server  *http.Server
		crashes int
	}
}

const crashRestart = 400 * time.Millisecond

func startCrashingTarget(t *testing.T, node *testNode, service string, delay time.Duration) *crashingTarget {
	node.silent.Store(true) // the target below announces itself instead
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &crashingTarget{address: listener.Addr().String(), delay: delay}
	c.serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		_ = c.mu.server.Close()
	})
	content, _ := json.Marshal(TargetAnnouncement{Service: service, Address: c.address, State: "ready"})
	go periodic.Every(ctx, 200*time.Millisecond, func() {
		if connection, err := net.Dial("tcp", c.address); err != nil {
			return // it is down
		} else {
			_ = connection.Close()
		}
		if response, err := http.Post("http://"+node.agent.callAddress()+"/target/announce", "application/json", bytes.NewReader(content)); err == nil {
			_ = response.Body.Close()
		}
	})
	return c
}

func (c *crashingTarget) serve(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "deadly") {
			time.Sleep(c.delay)
			c.crash()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "12 chairs")
	})}
	c.mu.Lock()
	c.mu.server = server
	c.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

func (c *crashingTarget) crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.crashes++
	_ = c.mu.server.Close()
	time.AfterFunc(crashRestart, func() {
		if listener, err := net.Listen("tcp", c.address); err == nil {
			c.serve(listener)
		}
	})
}

func (c *crashingTarget) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.crashes
}

// One call that crashes each target which runs it, sent again and again at any node, ended all
// targets of its service over and over; so did a node that joined later.
func TestCallThatCrashesTargetsIsHeldBackByAllNodes(t *testing.T) {
	fake, url := newFakePlatform(t)
	fake.put(ConfigKey, []byte(testInventory))
	var nodes []*testNode
	var targets []*crashingTarget
	join := func() {
		node := startNode(t, url, "stock", countStock)
		nodes, targets = append(nodes, node), append(targets, startCrashingTarget(t, node, "stock", 10*time.Millisecond))
	}
	for range 3 {
		join()
	}
	crashes := func() int {
		total := 0
		for _, c := range targets {
			total += c.count()
		}
		return total
	}
	for _, n := range nodes {
		until(t, "each node uses three targets", func() (bool, any) {
			count := takingCalls(n, "stock")
			return count == 3 && n.call("stock/count/innocent").status == http.StatusOK, count
		})
	}
	Convey("After three crashes no node lets it through, and other calls are served", t, func() {
		for i := 0; crashes() < 3 && i < 80; i++ {
			nodes[i%3].call("stock/count/deadly")
			time.Sleep(50 * time.Millisecond)
		}
		until(t, "the targets are back", func() (bool, any) { return takingCalls(nodes[0], "stock") == 3, takingCalls(nodes[0], "stock") })
		before, served := crashes(), 0
		join()
		until(t, "the new node serves", func() (bool, any) {
			r := nodes[3].call("stock/count/innocent")
			return r.status == http.StatusOK, r
		})
		for i := range 40 {
			r := nodes[i%4].call("stock/count/deadly")
			So(r.outcome, ShouldEqual, "not-run")
			So(r.reason, ShouldEqual, "quarantined")
			if nodes[i%4].call("stock/count/innocent").status == http.StatusOK {
				served++
			}
		}
		So(crashes(), ShouldEqual, before)
		So(served, ShouldEqual, 40)
	})
}

// Guards against a call that crashes target after target and is never suspect, since its caller has
// left by then: no connection breaks that would show the crash.
func TestCallWhoseCallerLeavesIsHeldBack(t *testing.T) {
	fake, url := newFakePlatform(t)
	fake.put(ConfigKey, []byte(testInventory))
	node := startNode(t, url, "stock", countStock)
	target := startCrashingTarget(t, node, "stock", 300*time.Millisecond)
	until(t, "the node serves", func() (bool, any) {
		r := node.call("stock/count/innocent")
		return r.body == "12 chairs", r
	})
	Convey("After three crashes the call is refused", t, func() {
		for range 6 {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.agent.callAddress()+"/call/stock/count/deadly", nil)
			So(err, ShouldBeNil)
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
			cancel()
			time.Sleep(400*time.Millisecond + crashRestart)
			until(t, "the target is back", func() (bool, any) {
				r := node.call("stock/count/innocent")
				return r.status == http.StatusOK, r
			})
		}
		So(target.count(), ShouldEqual, 3)
	})
}

func TestReportsOfOtherNodes(t *testing.T) {
	fake, url := newFakePlatform(t)
	fake.put(ConfigKey, []byte(testInventory))
	node := startNode(t, url, "stock", countStock)
	until(t, "the node serves", func() (bool, any) {
		r := node.call("stock/count")
		return r.status == http.StatusOK, r
	})
	address := "http://" + node.agent.self.PeerAddress + quarantinePath
	Convey("A report that can't be decoded is refused, and a valid one is kept", t, func() {
		for _, body := range []string{"", "[", `{"a":7}`, strings.Repeat("[", 20_000)} {
			response, err := http.Post(address, "application/json", strings.NewReader(body))
			So(err, ShouldBeNil)
			_ = response.Body.Close()
			So(response.StatusCode, ShouldEqual, http.StatusBadRequest)
		}
		f := quarantine.FingerprintOf(&quarantine.Request{URI: "x"})
		var report quarantine.Report
		report.Add(&quarantine.Crash{Born: 1, At: time.Now().UnixMilli(), Service: "stock", Suspects: []quarantine.Fingerprint{f}})
		content, err := json.Marshal(quarantineMessage{"other": report})
		So(err, ShouldBeNil)
		response, err := http.Post(address, "application/json", bytes.NewReader(content))
		So(err, ShouldBeNil)
		_ = response.Body.Close()
		suspects, _ := node.agent.quarantines.count()
		So(suspects, ShouldEqual, 1)
		So(node.agent.quarantines.all(), ShouldContainKey, "other")
	})
}
