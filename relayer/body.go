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

// stageBody reads the body of a request before a server is chosen, so that a slow
// caller occupies no server. It returns the function that releases the buffer.
func (r *Relayer) stageBody(w http.ResponseWriter, incoming *http.Request, call *forwarder.Call) (func(), error) {
	if incoming.ContentLength == 0 {
		return func() {}, nil
	}
	source := &callerBody{
		body:        incoming.Body,
		controller:  http.NewResponseController(w),
		deadline:    call.Request.Deadline,
		idleTimeout: call.Table.Limits.HeaderTimeout,
		limit:       call.Table.Limits.MaxBodyBytes,
	}
	if source.idleTimeout <= 0 {
		source.idleTimeout = defaultBodyIdleTimeout
	}
	body, err := r.config.Stager.Stage(source, incoming.ContentLength)
	if err != nil {
		return nil, bodyError(err)
	}
	data, isWhole := body.Bytes()
	if isWhole {
		call.Body = data
		call.Request.ContentLength = int64(len(data))
		return body.Release, nil
	}
	call.Request.Body = body.Reader()
	call.BodyFailure = source.failure
	return body.Release, nil
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
	body       io.Reader
	controller *http.ResponseController
	deadline   time.Time
	// idleTimeout is the longest time in which no byte may arrive.
	idleTimeout time.Duration
	limit       int64
	read        int64
	readError   atomic.Pointer[error]
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	readDeadline := time.Now().Add(b.idleTimeout)
	if readDeadline.After(b.deadline) {
		readDeadline = b.deadline
	}
	if err := b.controller.SetReadDeadline(readDeadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := b.body.Read(p)
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
