package proof

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// halfTarget is a target within this process whose answers break off half way.
type halfTarget struct {
	server *http.Server
	runs   atomic.Int64
}

// startHalfTarget starts the target and announces it to the node until stop.
func (p *processes) startHalfTarget(in *instance) (*halfTarget, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	target := &halfTarget{}
	target.server = &http.Server{Handler: target}
	go func() { _ = target.server.Serve(listener) }()
	body := fmt.Sprintf(`{"service":%q,"address":%q,"state":"ready"}`, in.service, listener.Addr())
	go func() {
		for p.post("http://"+in.call+"/target/announce", body) == nil {
			time.Sleep(time.Second)
		}
	}()
	return target, nil
}

// ServeHTTP answers calls with less than the length that it states.
func (h *halfTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return // a probe
	}
	h.runs.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
}
