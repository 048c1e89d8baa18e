package dispatcher

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
)

// attempt records the connection of one request and how many bytes had been written to
// that connection before the request.
type attempt struct {
	conn          atomic.Pointer[serverConn]
	writtenBefore atomic.Int64
	isWritten     atomic.Bool
}

// withTrace returns a context in which a transport reports to the attempt.
func (a *attempt) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn, WroteRequest: a.wroteRequest})
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*serverConn)
	if !ok {
		return
	}
	a.writtenBefore.Store(conn.written.Load())
	conn.user.Store(a)
	a.conn.Store(conn)
}

func (a *attempt) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err == nil {
		a.isWritten.Store(true)
	}
}

// finish records that the answer has ended. The connection is still the attempt's if the
// request has not been written to its end.
func (a *attempt) finish() {
	if conn := a.conn.Load(); conn != nil && a.isWritten.Load() {
		conn.user.CompareAndSwap(a, nil)
	}
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

// metAbandonedConnection reports whether the transport assigned a connection to the request
// that had been abandoned, so that nothing of the request was written.
func (a *attempt) metAbandonedConnection() bool {
	conn := a.conn.Load()
	return conn != nil && conn.isAbandoned.Load() && a.nothingWritten()
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
	case a.metAbandonedConnection():
		reason = pollencrank.ReasonAnswerMismatch
	}
	if a.nothingWritten() {
		return pollencrank.NotRun(reason, "server %s: %v", target.Name, cause)
	}
	return pollencrank.OutcomeUnknown(reason, "server %s: %v", target.Name, cause)
}
