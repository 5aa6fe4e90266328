package target

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// costlyListener accepts connections one after the other, each at a cost, and
// closes those over a bound.
type costlyListener struct {
	net.Listener
	cost     time.Duration
	bound    int64 // 0: none
	open     atomic.Int64
	accepted atomic.Int64
	refused  atomic.Int64
}

// Accept returns the next connection within the bound.
func (l *costlyListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.bound > 0 && l.open.Load() >= l.bound {
			l.refused.Add(1)
			_ = conn.Close()
			continue
		}
		l.open.Add(1)
		l.accepted.Add(1)
		time.Sleep(l.cost)
		return &countedConn{Conn: conn, listener: l}, nil
	}
}

// countedConn takes itself off the listener's count when it is closed.
type countedConn struct {
	net.Conn
	listener *costlyListener
	once     sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
