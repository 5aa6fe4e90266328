package target

import (
	"net"
	"net/http"
	"sync"
)

// unusedConns holds the connections on which no request has been received yet.
// Without closing them, the shutdown of net/http's server waits five seconds for
// their first request.
type unusedConns struct {
	mu struct {
		sync.Mutex
		conns   map[net.Conn]struct{}
		stopped bool
	}
}

// stateChanged is the server's ConnState callback.
func (u *unusedConns) stateChanged(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(u.mu.conns, c)
	case u.mu.stopped:
		_ = c.Close() // nothing was sent on it
	default:
		if u.mu.conns == nil {
			u.mu.conns = map[net.Conn]struct{}{}
		}
		u.mu.conns[c] = struct{}{}
	}
}

// close closes the unused connections, and those accepted later.
func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mu.stopped = true
	for c := range u.mu.conns {
		_ = c.Close() // nothing was sent on it
	}
}
