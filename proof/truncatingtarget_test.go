package proof

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// truncatingTarget is a target within this process whose responses end before their
// stated length.
type truncatingTarget struct {
	server *http.Server
	calls  atomic.Int64
}

// startTruncatingTarget starts the target and announces it to the node until the node
// stops.
func (p *processes) startTruncatingTarget(in *instance) (*truncatingTarget, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	target := &truncatingTarget{}
	target.server = &http.Server{Handler: target}
	go func() { _ = target.server.Serve(listener) }()
	body := fmt.Sprintf(`{"service":%q,"address":%q,"state":"ready"}`, in.service, listener.Addr())
	go func() {
		for p.post("http://"+in.callAddress+"/target/announce", body) == nil {
			time.Sleep(time.Second)
		}
	}()
	return target, nil
}

// ServeHTTP responds to calls with a body that is shorter than its Content-Length.
func (t *truncatingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return // a probe
	}
	t.calls.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
}
