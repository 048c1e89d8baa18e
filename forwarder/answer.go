package forwarder

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/stager"
)

const (
	// heldAnswerBytes is the length up to which an answer is read as a whole
	// before its first byte is passed on, so that a broken one can be repeated.
	heldAnswerBytes = 1 << 20
	// heldAnswersBytes bounds what is held of all answers. Further ones are passed
	// on as they arrive.
	heldAnswersBytes = 32 << 20
)

// check makes sure that an answer is a server's own and the one to the request.
// Without it the request may have run.
func check(answer *pollencrank.Answer, request *pollencrank.Request) error {
	isSuccess := answer.Status/100 == 2
	isOther := answer.RequestID != "" && answer.RequestID != request.ID
	if isOther || (isSuccess && answer.RequestID != request.ID) {
		_ = answer.Body.Close()
		return pollencrank.OutcomeUnknown(pollencrank.ReasonAnswerMismatch, "server %s answered request %q", answer.Server, answer.RequestID)
	}
	if isSuccess && !answer.IsGenuine {
		_ = answer.Body.Close()
		return pollencrank.OutcomeUnknown(pollencrank.ReasonAnswerMismatch, "the answer of server %s has no proof that it is its own", answer.Server)
	}
	return nil
}

// take reads the body of an answer that is not very long, so that one that breaks
// off is noticed before anything of it is passed on. A longer one is passed on as
// it arrives, and its server is judged when it has ended.
func (f *Forwarder) take(ctx context.Context, answer *pollencrank.Answer, backend *registrar.Backend) error {
	source := answer.Body
	late := &lateBody{Closer: source, backend: backend, hasCallerLeft: func() bool {
		return errors.Is(context.Cause(ctx), context.Canceled)
	}}
	if answer.ContentLength > heldAnswerBytes {
		late.reader = source
		answer.Body = late
		return nil
	}
	body, err := f.answers.Stage(source, answer.ContentLength)
	var full *stager.FullError
	if errors.As(err, &full) {
		late.reader = source
		answer.Body = late
		return nil
	}
	if err != nil {
		_ = source.Close()
		reason := pollencrank.ReasonAnswerTruncated
		if errors.Is(err, context.DeadlineExceeded) {
			reason = pollencrank.ReasonDeadlinePassed
		}
		return pollencrank.OutcomeUnknown(reason, "server %s: the answer broke off: %v", answer.Server, err)
	}
	if data, isWhole := body.Whole(); isWhole {
		_ = source.Close()
		answer.ContentLength = int64(len(data))
		answer.Body = &heldBody{Reader: body.Reader(), body: body}
		return nil
	}
	late.reader = body.Reader()
	late.held = body
	answer.Body = late
	return nil
}

// heldBody is a whole body that is held.
type heldBody struct {
	io.Reader
	body *stager.Body
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.body.Release()
	return nil
}

// lateBody is a body that is passed on as it arrives. One that breaks off, or that
// does not end in time, is held against its server.
type lateBody struct {
	io.Closer
	reader        io.Reader
	backend       *registrar.Backend
	held          *stager.Body
	hasCallerLeft func() bool
}

// Read implements io.Reader.
func (b *lateBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !b.hasCallerLeft() {
		b.backend.RecordFailure(time.Now())
	}
	return n, err
}

// Close implements io.Closer.
func (b *lateBody) Close() error {
	if b.held != nil {
		b.held.Release()
	}
	return b.Closer.Close()
}
