package relayer

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/revoker"
	"github.com/pollencrank/pollencrank/stager"
)

const (
	// defaultBodyIdleTimeout is how long a caller may send nothing of a body if the
	// configuration sets no limit.
	defaultBodyIdleTimeout = 5 * time.Second
	// bodiesFullRetryDelay is the time after which a caller may retry a request that was
	// refused because the stager had no memory left for its body.
	bodiesFullRetryDelay = 400 * time.Millisecond
)

// requestBody is the body of a request. It is lent to whoever sends the request on, in the
// background until after the answer. The zero value is an empty body.
type requestBody struct {
	source *callerBody
	staged *stager.Body
}

// stageBody reads the body of a request before a server is chosen, so that a slow
// caller occupies no server.
func (r *Relayer) stageBody(w http.ResponseWriter, incoming *http.Request, call *forwarder.Call) (requestBody, error) {
	if incoming.ContentLength == 0 {
		return requestBody{}, nil
	}
	source := newCallerBody(w, incoming, call)
	staged, err := r.config.Stager.Stage(source, incoming.ContentLength)
	if err != nil {
		return requestBody{}, bodyError(err)
	}
	body := requestBody{source: source, staged: staged}
	if data, isWhole := staged.Bytes(); isWhole {
		call.Body = data
		call.Request.ContentLength = int64(len(data))
		return body, nil
	}
	call.Request.Body = staged.Reader()
	call.BodyFailure = source.failure
	return body, nil
}

// isInUse reports whether the body may still be read by whoever sends the request on.
func (b requestBody) isInUse() bool {
	if b.source == nil {
		return false
	}
	_, isWhole := b.staged.Bytes()
	return !isWhole && !b.source.lent.HasEnded()
}

// takeBack ends the reading by whoever sends the request on: the rest of the body is left
// to the caller's connection. A server that has got a part of it gets no end of it.
func (b requestBody) takeBack() {
	if b.source != nil {
		b.source.lent.Revoke()
	}
}

// release takes the body back and releases its memory.
func (b requestBody) release() {
	b.takeBack()
	if b.staged != nil {
		b.staged.Release()
	}
}

// bodyError returns the refusal of a request whose body could not be staged. No part of
// the request was sent to a server.
func bodyError(err error) error {
	var full *stager.FullError
	var large *tooLargeError
	switch {
	case errors.As(err, &full):
		refused := pollencrank.NotRun(pollencrank.ReasonBodiesFull, "%v", err)
		refused.RetryAt = time.Now().Add(bodiesFullRetryDelay)
		return refused
	case errors.As(err, &large):
		return tooLargeRefusal(large.limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return pollencrank.NotRun(pollencrank.ReasonBodyTimeout, "the request's body did not arrive in time")
	}
	return pollencrank.NotRun(pollencrank.ReasonBodyBroken, "the request's body broke off: %v", err)
}

func tooLargeRefusal(limit int64) error {
	return pollencrank.NotRun(pollencrank.ReasonTooLarge, "the request's body exceeds the limit of %d bytes", limit)
}

// tooLargeError reports that a body of unknown length exceeds the limit.
type tooLargeError struct{ limit int64 }

// Error implements error.
func (e *tooLargeError) Error() string { return "the body is too large" }

// callerBody reads a body from its caller within the limits of the configuration. It
// stores a read error, so that the failure is not recorded against the server.
type callerBody struct {
	lent      *revoker.Reader
	limit     int64
	read      int64
	readError atomic.Pointer[error]
}

func newCallerBody(w http.ResponseWriter, incoming *http.Request, call *forwarder.Call) *callerBody {
	controller := http.NewResponseController(w)
	idleTimeout := call.Table.Limits.HeaderTimeout
	if idleTimeout <= 0 {
		idleTimeout = defaultBodyIdleTimeout
	}
	deadline := call.Request.Deadline
	return &callerBody{
		limit: call.Table.Limits.MaxBodyBytes,
		lent: revoker.New(revoker.Config{
			Source:          incoming.Body,
			SetReadDeadline: func(t time.Time) error { return ignoreUnsupported(controller.SetReadDeadline(t)) },
			NextDeadline:    func() time.Time { return earlier(time.Now().Add(idleTimeout), deadline) },
		}),
	}
}

// ignoreUnsupported returns err unless it says that the connection has no deadlines.
func ignoreUnsupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.lent.Read(p)
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		err = &tooLargeError{limit: b.limit}
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.readError.Store(&err)
	}
	return n, err
}

// failure returns the error with which reading the body failed, or nil.
func (b *callerBody) failure() error {
	if readErr := b.readError.Load(); readErr != nil {
		return *readErr
	}
	return nil
}
