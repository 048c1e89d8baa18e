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
	// defaultBodyPause is how long a caller may send nothing of a body where the
	// configuration does not say.
	defaultBodyPause = 5 * time.Second
	// roomPause is when a caller may come back for whose body there was no room.
	roomPause = 400 * time.Millisecond
)

// stage takes the body of a request in before a server is chosen, so that a slow
// caller occupies none. It returns how to release what is held.
func (r *Relayer) stage(w http.ResponseWriter, incoming *http.Request, call *forwarder.Call) (func(), error) {
	if incoming.ContentLength == 0 {
		return func() {}, nil
	}
	source := &callerBody{
		body:       incoming.Body,
		controller: http.NewResponseController(w),
		deadline:   call.Request.Deadline,
		pause:      call.Table.Limits.HeaderTimeout,
		limit:      call.Table.Limits.MaxBodyBytes,
	}
	if source.pause <= 0 {
		source.pause = defaultBodyPause
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

// bodyError says why a body was not taken in. Nothing of its request ran.
func bodyError(err error) error {
	var full *stager.FullError
	var large *tooLargeError
	switch {
	case errors.As(err, &full):
		refused := pollencrank.NotRun(pollencrank.ReasonBodiesFull, "%v", err)
		refused.RetryAt = time.Now().Add(roomPause)
		return refused
	case errors.As(err, &large):
		return tooLarge(large.limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return pollencrank.NotRun(pollencrank.ReasonBodyTimeout, "the request's body did not arrive in time")
	}
	return pollencrank.NotRun(pollencrank.ReasonBodyBroken, "the request's body broke off: %v", err)
}

func tooLarge(limit int64) error {
	return pollencrank.NotRun(pollencrank.ReasonTooLarge, "the request's body exceeds the limit of %d bytes", limit)
}

// tooLargeError says that a body of unknown length is longer than it may be.
type tooLargeError struct{ limit int64 }

// Error implements error.
func (e *tooLargeError) Error() string { return "the body is too large" }

// callerBody is a body as its caller sends it, within the limits of the
// configuration. It keeps its failure, which is not the server's.
type callerBody struct {
	body       io.Reader
	controller *http.ResponseController
	deadline   time.Time
	// pause is the longest time in which nothing may arrive.
	pause time.Duration
	limit int64
	read  int64
	fault atomic.Pointer[error]
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	due := time.Now().Add(b.pause)
	if due.After(b.deadline) {
		due = b.deadline
	}
	if err := b.controller.SetReadDeadline(due); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := b.body.Read(p)
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		err = &tooLargeError{limit: b.limit}
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.fault.Store(&err)
	}
	return n, err
}

// failure returns why the body broke off, or nil.
func (b *callerBody) failure() error {
	if fault := b.fault.Load(); fault != nil {
		return *fault
	}
	return nil
}
