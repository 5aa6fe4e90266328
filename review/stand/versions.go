//go:build review

package main

import (
	"net/http"
	"strconv"
	"time"
)

func init() { cases["versions"] = versions }

// versions sends one request again and again that crashes the backends of one version, while
// one backend of the service has another version already.
func versions(f *fleet, trouble bool) ([]string, error) {
	err := f.configure(1, []string{"plotfinder", "archiv"}, route{"lookup", "/lookup/", "safe", "plotfinder", 4, 2})
	if err != nil {
		return nil, err
	}
	var seen crashes
	for i, machine := range []struct{ service, version string }{
		{"plotfinder", "v1"}, {"plotfinder", "v1"}, {"plotfinder", "v1"}, {"plotfinder", "v2"}, {"plotfinder", "v2"}, {"archiv", "v1"},
	} {
		n, err := f.add("m"+strconv.Itoa(i), machine.service, "")
		if err != nil {
			return nil, err
		}
		n.version = machine.version
		b, err := n.startBackend("i-"+strconv.Itoa(i)+".1", 79, lookupWork)
		if err != nil {
			return nil, err
		}
		if trouble && machine.service == "plotfinder" && machine.version == "v1" {
			b.crashBy(&seen, 10*time.Millisecond)
		}
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	others := f.sendLookups(14, 333*time.Millisecond, 24*time.Millisecond)
	time.Sleep(time.Second)
	sent := 0
	f.rec.add("the deadly request comes for %v", deadlyFor)
	for end := time.Now().Add(deadlyFor); time.Now().Before(end); time.Sleep(time.Second) {
		n := f.nodes[sent%len(f.nodes)]
		c := client{address: n.outbound}
		id := "deadly-" + strconv.Itoa(sent)
		sent++
		f.rec.add("client: %s sent to %s, %s", id, n.name, deadlyPath)
		f.rec.add("client: %s %v", id, c.send(http.MethodGet, deadlyPath, id, 4*time.Second, nil))
		c.close()
	}
	return seen.check(f, sent, others())
}
