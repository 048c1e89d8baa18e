package dispatcher

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank"
)

// Report is the information about the server and the request in the headers of an
// answer.
type Report struct {
	// RequestID is the ID of the request that the answer belongs to, if the
	// server echoes it.
	RequestID string
	// Server is the ID of the server that answered, if the answer contains it.
	Server string
	// IsSigned is set if the answer carries a server's signature.
	IsSigned bool
	// HasContentEncoding is set if the body was encoded in transit.
	HasContentEncoding bool
	// Running and Waiting count the requests at the server. They are valid if
	// HasLoad is set.
	Running, Waiting int
	HasLoad          bool
	// Slots is the number of requests that the server runs at once, or zero if the answer
	// does not tell it.
	Slots int
	// Pace is how long work takes on the server's machine at the moment, as a multiple of
	// the usual time, or zero if the answer does not tell it.
	Pace float64
	// IsLoadMalformed is set if a figure of the load cannot be decoded.
	IsLoadMalformed bool
	// ColdFor is the remaining time for which the server is cold.
	ColdFor time.Duration
	// IsLeaving is set if the server says that it leaves: it takes no new requests.
	IsLeaving bool
	// Pause is what the server says about a time without requests.
	Pause Pause
	// Limit is the rate limit that the server names.
	Limit Limit
}

// Pause is the time for which a server that turned a request away wants no others from
// this instance. The zero value says that there is none.
type Pause struct {
	For time.Duration
	// IsMalformed is set if the answer contains a time that cannot be decoded.
	IsMalformed bool
}

// maxPause bounds the time that a server can ask for.
const maxPause = time.Minute

// ParsePause decodes the pause in an answer with status 503, from the seconds in its
// Retry-After header. Fractions count; a date does not.
func ParsePause(status int, header http.Header) Pause {
	text := strings.TrimSpace(header.Get("Retry-After"))
	if status != http.StatusServiceUnavailable || text == "" {
		return Pause{}
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return Pause{IsMalformed: true}
	}
	return Pause{For: time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))}
}

// Limit is what an answer says about the server's rate limit. The zero value says
// that there is none.
type Limit struct {
	IsNamed bool
	// PerSecond is the number of requests a second that the server takes from all
	// instances together. It is valid if IsNamed is set.
	PerSecond float64
	// IsMalformed is set if the answer contains a limit that cannot be decoded.
	IsMalformed bool
}

// Dialect defines how the servers of a deployment use headers.
type Dialect interface {
	// Encode adds the system's headers to a request for target. remaining is the
	// time until the deadline of the request.
	Encode(header http.Header, target Target, request *pollencrank.Request, remaining time.Duration)
	// IsAnswerTo reports whether an answer is the one to a request. A faulty server may
	// send the answer to another request where that one is due.
	IsAnswerTo(request *pollencrank.Request, header http.Header) bool
	// Refusal returns whether the answer to a request proves that it did not run, and
	// the reason.
	Refusal(status int, header http.Header) (pollencrank.Reason, bool)
	// Report decodes the report of the server from the status and the headers of an answer.
	Report(status int, header http.Header) Report
}

// defaultDialect uses the headers of this package.
type defaultDialect struct{}

// Encode implements Dialect.
func (defaultDialect) Encode(header http.Header, _ Target, request *pollencrank.Request, remaining time.Duration) {
	header.Set(HeaderTimeout, strconv.FormatInt(remaining.Milliseconds(), 10))
	header.Set(HeaderRank, request.Rank.String())
}

// IsAnswerTo implements Dialect. The servers name no request in their answers.
func (defaultDialect) IsAnswerTo(*pollencrank.Request, http.Header) bool { return true }

// Refusal implements Dialect.
func (defaultDialect) Refusal(status int, header http.Header) (pollencrank.Reason, bool) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return "", false
	}
	return pollencrank.ReasonAllShed, header.Get(HeaderShed) == "true"
}

// Report implements Dialect.
func (defaultDialect) Report(status int, header http.Header) Report {
	return Report{Pause: ParsePause(status, header)}
}
