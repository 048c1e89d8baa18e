package pollencrank

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is one request of a caller on its way to a backend server.
type Request struct {
	// ID identifies the request where callers give it one.
	ID         string
	Workload   string
	Rank       Rank
	Deadline   time.Time
	Caller     string
	Key        string
	Idempotent bool
	// Foreign says that the caller's own region is another one.
	Foreign bool
	// CallersRegion is the region nearest to the caller. It is set where the
	// request came in.
	CallersRegion string
	// Generation is the configuration that the request was admitted under.
	Generation    Generation
	Method        string
	Host          string
	URI           string
	Header        http.Header
	Body          io.Reader
	ContentLength int64
}

// Answer is a backend server's answer. The receiver of an Answer must close
// its body, which frees the slot that the request holds.
type Answer struct {
	Status        int
	Header        http.Header
	ContentLength int64
	Server        string
	// RequestID is the request that the server says it answers, if it does.
	RequestID string
	// IsGenuine says that the answer bears the proof that it is the server's
	// own, where servers give one.
	IsGenuine bool
	Body      io.ReadCloser
	// Trailer is filled in by the time Body returns io.EOF.
	Trailer http.Header
}

// Executor runs a request. An error is a NotRunError or an
// OutcomeUnknownError.
type Executor interface {
	Execute(ctx context.Context, request *Request) (*Answer, error)
}

// ExecutorFunc adapts a function to an Executor.
type ExecutorFunc func(ctx context.Context, request *Request) (*Answer, error)

var _ Executor = ExecutorFunc(nil)

// Execute implements Executor.
func (f ExecutorFunc) Execute(ctx context.Context, request *Request) (*Answer, error) {
	return f(ctx, request)
}
