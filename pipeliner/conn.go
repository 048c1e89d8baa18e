package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/pollencrank/pollencrank/expirer"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 8 << 10
	// maxOverlapping is the number of requests of one connection that run
	// concurrently. Further requests do not start until one of them has ended.
	maxOverlapping = 16
	// maxDrainBytes is how much of a body that the handler did not read is
	// discarded, so that the connection can be reused.
	maxDrainBytes = 256 << 10
	// drainTimeout bounds the time spent on reading such a remainder.
	drainTimeout = 100 * time.Millisecond
	// finalRequestTimeout is how long a request that was sent before the server
	// began to close the connection may take to arrive.
	finalRequestTimeout = 150 * time.Millisecond
	// lingerTimeout is how long incoming bytes are read and discarded after the
	// last answer: closing a connection with unread bytes resets it, and the caller
	// may lose the answer.
	lingerTimeout = 500 * time.Millisecond
)

// conn is a connection from a caller.
type conn struct {
	server *Server
	raw    net.Conn
	limit  *limitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	// held counts the bytes of the requests that run and of the answers that wait.
	held atomic.Int64
	// ctx is cancelled when the caller disconnects or the connection is aborted.
	ctx    context.Context
	cancel context.CancelFunc
	// slots holds an element for each running exchange.
	slots chan struct{}
	// lastRunsAlone says that no request may run beside the last one that was begun. Only
	// the goroutine that reads requests uses it.
	lastRunsAlone bool

	mu sync.Mutex
	// last is the most recent exchange, or nil if all exchanges have ended.
	last *exchange
	// begun and ended count exchanges.
	begun, ended int
	// isReading is set while a request arrives.
	isReading bool
	// isLast is set once no further request is accepted.
	isLast bool
	// isFinishing is set once the server closes the connection: one more request,
	// which may be in transit, is accepted, and none after it.
	isFinishing bool
	// isAborted is set once the connection was aborted: after a write error, a panic
	// of a handler or Server.Close.
	isAborted bool
}

func newConn(s *Server, raw net.Conn) *conn {
	limit := &limitedReader{reader: raw}
	ctx, cancel := context.WithCancel(s.config.ConnContext(context.Background()))
	taken := expirer.New(raw, expirer.Config{Timeout: s.config.UnreadTimeout, OnExpire: s.logUnread})
	return &conn{
		server: s,
		raw:    raw,
		limit:  limit,
		reader: bufio.NewReaderSize(limit, readBufferBytes),
		writer: bufio.NewWriterSize(taken, writeBufferBytes),
		ctx:    ctx,
		cancel: cancel,
		slots:  make(chan struct{}, maxOverlapping),
	}
}

// serve reads requests until the connection ends and starts an exchange for each.
func (c *conn) serve() {
	defer c.close()
	for {
		request, err := c.readRequest()
		if err != nil {
			c.refuse(err)
			return
		}
		e, ok := c.begin(request, c.limit.count)
		if !ok {
			return
		}
		go e.run()
		e.awaitBody()
		if request.Close {
			return
		}
	}
}

// badRequestError is the reason for which a request is rejected before it reaches
// the handler.
type badRequestError struct {
	status int
	detail string
}

// Error implements error.
func (e *badRequestError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.detail) }

// readRequest reads the header of the next request.
func (c *conn) readRequest() (*http.Request, error) {
	c.limit.remaining = int64(c.server.config.MaxHeaderBytes + readBufferBytes)
	c.limit.isExceeded = false
	c.limit.count = int64(c.reader.Buffered())
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	c.markActive()
	if err := c.raw.SetReadDeadline(time.Now().Add(c.server.config.ReadHeaderTimeout)); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.readError(err)
	}
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	c.limit.remaining = -1
	c.limit.count -= int64(c.reader.Buffered())
	request.RemoteAddr = c.raw.RemoteAddr().String()
	return request, checkRequest(request)
}

// readError converts err to a badRequestError unless the connection has ended.
func (c *conn) readError(err error) error {
	var netErr net.Error
	switch {
	case c.limit.isExceeded:
		return &badRequestError{status: http.StatusRequestHeaderFieldsTooLarge, detail: "the header is too large"}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &badRequestError{status: http.StatusRequestTimeout, detail: "the header did not arrive in time"}
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return err
	}
	return &badRequestError{status: http.StatusBadRequest, detail: err.Error()}
}

// checkRequest rejects requests that http.ReadRequest accepts but a server must not
// accept.
func checkRequest(r *http.Request) error {
	if r.ProtoMajor != 1 {
		return &badRequestError{status: http.StatusHTTPVersionNotSupported, detail: r.Proto}
	}
	if r.ProtoAtLeast(1, 1) && (r.Host == "" || !httpguts.ValidHostHeader(r.Host)) {
		return &badRequestError{status: http.StatusBadRequest, detail: "the host is missing or malformed"}
	}
	for name, values := range r.Header {
		for _, value := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
				return &badRequestError{status: http.StatusBadRequest, detail: "a header field is malformed"}
			}
		}
	}
	return nil
}

