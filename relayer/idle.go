package relayer

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// IdleCloser closes connections that were idle for longer than a limit, which
// may change while they are open. It is safe for concurrent use.
type IdleCloser struct {
	mu    sync.Mutex
	idles map[net.Conn]time.Time
}

// NewIdleCloser returns an IdleCloser without connections.
func NewIdleCloser() *IdleCloser { return &IdleCloser{idles: map[net.Conn]time.Time{}} }

// Track follows a connection's state. It is an http.Server's ConnState.
func (c *IdleCloser) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		c.idles[conn] = time.Now()
		return
	}
	delete(c.idles, conn)
}

// Sweep closes the connections that were idle for longer than limit.
func (c *IdleCloser) Sweep(limit time.Duration, now time.Time) {
	c.mu.Lock()
	var expired []net.Conn
	for conn, since := range c.idles {
		if now.Sub(since) > limit {
			expired = append(expired, conn)
			delete(c.idles, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}
