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
	// MaxBufferedAnswerBytes is the length up to which an answer is read to its end
	// before its first byte is passed on, so that the request can be retried if the
	// answer is truncated.
	MaxBufferedAnswerBytes = 1 << 20
	// defaultBufferedBytes bounds the bytes buffered for all answers together unless the
	// configuration does. Answers beyond that are streamed.
	defaultBufferedBytes = 32 << 20
	// callerPause is the time without a read of a streamed answer from which its caller, and
	// not its server, is slow.
	callerPause = time.Second
)

// NewAnswerStager returns a Stager that buffers answers until they are known to be complete.
// total and shortTotal bound the bytes of all large and of all short ones; zero selects the
// defaults.
func NewAnswerStager(total, shortTotal int64) *stager.Stager {
	if total <= 0 {
		total = defaultBufferedBytes
	}
	return stager.New(stager.Config{PerBody: MaxBufferedAnswerBytes, Total: total, ShortTotal: shortTotal})
}

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

// bufferAnswer reads the body of an answer up to MaxBufferedAnswerBytes, so that a
// truncated one is detected before any of it is passed on. A longer body is streamed,
// and a failure is recorded for its server when the stream fails, unless the answer comes
// through another instance and backend is nil. It returns the body if it is streamed.
func (f *Forwarder) bufferAnswer(ctx context.Context, call *Call, answer *pollencrank.Answer, backend *registrar.Backend) (*streamedBody, error) {
	source := answer.Body
	if answer.ContentLength > MaxBufferedAnswerBytes {
		return stream(ctx, answer, backend), nil
	}
	body, err := f.config.AnswerStager.StageWithin(call.Share, source, answer.ContentLength)
	var full *stager.FullError
	if errors.As(err, &full) {
		answer.IsOverCallerShare = full.IsShare
		return stream(ctx, answer, backend), nil
	}
	if err != nil {
		_ = source.Close()
		reason := pollencrank.ReasonAnswerTruncated
		if errors.Is(err, context.DeadlineExceeded) {
			reason = pollencrank.ReasonDeadlinePassed
		}
		return nil, pollencrank.OutcomeUnknown(reason, "server %s: the answer broke off: %v", answer.Server, err)
	}
	if data, isWhole := body.Bytes(); isWhole {
		_ = source.Close()
		answer.ContentLength = int64(len(data))
		answer.IsWhole = true
		answer.Body = &bufferedBody{Reader: body.Reader(), body: body}
		return nil, nil
	}
	answer.IsOverCallerShare = body.IsShareSpent()
	streamed := stream(ctx, answer, backend)
	streamed.reader = body.Reader()
	streamed.buffered = body
	return streamed, nil
}

// stream makes an answer pass its body on as it arrives, and returns the body.
func stream(ctx context.Context, answer *pollencrank.Answer, backend *registrar.Backend) *streamedBody {
	streamed := &streamedBody{
		Closer: answer.Body, reader: answer.Body, backend: backend,
		hasCallerLeft: func() bool { return errors.Is(context.Cause(ctx), context.Canceled) },
		onEnd:         func(error, time.Time) {},
		onClose:       func() {},
		pausedAt:      time.Now(),
	}
	answer.Body = streamed
	return streamed
}

// bufferedBody is a body that is buffered completely.
type bufferedBody struct {
	io.Reader
	body *stager.Body
}

// WriteTo implements io.WriterTo: no second buffer is needed while the caller reads.
func (b *bufferedBody) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, b.Reader) }

// Close implements io.Closer.
func (b *bufferedBody) Close() error {
	b.body.Release()
	return nil
}

// streamedBody is a body that is passed on as it arrives. If reading it fails or does
// not end before the deadline, a failure is recorded for its server, unless the caller
// has left or was slow to read: servers give up on answers that stay unread.
type streamedBody struct {
	io.Closer
	reader        io.Reader
	backend       *registrar.Backend
	buffered      *stager.Body
	hasCallerLeft func() bool
	// onEnd is called when the body has been read to its end, with nil, or when reading it
	// fails. onClose is called when it is closed.
	onEnd    func(err error, now time.Time)
	onClose  func()
	hasEnded bool
	// pausedAt is when the last read has ended.
	pausedAt time.Time
	// waited is how long reads have taken, paused the time between them.
	waited, paused time.Duration
	// isCallerSlow says whether the caller had not read for callerPause before the last read.
	isCallerSlow bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	started := time.Now()
	pause := started.Sub(b.pausedAt)
	b.paused += pause
	b.isCallerSlow = pause >= callerPause
	n, err := b.reader.Read(p)
	now := time.Now()
	b.waited += now.Sub(started)
	if err != nil {
		b.end(err, now)
	}
	b.pausedAt = now
	return n, err
}

// end records the end of the body, once.
func (b *streamedBody) end(err error, now time.Time) {
	if b.hasEnded {
		return
	}
	b.hasEnded = true
	if errors.Is(err, io.EOF) {
		b.onEnd(nil, now)
		return
	}
	if b.backend != nil && !b.isOfCaller(err) {
		b.backend.RecordFailure(now)
	}
	b.onEnd(err, now)
}

// isOfCaller reports whether the caller, and not the server, is the cause of an error.
func (b *streamedBody) isOfCaller(err error) bool {
	isLate := errors.Is(err, context.DeadlineExceeded) && b.paused > b.waited
	return b.isCallerSlow || isLate || b.hasCallerLeft()
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	if b.buffered != nil {
		b.buffered.Release()
	}
	defer b.onClose()
	return b.Closer.Close()
}
