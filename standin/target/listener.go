package target

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// costlyListener accepts connections one after the other. Each takes acceptCost,
// and connections over maxOpen are closed at once.
type costlyListener struct {
	net.Listener
	acceptCost time.Duration
	maxOpen    int64 // connections, 0 for no limit
	open       atomic.Int64
	accepted   atomic.Int64
	refused    atomic.Int64
}

// Accept returns the next connection that is within the limit.
func (l *costlyListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.maxOpen > 0 && l.open.Load() >= l.maxOpen {
			l.refused.Add(1)
			_ = conn.Close()
			continue
		}
		l.open.Add(1)
		l.accepted.Add(1)
		time.Sleep(l.acceptCost)
		return &countedConn{Conn: conn, listener: l}, nil
	}
}

// countedConn decrements the listener's count of open connections when it is closed.
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
