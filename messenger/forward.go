package messenger

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/recorder"
)

// chunkBytes is the size of one part of a body that is forwarded.
const chunkBytes = 32 << 10

// chunkBuffers is the pool of buffers for parts of answer bodies. A part is encoded before
// its buffer is reused.
var chunkBuffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// forwardStream is the client side of the stream of a forwarded request.
type forwardStream = connect.BidiStreamForClient[peerpb.ForwardRequest, peerpb.ForwardResponse]

// Forward forwards a request to the entry at an address and returns the answer. An
// error is a NotRunError or an OutcomeUnknownError. onLoad is called with each load
// that the entry reports.
func (c *Client) Forward(ctx context.Context, address string, request *pollencrank.Request, onLoad func(*peerpb.Load)) (*pollencrank.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	stream := c.peer(address).data.Forward(ctx)
	first, isComplete, err := firstPart(request)
	if err != nil {
		cancel()
		return nil, pollencrank.NotRun(pollencrank.ReasonMalformed, "read the request body: %v", err)
	}
	if err := stream.Send(first); err != nil {
		err = forwardError(ctx, stream, address, err)
		cancel()
		return nil, err
	}
	if isComplete {
		_ = stream.CloseRequest()
	} else {
		go sendBody(stream, request.Body)
	}
	answer, err := receiveHead(ctx, stream, address, onLoad)
	if err != nil {
		cancel()
		return nil, err
	}
	body := answer.Body.(*forwardBody)
	body.stream, body.cancel = stream, cancel
	return answer, nil
}

// firstPart returns the first part of a request, and whether it is the complete request.
// A small body of known size is sent together with the head.
func firstPart(request *pollencrank.Request) (*peerpb.ForwardRequest, bool, error) {
	part := &peerpb.ForwardRequest{Head: headOf(request)}
	if request.Body == nil || request.ContentLength == 0 {
		part.End = true
		return part, true, nil
	}
	if request.ContentLength < 0 || request.ContentLength > chunkBytes {
		return part, false, nil
	}
	part.Body = make([]byte, request.ContentLength)
	part.End = true
	_, err := io.ReadFull(request.Body, part.Body)
	return part, true, err
}

func headOf(request *pollencrank.Request) *peerpb.ForwardHead {
	return &peerpb.ForwardHead{
		Method:        request.Method,
		Host:          request.Host,
		Uri:           request.URI,
		Headers:       toHeaders(request.Header),
		Workload:      request.Workload,
		Rank:          uint32(request.Rank),
		Caller:        request.Caller,
		ContentLength: request.ContentLength,
		Key:           request.Key,
		Generation:    uint64(request.Generation),
		Idempotent:    request.Idempotent,
		Foreign:       request.Foreign,
	}
}

func requestOf(head *peerpb.ForwardHead) *pollencrank.Request {
	return &pollencrank.Request{
		Workload:      head.Workload,
		Rank:          min(pollencrank.Rank(head.Rank), pollencrank.RankBackground),
		Caller:        head.Caller,
		Key:           head.Key,
		Idempotent:    head.Idempotent,
		Foreign:       head.Foreign,
		Generation:    pollencrank.Generation(head.Generation),
		Method:        head.Method,
		Host:          head.Host,
		URI:           head.Uri,
		Header:        fromHeaders(head.Headers),
		ContentLength: head.ContentLength,
	}
}

// sendBody sends a request body. After a read error it sends no end, so that the
// receiver does not treat the truncated body as complete.
func sendBody(stream *forwardStream, body io.Reader) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if stream.Send(&peerpb.ForwardRequest{Body: buffer[:n]}) != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = stream.Send(&peerpb.ForwardRequest{End: true})
			_ = stream.CloseRequest()
			return
		}
		if err != nil {
			_ = stream.CloseRequest()
			return
		}
	}
}

