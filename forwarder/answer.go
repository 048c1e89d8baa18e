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
	// maxBufferedAnswerBytes is the length up to which an answer is read to its end
	// before its first byte is passed on, so that the request can be retried if the
	// answer is truncated.
	maxBufferedAnswerBytes = 1 << 20
	// maxBufferedTotalBytes bounds the bytes buffered for all answers together.
	// Answers beyond that are streamed.
	maxBufferedTotalBytes = 32 << 20
)

// verifyAnswer checks that an answer comes from the server itself and belongs to the
// request. If the check fails, the outcome of the request is unknown.
func verifyAnswer(answer *pollencrank.Answer, request *pollencrank.Request) error {
	isSuccess := answer.Status/100 == 2
	isMismatch := answer.RequestID != "" && answer.RequestID != request.ID
	if isMismatch || (isSuccess && answer.RequestID != request.ID) {
		_ = answer.Body.Close()
		return pollencrank.OutcomeUnknown(pollencrank.ReasonAnswerMismatch, "server %s answered request %q", answer.Server, answer.RequestID)
	}
	if isSuccess && !answer.IsGenuine {
		_ = answer.Body.Close()
		return pollencrank.OutcomeUnknown(pollencrank.ReasonAnswerMismatch, "the answer of server %s has no proof that it is its own", answer.Server)
	}
	if !request.Idempotent && pollencrank.PromisesNotRun(answer.Status) {
		_ = answer.Body.Close()
		return pollencrank.OutcomeUnknown(pollencrank.ReasonRefusalUnproven,
			"server %s answered with status %d and no proof that the request has not run", answer.Server, answer.Status)
	}
	return nil
}

// bufferAnswer reads the body of an answer up to maxBufferedAnswerBytes, so that a
// truncated one is detected before any of it is passed on. A longer body is streamed,
// and a failure is recorded for its server when the stream fails, unless the answer comes
// through another instance and backend is nil.
func (f *Forwarder) bufferAnswer(ctx context.Context, answer *pollencrank.Answer, backend *registrar.Backend) error {
	source := answer.Body
	streamed := &streamedBody{Closer: source, backend: backend, hasCallerLeft: func() bool {
		return errors.Is(context.Cause(ctx), context.Canceled)
	}}
	if answer.ContentLength > maxBufferedAnswerBytes {
		streamed.reader = source
		answer.Body = streamed
		return nil
	}
	body, err := f.answerStager.Stage(source, answer.ContentLength)
	var full *stager.FullError
	if errors.As(err, &full) {
		streamed.reader = source
		answer.Body = streamed
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
	if data, isWhole := body.Bytes(); isWhole {
		_ = source.Close()
		answer.ContentLength = int64(len(data))
		answer.IsWhole = true
		answer.Body = &bufferedBody{Reader: body.Reader(), body: body}
		return nil
	}
	streamed.reader = body.Reader()
	streamed.buffered = body
	answer.Body = streamed
	return nil
}

// bufferedBody is a body that is buffered completely.
type bufferedBody struct {
	io.Reader
	body *stager.Body
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error {
	b.body.Release()
	return nil
}

// streamedBody is a body that is passed on as it arrives. If reading it fails or does
// not end before the deadline, a failure is recorded for its server, unless the caller
// has left.
type streamedBody struct {
	io.Closer
	reader        io.Reader
	backend       *registrar.Backend
	buffered      *stager.Body
	hasCallerLeft func() bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && b.backend != nil && !errors.Is(err, io.EOF) && !b.hasCallerLeft() {
		b.backend.RecordFailure(time.Now())
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	if b.buffered != nil {
		b.buffered.Release()
	}
	return b.Closer.Close()
}
