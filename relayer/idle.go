package relayer

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// IdleCloser closes connections that have been idle for longer than a limit. The limit
// may change while the connections are open. An IdleCloser is safe for concurrent use.
type IdleCloser struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// NewIdleCloser returns an IdleCloser without connections.
func NewIdleCloser() *IdleCloser { return &IdleCloser{idleSince: map[net.Conn]time.Time{}} }

// Track records a change of a connection's state. Use it as the ConnState of an
// http.Server.
func (c *IdleCloser) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		c.idleSince[conn] = time.Now()
		return
	}
	delete(c.idleSince, conn)
}

// Sweep closes the connections that have been idle for longer than limit at now.
func (c *IdleCloser) Sweep(limit time.Duration, now time.Time) {
	c.mu.Lock()
	var expired []net.Conn
	for conn, since := range c.idleSince {
		if now.Sub(since) > limit {
			expired = append(expired, conn)
			delete(c.idleSince, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}