func receiveHead(ctx context.Context, stream *forwardStream, address string, onLoad func(*peerpb.Load)) (*pollencrank.Answer, error) {
	response, err := stream.Receive()
	if err != nil {
		return nil, forwardError(ctx, stream, address, err)
	}
	if response.Load != nil {
		onLoad(response.Load)
	}
	if response.Refusal != nil {
		return nil, refusalError(response.Refusal)
	}
	head := response.Head
	if head == nil {
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonPeerFailed, "entry %s answered out of order", address)
	}
	answer := &pollencrank.Answer{
		Status:        int(head.Status),
		Header:        fromHeaders(head.Headers),
		ContentLength: head.ContentLength,
		Server:        head.Server,
	}
	body := &forwardBody{answer: answer, onLoad: onLoad}
	body.setPart(response)
	answer.Body = body
	return answer, nil
}

// forwardError classifies the error of a stream. If no connection was opened, nothing
// was sent; otherwise the peer may have run the request.
func forwardError(ctx context.Context, stream *forwardStream, address string, cause error) error {
	if errors.Is(cause, io.EOF) {
		// Send returns io.EOF for every stream that has ended; Receive returns
		// the cause.
		if _, err := stream.Receive(); err != nil {
			cause = err
		}
	}
	if isDialError(cause) {
		return pollencrank.NotRun(pollencrank.ReasonPeerUnreachable, "entry %s: %v", address, cause)
	}
	reason := pollencrank.ReasonPeerFailed
	if ctx.Err() != nil {
		reason = pollencrank.ReasonCallerGone
		if context.Cause(ctx) == context.DeadlineExceeded {
			reason = pollencrank.ReasonDeadlinePassed
		}
	}
	return pollencrank.OutcomeUnknown(reason, "entry %s: %v", address, cause)
}

func refusalError(r *peerpb.Refusal) error {
	retryAt := time.Time{}
	if r.RetryAtUnixMs > 0 {
		retryAt = time.UnixMilli(r.RetryAtUnixMs)
	}
	reason := pollencrank.Reason(r.Reason)
	if r.NotRun {
		return &pollencrank.NotRunError{Reason: reason, Detail: r.Detail, RetryAt: retryAt}
	}
	return &pollencrank.OutcomeUnknownError{Reason: reason, Detail: r.Detail, RetryAt: retryAt}
}

// forwardBody reads the body of an answer from the stream.
type forwardBody struct {
	stream *forwardStream
	cancel context.CancelFunc
	answer *pollencrank.Answer
	onLoad func(*peerpb.Load)
	rest   []byte
	ended  bool
	once   sync.Once
}

// Read implements io.Reader. It returns an error if the stream ends before its last
// part, so that a truncated answer never looks complete.
func (b *forwardBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		response, err := b.stream.Receive()
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		b.setPart(response)
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// setPart stores the body of a part. For the last part it also stores the trailers and
// reports the load.
func (b *forwardBody) setPart(part *peerpb.ForwardResponse) {
	b.rest = part.Body
	if part.End == nil {
		return
	}
	b.ended = true
	b.answer.Trailer = fromHeaders(part.End.Trailers)
	if part.Load != nil {
		b.onLoad(part.Load)
	}
}

// Close implements io.Closer.
func (b *forwardBody) Close() error {
	b.once.Do(func() {
		b.cancel()
		_ = b.stream.CloseRequest()
		_ = b.stream.CloseResponse()
	})
	return nil
}

// Forward implements peerpbconnect.PeerServiceHandler. A forwarded request is run on the
// servers that this entry owns and is never forwarded again.
func (h *handler) Forward(ctx context.Context, stream *connect.BidiStream[peerpb.ForwardRequest, peerpb.ForwardResponse]) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	head := first.Head
	if head == nil {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the first part is not a head"))
	}
	request := requestOf(head)
	deadline, ok := ctx.Deadline()
	if !ok {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("no deadline"))
	}
	request.Deadline = deadline
	if request.ContentLength != 0 {
		request.Body = &receivedBody{stream: stream, rest: first.Body, ended: first.End}
	}
	answer, err := h.config.Executor.Execute(recorder.Extract(ctx, request.Header), request)
	if err != nil {
		return stream.Send(&peerpb.ForwardResponse{
			Refusal: refusalOf(err),
			Load:    h.config.Load(),
		})
	}
	defer answer.Body.Close()
	return h.sendAnswer(stream, answer)
}

