package agent

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchmarkGet sends requests in parallel and reports the processor time per request
// of client, nodes and target together.
func benchmarkGet(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.ResetTimer()
	before := cpuTime(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			response, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Errorf("status %d", response.StatusCode)
				return
			}
		}
	})
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

const benchInventory = `
classes: [browsing]
attempts: {bound: 6}
retry: {budget-percent: 10, max-per-call: 2, backoff-min: 5ms, backoff-max: 50ms}
services:
  - name: stock
    contract: {slots: 256, connections: 500}
    operations:
      - {name: count, class: browsing, repeatable: true, deadline: 2s}
`

// BenchmarkHop compares a request with net/http alone, a call through one node, and a
// call through an entry node and the node of the target.
func BenchmarkHop(b *testing.B) {
	fake, url := newFakePlatform(b)
	fake.put(ConfigKey, []byte(benchInventory))
	empty := func(_ *testNode, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	stock := startNode(b, url, "stock", empty)
	entry := startNode(b, url, "other", empty)
	for _, node := range []*testNode{stock, entry} {
		until(b, "a call completes", func() (bool, any) {
			got := node.call("stock/count")
			return got.status == http.StatusOK, got
		})
	}
	b.Run("empty-http", func(b *testing.B) { benchmarkGet(b, stock.target.URL+"/count") })
	b.Run("one-node", func(b *testing.B) {
		benchmarkGet(b, "http://"+stock.agent.callAddress()+"/call/stock/count")
	})
	b.Run("two-nodes", func(b *testing.B) {
		benchmarkGet(b, "http://"+entry.agent.callAddress()+"/call/stock/count")
	})
}
