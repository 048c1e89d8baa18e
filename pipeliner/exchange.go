package pipeliner

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/recorder"
)

// exchange is one request and its answer. It implements http.ResponseWriter for
// the handler.
type exchange struct {
	conn    *conn
	request *http.Request
	body    *requestBody
	// previous is the exchange whose answer is sent before this one's.
	previous *exchange
	// headerBytes is the size of the request's header, held what the exchange holds of the
	// connection's bytes.
	headerBytes, held int64
	// ended is closed when the answer was sent or the exchange failed.
	ended chan struct{}

	header        http.Header
	isHeaderSent  bool
	hasBody       bool
	contentLength int64
	written       int64
	chunks        io.WriteCloser
}

var _ http.ResponseWriter = (*exchange)(nil)

func newExchange(c *conn, request *http.Request, previous *exchange) *exchange {
	e := &exchange{
		conn:          c,
		request:       request,
		previous:      previous,
		ended:         make(chan struct{}),
		header:        http.Header{},
		contentLength: -1,
	}
	if request.Body != nil && request.Body != http.NoBody {
		e.body = &requestBody{
			ReadCloser: request.Body,
			raw:        c.raw,
			atEnd:      make(chan struct{}),
		}
		if httpguts.HeaderValuesContainsToken(request.Header["Expect"], "100-continue") {
			e.body.onFirstRead = e.sendContinue
		}
		e.request.Body = e.body
	}
	return e
}

// run runs the handler and completes the answer.
func (e *exchange) run() {
	defer e.conn.end(e)
	defer e.recover()
	server := e.conn.server
	defer server.requestBytes.Add(-e.headerBytes)
	server.handlerOf(e.headerBytes).ServeHTTP(e, e.request)
	e.finish()
}

// hold counts bytes as held for the connection until the exchange has ended.
func (e *exchange) hold(n int64) {
	e.held += n
	e.conn.held.Add(n)
}

// release releases what the exchange holds.
func (e *exchange) release() { e.conn.held.Add(-e.held) }

// recover aborts the connection if the handler panicked, so that the caller does not
// take a partial answer for a complete one.
func (e *exchange) recover() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		e.conn.server.config.Log.Error("a handler panicked", slog.Any("cause", cause), slog.String("stack", string(debug.Stack())))
	}
	e.awaitTurn()
	_ = e.conn.writer.Flush()
	e.conn.abort()
}

// SetReadDeadline bounds the reading of the request's body, for
// http.ResponseController.
func (e *exchange) SetReadDeadline(deadline time.Time) error {
	if e.body == nil {
		return http.ErrNotSupported
	}
	return e.body.setDeadline(deadline)
}

// awaitTurn waits until all earlier answers of the connection were sent.
func (e *exchange) awaitTurn() {
	if e.previous != nil {
		<-e.previous.ended
		e.previous = nil
	}
}

// awaitBody waits until the body was read or the exchange has ended: the next
// request follows the body on the connection.
func (e *exchange) awaitBody() {
	if e.body == nil {
		return
	}
	select {
	case <-e.body.atEnd:
	case <-e.ended:
	}
}

func (e *exchange) sendContinue() {
	if e.isHeaderSent {
		return
	}
	e.awaitTurn()
	_, _ = io.WriteString(e.conn.writer, "HTTP/1.1 100 Continue\r\n\r\n")
	_ = e.conn.writer.Flush()
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	if e.isHeaderSent {
		return
	}
	if !pollencrank.IsFinalStatus(status) {
		e.conn.server.config.Log.Error("a handler wrote no final status", recorder.EventAnswerInvalid.Attr(), slog.Int("status", status))
		panic(http.ErrAbortHandler)
	}
	e.isHeaderSent = true
	wantsClose := e.wantsClose()
	e.chooseFraming(status)
	if e.hasBody && e.contentLength > 0 {
		e.hold(min(e.contentLength, maxCountedBytes))
	}
	e.awaitTurn()
	if e.endsWithConnection() {
		wantsClose = true
		// Whatever ends the connection before the answer is complete must not look like its end.
		e.conn.resetOnClose(true)
	}
	e.writeHead(status, e.conn.isLastAnswer(e, wantsClose))
}

// writeHead writes the head of the answer, which says whether it is the last one.
func (e *exchange) writeHead(status int, isLast bool) {
	e.header.Del("Connection")
	switch {
	case isLast:
		e.header.Set("Connection", "close")
	case !e.request.ProtoAtLeast(1, 1):
		e.header.Set("Connection", "keep-alive")
	}
	if e.header.Get("Date") == "" {
		e.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	_, _ = fmt.Fprintf(e.conn.writer, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	_ = e.header.Write(e.conn.writer)
	_, _ = io.WriteString(e.conn.writer, "\r\n")
}

// wantsClose reports whether the connection cannot be reused after the answer.
func (e *exchange) wantsClose() bool {
	if httpguts.HeaderValuesContainsToken(e.header["Connection"], "close") || e.request.Close {
		return true
	}
	return e.body != nil && !e.body.drain()
}

// chooseFraming selects how the end of the answer is delimited: by Content-Length, by
// chunked encoding, or by closing the connection.
func (e *exchange) chooseFraming(status int) {
	e.header.Del("Transfer-Encoding")
	length, err := strconv.ParseInt(strings.TrimSpace(e.header.Get("Content-Length")), 10, 64)
	if err == nil && length >= 0 {
		e.contentLength = length
	} else {
		e.header.Del("Content-Length")
	}
	if status == http.StatusNoContent || status == http.StatusNotModified || e.request.Method == http.MethodHead {
		return
	}
	e.hasBody = true
	if e.contentLength < 0 && e.request.ProtoAtLeast(1, 1) {
		e.header.Set("Transfer-Encoding", "chunked")
		e.chunks = httputil.NewChunkedWriter(e.conn.writer)
	}
}

// endsWithConnection reports whether the end of the answer is marked by that of the connection.
func (e *exchange) endsWithConnection() bool {
	return e.hasBody && e.contentLength < 0 && e.chunks == nil
}

// Write implements io.Writer.
func (e *exchange) Write(p []byte) (int, error) {
	if !e.isHeaderSent {
		e.WriteHeader(http.StatusOK)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if !e.hasBody {
		return 0, http.ErrBodyNotAllowed
	}
	if e.contentLength >= 0 && e.written+int64(len(p)) > e.contentLength {
		return 0, http.ErrContentLength
	}
	e.written += int64(len(p))
	if e.chunks != nil {
		return e.chunks.Write(p)
	}
	return e.conn.writer.Write(p)
}

// finish completes the answer. If the body is shorter than its Content-Length, it
// panics so that the connection is aborted.
func (e *exchange) finish() {
	if !e.isHeaderSent {
		e.header.Set("Content-Length", "0")
		e.WriteHeader(http.StatusOK)
	}
	if e.hasBody && e.contentLength > e.written {
		panic(http.ErrAbortHandler)
	}
	err := e.endChunks()
	if flushErr := e.conn.writer.Flush(); err != nil || flushErr != nil {
		e.conn.abort()
		return
	}
	if e.endsWithConnection() {
		e.conn.resetOnClose(false)
	}
}

func (e *exchange) endChunks() error {
	if e.chunks == nil {
		return nil
	}
	err := e.chunks.Close()
	_, trailerErr := io.WriteString(e.conn.writer, "\r\n")
	return errors.Join(err, trailerErr)
}