// sendAnswer sends an answer to the forwarding entry. A small answer of known size is
// sent as one part; otherwise the head is sent without waiting for the body.
func (h *handler) sendAnswer(stream *connect.BidiStream[peerpb.ForwardRequest, peerpb.ForwardResponse], answer *pollencrank.Answer) error {
	part := &peerpb.ForwardResponse{Head: &peerpb.AnswerHead{
		Status:        uint32(answer.Status),
		Headers:       toHeaders(answer.Header),
		ContentLength: answer.ContentLength,
		Server:        answer.Server,
	}}
	if answer.ContentLength < 0 || answer.ContentLength > chunkBytes {
		if err := stream.Send(part); err != nil {
			return err
		}
		part = &peerpb.ForwardResponse{}
	}
	pooled := chunkBuffers.Get().(*[chunkBytes]byte)
	defer chunkBuffers.Put(pooled)
	buffer := pooled[:bufferSize(answer.ContentLength)]
	for {
		n, err := readFull(answer.Body, buffer, answer.ContentLength >= 0)
		part.Body = buffer[:n]
		if err != nil && !errors.Is(err, io.EOF) {
			return connect.NewError(connect.CodeAborted, err)
		}
		if err != nil {
			_ = answer.Body.Close()
			part.End = &peerpb.AnswerEnd{Trailers: toHeaders(answer.Trailer)}
			part.Load = h.config.Load()
			return stream.Send(part)
		}
		if err := stream.Send(part); err != nil {
			return err
		}
		part = &peerpb.ForwardResponse{}
	}
}

// bufferSize returns the size of the read buffer for a body. It exceeds the size of a
// small body by one byte, so that the end is detected together with the last byte.
func bufferSize(contentLength int64) int64 {
	if contentLength < 0 || contentLength >= chunkBytes {
		return chunkBytes
	}
	return contentLength + 1
}

// readFull fills the buffer if the size of the body is known; otherwise it returns the
// bytes that are available, so that a stream is not delayed. It returns io.EOF with the
// last bytes of a body of known size.
func readFull(body io.Reader, buffer []byte, isSizeKnown bool) (int, error) {
	if !isSizeKnown {
		return body.Read(buffer)
	}
	n, err := io.ReadFull(body, buffer)
	if errors.Is(err, io.ErrUnexpectedEOF) && n > 0 {
		return n, readErrorAtEnd(body)
	}
	return n, err
}

// readErrorAtEnd returns io.EOF at the end of a complete body, and the error of a truncated body:
// another read of a truncated body returns the same error again.
func readErrorAtEnd(body io.Reader) error {
	var next [1]byte
	_, err := body.Read(next[:])
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

func refusalOf(err error) *peerpb.Refusal {
	var notRun *pollencrank.NotRunError
	if errors.As(err, &notRun) {
		return newRefusal(true, notRun.Reason, notRun.Detail, notRun.RetryAt)
	}
	var unknown *pollencrank.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return newRefusal(false, unknown.Reason, unknown.Detail, unknown.RetryAt)
	}
	return newRefusal(false, pollencrank.ReasonPeerFailed, err.Error(), time.Time{})
}

func newRefusal(notRun bool, reason pollencrank.Reason, detail string, retryAt time.Time) *peerpb.Refusal {
	refusal := &peerpb.Refusal{NotRun: notRun, Reason: string(reason), Detail: detail}
	if !retryAt.IsZero() {
		refusal.RetryAtUnixMs = retryAt.UnixMilli()
	}
	return refusal
}

// receivedBody reads the body of a forwarded request from the stream.
type receivedBody struct {
	stream *connect.BidiStream[peerpb.ForwardRequest, peerpb.ForwardResponse]
	rest   []byte
	ended  bool
}

// Read implements io.Reader.
func (b *receivedBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		part, err := b.stream.Receive()
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		b.rest = part.Body
		b.ended = part.End
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func toHeaders(header http.Header) []*peerpb.Header {
	headers := make([]*peerpb.Header, 0, len(header))
	for name, values := range header {
		headers = append(headers, &peerpb.Header{Name: name, Values: values})
	}
	return headers
}

func fromHeaders(headers []*peerpb.Header) http.Header {
	header := make(http.Header, len(headers))
	for _, h := range headers {
		header[h.Name] = h.Values
	}
	return header
}
