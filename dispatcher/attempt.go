package dispatcher

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
)

// countedConn counts the bytes that are passed to Write of the connection.
type countedConn struct {
	net.Conn
	openedAt    time.Time
	written     atomic.Int64
	isAbandoned atomic.Bool
}

// Write implements net.Conn. It counts the bytes before it writes them, because a
// failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.isAbandoned.Load() {
		return 0, net.ErrClosed
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// abandon closes the connection. A request that the transport has assigned to it and not
// begun to write fails without a byte written.
func (c *countedConn) abandon() {
	c.isAbandoned.Store(true)
	_ = c.Conn.Close()
}

// attempt records the connection of one request and how many bytes had been written to
// that connection before the request.
type attempt struct {
	conn          atomic.Pointer[countedConn]
	writtenBefore atomic.Int64
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	a.writtenBefore.Store(conn.written.Load())
	a.conn.Store(conn)
}

// connectedAt returns when the connection of the request was opened.
func (a *attempt) connectedAt() time.Time {
	conn := a.conn.Load()
	if conn == nil {
		return time.Time{}
	}
	return conn.openedAt
}

// abandonConnection closes the connection of the request, if it has one.
func (a *attempt) abandonConnection() {
	if conn := a.conn.Load(); conn != nil {
		conn.abandon()
	}
}

// nothingWritten reports whether no byte of the request left this process.
func (a *attempt) nothingWritten() bool {
	conn := a.conn.Load()
	return conn == nil || conn.written.Load() == a.writtenBefore.Load()
}

// classify converts a transport error to a NotRunError or an OutcomeUnknownError.
func (a *attempt) classify(ctx context.Context, target Target, cause error) error {
	reason := pollencrank.ReasonServerFailed
	switch {
	case context.Cause(ctx) == context.DeadlineExceeded:
		reason = pollencrank.ReasonDeadlinePassed
	case ctx.Err() != nil:
		reason = pollencrank.ReasonCallerGone
	case a.conn.Load() == nil:
		reason = pollencrank.ReasonServerUnreachable
	}
	if a.nothingWritten() {
		return pollencrank.NotRun(reason, "server %s: %v", target.Name, cause)
	}
	return pollencrank.OutcomeUnknown(reason, "server %s: %v", target.Name, cause)
}
