package pacer

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/pollencrank/pollencrank"
)

// ExecutorConfig is the configuration of an Executor.
type ExecutorConfig struct {
	// Region is this instance's region.
	Region string
	// Next executes the requests.
	Next pollencrank.Executor
	// Pacer returns the pacer of a link, or nil for a link without a limit.
	Pacer func(from, to string) *Pacer
}

// Executor passes requests to the next executor. It paces the bodies and answers
// of requests whose callers are in other regions.
type Executor struct {
	config ExecutorConfig

	mu sync.Mutex
	// meanSizes holds the moving average of answer sizes, by workload.
	meanSizes map[string]float64
}

var _ pollencrank.Executor = (*Executor)(nil)

// NewExecutor returns an Executor.
func NewExecutor(config ExecutorConfig) *Executor {
	return &Executor{config: config, meanSizes: map[string]float64{}}
}

const (
	// initialAnswerBytes is the expected answer size of a workload before its
	// first answer.
	initialAnswerBytes = 16 << 10
	// meanWeight is the weight of a new answer in the moving average.
	meanWeight = 0.1
)

// expectedSize returns the size to reserve for an answer of a workload.
func (e *Executor) expectedSize(workload string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean, ok := e.meanSizes[workload]; ok {
		return int64(mean)
	}
	return initialAnswerBytes
}

// recordSize updates the moving average with the size of an answer.
func (e *Executor) recordSize(workload string, bytes int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, ok := e.meanSizes[workload]
	if !ok {
		mean = float64(bytes)
	}
	e.meanSizes[workload] = mean + meanWeight*(float64(bytes)-mean)
}

// Execute implements pollencrank.Executor.
func (e *Executor) Execute(ctx context.Context, request *pollencrank.Request) (*pollencrank.Answer, error) {
	if !request.Foreign {
		return e.config.Next.Execute(ctx, request)
	}
	out := e.config.Pacer(e.config.Region, request.CallersRegion)
	in := e.config.Pacer(request.CallersRegion, e.config.Region)
	if out == nil && in == nil {
		return e.config.Next.Execute(ctx, request)
	}
	paced := *request
	var endBody, endAnswer func()
	var err error
	if paced.Body, endBody, err = e.paceBody(ctx, in, request); err != nil {
		return nil, err
	}
	defer endBody()
	transfer, endAnswer, err := beginTransfer(ctx, out, request, e.expectedSize(request.Workload))
	if err != nil {
		return nil, err
	}
	answer, err := e.config.Next.Execute(ctx, &paced)
	if err != nil {
		endAnswer()
		return nil, err
	}
	answer.Body = &pacedBody{ctx: ctx, ReadCloser: answer.Body, transfer: transfer, end: func(sent int64) {
		endAnswer()
		e.recordSize(request.Workload, sent)
	}}
	return answer, nil
}

// beginTransfer begins a transfer on a link, and returns the function that ends
// it. The transfer is nil if the link has no limit.
func beginTransfer(ctx context.Context, p *Pacer, request *pollencrank.Request, bytes int64) (*Transfer, func(), error) {
	if p == nil {
		return nil, func() {}, nil
	}
	transfer, err := p.Begin(ctx, request.Rank, bytes, request.Deadline)
	if err != nil {
		return nil, nil, err
	}
	return transfer, transfer.End, nil
}

// paceBody returns a request body that is read at the rate of the link, and the
// function that ends the transfer.
func (e *Executor) paceBody(ctx context.Context, in *Pacer, request *pollencrank.Request) (io.Reader, func(), error) {
	if request.Body == nil || request.ContentLength == 0 {
		return request.Body, func() {}, nil
	}
	transfer, end, err := beginTransfer(ctx, in, request, max(0, request.ContentLength))
	if err != nil {
		return nil, nil, err
	}
	return &pacedReader{ctx: ctx, source: request.Body, transfer: transfer}, end, nil
}

// pacedReader reads a request body at the rate of a link.
type pacedReader struct {
	ctx      context.Context
	source   io.Reader
	transfer *Transfer
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if waitErr := waitToSend(r.ctx, r.transfer, n); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// waitToSend returns when n more bytes of a transfer may be sent. A nil transfer
// has no limit.
func waitToSend(ctx context.Context, t *Transfer, n int) error {
	if t == nil || n == 0 {
		return nil
	}
	return t.Wait(ctx, n)
}

// pacedBody reads an answer body at the rate of a link.
type pacedBody struct {
	io.ReadCloser
	ctx      context.Context
	transfer *Transfer
	sent     int64
	once     sync.Once
	end      func(sent int64)
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if waitErr := waitToSend(b.ctx, b.transfer, n); waitErr != nil {
		return 0, waitErr
	}
	b.sent += int64(n)
	if errors.Is(err, io.EOF) {
		b.finish()
	}
	return n, err
}

// Close implements io.Closer.
func (b *pacedBody) Close() error {
	b.finish()
	return b.ReadCloser.Close()
}

func (b *pacedBody) finish() { b.once.Do(func() { b.end(b.sent) }) }
