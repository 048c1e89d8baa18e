package dispatcher

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank/discerner"
)

// serverConn is a connection to a server. It counts the bytes that are passed to Write.
type serverConn struct {
	net.Conn
	openedAt    time.Time
	written     atomic.Int64
	isAbandoned atomic.Bool
	// user is the attempt whose request has not been answered to its end, if any.
	user atomic.Pointer[attempt]
}

// Write implements net.Conn. It counts the bytes before it writes them, because a
// failed write may have sent some of them.
func (c *serverConn) Write(p []byte) (int, error) {
	if c.isAbandoned.Load() {
		return 0, net.ErrClosed
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// abandon closes the connection. A request that the transport has assigned to it and not
// begun to write fails without a byte written.
func (c *serverConn) abandon() {
	c.isAbandoned.Store(true)
	_ = c.Close()
}

// Close implements net.Conn. If a request has not been answered to its end, it resets the
// connection: the kernel would otherwise go on sending what it still holds of a request that
// has been given up on, and the server would get it after any time.
func (c *serverConn) Close() error {
	if c.user.Load() != nil {
		return discerner.Reset(c.Conn)
	}
	return c.Conn.Close()
}
