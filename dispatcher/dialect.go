package dispatcher

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pollencrank/pollencrank"
)

// Report is what a server says of itself and of the request in the headers of
// an answer.
type Report struct {
	// RequestID is the ID of the request that the answer belongs to, if the
	// server repeats it.
	RequestID string
	// Server is the ID of the server that answered, if it says so.
	Server string
	// IsSigned says that the answer bears a server's signature.
	IsSigned bool
	// HasContentEncoding says that the body was encoded on the way.
	HasContentEncoding bool
	// Running and Waiting are the requests at the server if HasLoad is set.
	Running, Waiting int
	HasLoad          bool
	// ColdFor is how much longer the server stays cold.
	ColdFor time.Duration
}

// Dialect is how the servers of a deployment use headers.
type Dialect interface {
	// Encode adds the system's headers to a request for target, which has left
	// to run.
	Encode(header http.Header, target Target, request *pollencrank.Request, left time.Duration)
	// Refusal reports whether an answer proves that the request did not run,
	// and why it did not.
	Refusal(status int, header http.Header) (pollencrank.Reason, bool)
	// Report reads what a server says of itself.
	Report(header http.Header) Report
}

// ownDialect is the project's own.
type ownDialect struct{}

// Encode implements Dialect.
func (ownDialect) Encode(header http.Header, _ Target, request *pollencrank.Request, left time.Duration) {
	header.Set(HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	header.Set(HeaderRank, request.Rank.String())
}

// Refusal implements Dialect.
func (ownDialect) Refusal(status int, header http.Header) (pollencrank.Reason, bool) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return "", false
	}
	return pollencrank.ReasonAllShed, header.Get(HeaderShed) == "true"
}

// Report implements Dialect.
func (ownDialect) Report(http.Header) Report { return Report{} }
