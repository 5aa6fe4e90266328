package verbs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/agent"
	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/platform/platformtest"
	"github.com/gypsumford/gypsumford/settings"
)

// settleTimeout is the longest time that tests wait for background work of nodes.
const settleTimeout = 20 * time.Second

const nodesInventory = `classes: [orders, browsing]
attempts: {bound: 4}
services:
  - name: shop
    contract: {slots: 4, connections: 100}
    operations: [{name: look, class: browsing, repeatable: true, deadline: 2s}]
`

// runningNode is a node that runs in this process, by its listen addresses.
type runningNode struct {
	call, peer string
}

func startNode(t *testing.T, platformURL string, seeds ...string) runningNode {
	node := runningNode{call: freeAddress(t), peer: freeAddress(t)}
	set := settings.New("gypsumd", func(string) string { return "" })
	declared := agent.DeclareSettings(set)
	if err := set.Parse([]string{
		"-call-listen", node.call, "-peer-listen", node.peer, "-platform", platformURL,
		"-failure-domain", "by-1", "-region", "bayern", "-seeds", strings.Join(seeds, ","),
	}); err != nil {
		t.Fatal(err)
	}
	running, err := agent.New(declared, platform.NewObjects(platformURL), logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = running.Run(ctx)
	}()
	Reset(func() { stop(); <-ended })
	return node
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// announce starts a target that responds to every call with 200, and announces it to
// the node each second.
func (n runningNode) announce(state string) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	ctx, stop := context.WithCancel(context.Background())
	Reset(func() { stop(); target.Close() })
	body, _ := json.Marshal(agent.TargetAnnouncement{Service: "shop", Address: strings.TrimPrefix(target.URL, "http://"), State: state})
	go func() {
		for ctx.Err() == nil {
			response, err := http.Post("http://"+n.call+"/target/announce", "application/json", bytes.NewReader(body))
			if err == nil {
				_ = response.Body.Close()
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
}

// runCtl runs gypsumctl and returns its exit status and its combined output.
func runCtl(variables map[string]string, args ...string) (int, string) {
	var out bytes.Buffer
	env := &command.Env{
		Program: "gypsumctl", Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out,
		Getenv: func(name string) string { return variables[name] },
	}
	return command.Main(context.Background(), env, All(), args), out.String()
}

// runUntil runs a command at intervals until its output contains the text or
// settleTimeout passes. It returns the last output.
func runUntil(variables map[string]string, text string, args ...string) string {
	deadline := time.Now().Add(settleTimeout)
	for {
		_, out := runCtl(variables, args...)
		if strings.Contains(out, text) || time.Now().After(deadline) {
			return out
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// callUntilDone retries a call until the status is 200 or settleTimeout passes. It
// returns the last status, 0 if there is no response.
func callUntilDone(url, id string) int {
	deadline := time.Now().Add(settleTimeout)
	for {
		request, _ := http.NewRequest(http.MethodGet, url, nil)
		request.Header.Set("Gypsum-Request-Id", id)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK || time.Now().After(deadline) {
			return response.StatusCode
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestAgainstNodes runs the verbs against two nodes and an in-memory platform.
func TestAgainstNodes(t *testing.T) {
	Convey("An operator applies an inventory, reads the status of the fleet and the timeline of a request, and drains a target", t, func() {
		store := platformtest.NewStore()
		Reset(store.Close)
		first := startNode(t, store.URL)
		second := startNode(t, store.URL, first.peer)
		variables := map[string]string{"GYPSUM_PLATFORM": store.URL, "GYPSUM_NODE": first.peer}
		So(runUntil(variables, "nodes 2, answering 2", "status"), ShouldContainSubstring, "none in force")

		file := filepath.Join(t.TempDir(), "inventory.yaml")
		So(os.WriteFile(file, []byte(nodesInventory), 0o600), ShouldBeNil)
		status, out := runCtl(variables, "apply", "-wait", "-timeout", settleTimeout.String(), file)
		So(out, ShouldContainSubstring, " is in force on all 2 nodes")
		So(status, ShouldEqual, command.ExitDone)

		second.announce("ready")
		So(runUntil(variables, "ready", "status", "-service", "shop"), ShouldNotContainSubstring, "none in force")
		// The first node learns by gossip that the target of the second is ready.
		So(callUntilDone("http://"+first.call+"/call/shop/look", "request-1"), ShouldEqual, http.StatusOK)

		status, out = runCtl(variables, "timeline", "-request", "request-1")
		So(status, ShouldEqual, command.ExitDone)
		So(out, ShouldContainSubstring, "received")
		So(out, ShouldContainSubstring, "completed")

		_, out = runCtl(variables, "drain", "-wait", second.peer)
		So(out, ShouldContainSubstring, "is draining, 0 calls run")
		So(runUntil(variables, "draining", "status"), ShouldContainSubstring, "draining")
	})
}
