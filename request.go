package pollencrank

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is one request of a caller on its way to a backend server.
type Request struct {
	// ID identifies the request if the caller supplies an ID.
	ID         string
	Workload   string
	Rank       Rank
	Deadline   time.Time
	Caller     string
	Key        string
	Idempotent bool
	// Foreign marks a request whose caller belongs to a region other than that
	// of the instance that received it.
	Foreign bool
	// CallersRegion is the region nearest to the caller. The instance that
	// receives the request from the caller sets it.
	CallersRegion string
	// Generation is the configuration generation under which the request was
	// admitted.
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
	// RequestID is the ID of the request that the server claims to answer, or ""
	// if the answer carries none.
	RequestID string
	// IsGenuine reports whether the answer carries the proof that the server
	// itself sent it, in deployments whose servers supply one.
	IsGenuine bool
	// ConnectedAt is when the connection that the answer came on was opened. It is zero
	// if that is not known.
	ConnectedAt time.Time
	// IsWhole reports whether the whole body is held: reading it cannot fail.
	IsWhole bool
	// IsOverCallerShare reports whether the body is not held as a whole only because its caller has
	// not taken earlier answers yet.
	IsOverCallerShare bool
	Body              io.ReadCloser
	// Trailer is filled in by the time Body returns io.EOF.
	Trailer http.Header
}

// Executor runs requests. Execute returns a NotRunError or an
// OutcomeUnknownError if it fails.
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