// begin waits until the request may run and returns its exchange. It reports false
// if the connection accepts no further request.
func (c *conn) begin(request *http.Request, headerBytes int64) (*exchange, bool) {
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return nil, false
	}
	request = request.WithContext(c.ctx)
	// The answer to a caller of HTTP/1.0 may end with the connection.
	runsAlone := !request.ProtoAtLeast(1, 1) || c.server.config.RunsAlone(request)
	size := headerBytes + min(max(0, request.ContentLength), maxCountedBytes)
	isFull := c.held.Load()+size > c.server.config.MaxHeldBytes
	if runsAlone || c.lastRunsAlone || isFull || !c.server.config.MayOverlap(request) {
		c.awaitAll()
	}
	c.lastRunsAlone = runsAlone
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReading = false
	if c.isLast || c.isAborted {
		<-c.slots
		return nil, false
	}
	e := newExchange(c, request, c.last)
	e.headerBytes = headerBytes
	e.hold(size)
	c.last = e
	c.begun++
	c.isLast = request.Close || c.isFinishing
	return e, true
}

// awaitAll waits until every exchange that was started has ended.
func (c *conn) awaitAll() {
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	if last != nil {
		<-last.ended
	}
}

// end records that an exchange has ended.
func (c *conn) end(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(e.ended)
	e.release()
	c.ended++
	<-c.slots
	if c.begun != c.ended {
		return
	}
	c.last = nil
	if c.isLast {
		c.interruptRead()
		return
	}
	if c.isFinishing {
		c.boundFinalRead()
	}
	if !c.isAborted && !c.isReading {
		c.server.config.ConnState(c.raw, http.StateIdle)
	}
}

// markActive records and reports that a request has begun to arrive.
func (c *conn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReading = true
	c.server.config.ConnState(c.raw, http.StateActive)
}

// isLastAnswer reports whether the connection is closed after the answer of e.
// wantsClose is set if that answer requires closing. If further exchanges were
// started after e, the connection is closed after the last of them instead.
func (c *conn) isLastAnswer(e *exchange, wantsClose bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wantsClose || c.isFinishing {
		c.isLast = true
	}
	return c.isLast && c.last == e
}

// finish closes the connection after the answers to the requests that were started.
// If there are none, it allows finalRequestTimeout for a request that was already
// sent to arrive: closing the connection at once would lose it.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLast || c.isFinishing {
		return
	}
	c.isFinishing = true
	if c.begun == c.ended {
		c.boundFinalRead()
	}
}

// boundFinalRead sets the read deadline for a last request, unless a request is
// already arriving. c.mu must be held.
func (c *conn) boundFinalRead() {
	if !c.isReading {
		_ = c.raw.SetReadDeadline(time.Now().Add(finalRequestTimeout))
	}
}

// interruptRead ends the wait for a further request by a read deadline in the past.
func (c *conn) interruptRead() { _ = c.raw.SetReadDeadline(time.Unix(1, 0)) }

// resetOnClose sets whether the connection is reset when it is closed, also if the process ends.
func (c *conn) resetOnClose(isOn bool) {
	seconds := -1
	if isOn {
		seconds = 0
	}
	if lingerer, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(seconds)
	}
}

// abort closes the connection immediately, without waiting for answers.
func (c *conn) abort() {
	c.mu.Lock()
	c.isAborted = true
	c.mu.Unlock()
	c.cancel()
	_ = c.raw.Close()
}

// refuse answers a request that failed with a badRequestError, after all earlier
// answers. For other errors it does nothing.
func (c *conn) refuse(err error) {
	var badRequest *badRequestError
	if !errors.As(err, &badRequest) {
		return
	}
	c.awaitAll()
	c.mu.Lock()
	isClosing := c.isLast || c.isAborted
	c.isLast = true
	c.mu.Unlock()
	if isClosing {
		return
	}
	_, _ = fmt.Fprintf(c.writer, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", badRequest.status, http.StatusText(badRequest.status))
	_ = c.writer.Flush()
}

// close closes the connection: after its last answer if no further request is
// accepted, or otherwise by cancelling the running requests.
func (c *conn) close() {
	c.mu.Lock()
	isLast := c.isLast && !c.isAborted
	c.mu.Unlock()
	if isLast {
		go c.cancelOnDisconnect()
		c.awaitAll()
		c.linger()
	}
	c.cancel()
	c.awaitAll()
	_ = c.raw.Close()
	c.server.removeConn(c)
}

// cancelOnDisconnect cancels the running requests if the caller disconnects before
// its last answer is ready.
func (c *conn) cancelOnDisconnect() {
	c.limit.remaining = -1
	_, err := c.reader.Peek(1)
	var netErr net.Error
	if err != nil && !(errors.As(err, &netErr) && netErr.Timeout()) {
		c.cancel()
	}
}

// linger half-closes the connection and discards what still arrives, so that the
// caller can read the last answer before the connection is closed.
func (c *conn) linger() {
	type halfCloser interface{ CloseWrite() error }
	half, ok := c.raw.(halfCloser)
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.raw)
}

// limitedReader bounds the number of bytes read while remaining is not negative.
type limitedReader struct {
	reader     io.Reader
	remaining  int64
	isExceeded bool
	// count is the number of bytes read while remaining is not negative.
	count int64
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining < 0 {
		return r.reader.Read(p)
	}
	if r.remaining == 0 {
		r.isExceeded = true
		return 0, io.EOF
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.reader.Read(p)
	r.remaining -= int64(n)
	r.count += int64(n)
	return n, err
}
