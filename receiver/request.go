package receiver

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/revoker"
)

// Headers that a caller sets to tighten its workload's rules for one request,
// and the answer's header with the backend server.
const (
	// HeaderRank lowers the rank of a request.
	HeaderRank = "Pollencrank-Rank"
	// HeaderTimeout shortens the deadline. The value is in milliseconds from the
	// arrival of the request.
	HeaderTimeout = "Pollencrank-Timeout-Ms"
	// HeaderIdempotencyKey identifies a request that is not idempotent, so that
	// its retries run only once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderServer names the backend server that answered.
	HeaderServer = "Pollencrank-Server"
)

const (
	maxKeyBytes     = 128
	maxURIBytes     = 8 << 10
	copyBufferBytes = 32 << 10
)

// handleRequest admits a caller's request, has it executed and writes the
// answer.
func (r *Receiver) handleRequest(w http.ResponseWriter, incoming *http.Request) {
	started := time.Now()
	defer r.active.Add(-1)
	if r.active.Add(1) > r.config.MaxRequests {
		r.refuse(w, incoming, pollencrank.NotRun(pollencrank.ReasonTooManyConnections, "%d requests are in progress", r.config.MaxRequests))
		return
	}
	ctx, span := r.config.Tracer.Start(recorder.Extract(incoming.Context(), incoming.Header), "admission")
	defer span.End()
	view := r.config.View()
	request, err := r.admit(view, incoming, started)
	if err != nil {
		r.refuse(w, incoming, err)
		return
	}
	r.metrics.requests[request.Rank].Inc()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	lent := lendBody(w, request)
	defer lent.Revoke()
	answer, err := r.config.Executor.Execute(ctx, request)
	if err != nil {
		err = bodyError(request, err)
		lent.Revoke()
		r.refuse(w, incoming, err)
		return
	}
	defer answer.Body.Close()
	if !lent.HasEnded() {
		// The server has answered early. The caller's connection must not discard what is
		// still being sent to the server.
		w.Header().Set("Connection", "close")
	}
	r.writeAnswer(w, answer, request)
	r.metrics.answered[request.Rank].Inc()
	r.metrics.latency[request.Rank].UpdateDuration(started)
}

// lendBody lends the body, if there is one, to whoever sends the request on, at most until
// the request's deadline.
func lendBody(w http.ResponseWriter, request *pollencrank.Request) *revoker.Reader {
	body, ok := request.Body.(*limitedBody)
	if !ok {
		return nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(request.Deadline)
	lent := revoker.New(revoker.Config{Source: body.source, SetReadDeadline: controller.SetReadDeadline})
	body.source = lent
	return lent
}

// admit matches a request to its workload and applies the workload's rules.
func (r *Receiver) admit(view *View, incoming *http.Request, now time.Time) (*pollencrank.Request, error) {
	if view == nil {
		return nil, pollencrank.NotRun(pollencrank.ReasonNotReady, "no configuration yet")
	}
	if err := validateRequest(incoming); err != nil {
		return nil, err
	}
	workload := view.match(incoming)
	if workload == nil {
		return nil, pollencrank.NotRun(pollencrank.ReasonNoRoute, "no workload has a route for %s %s", incoming.Method, incoming.URL.Path)
	}
	caller := r.callerAddress(incoming)
	callersRegion := view.CallersRegion(caller)
	if r.config.OnArrival != nil {
		r.config.OnArrival(workload.Name, callersRegion)
	}
	request := &pollencrank.Request{
		Workload:      workload.Name,
		Rank:          workload.Rank,
		Caller:        caller.String(),
		Idempotent:    isIdempotent(workload, incoming.Method),
		CallersRegion: callersRegion,
		Foreign:       callersRegion != view.Region,
		Generation:    view.Generation,
		Method:        incoming.Method,
		Host:          incoming.Host,
		URI:           incoming.URL.RequestURI(),
		Header:        pollencrank.EndToEnd(incoming.Header),
		ContentLength: incoming.ContentLength,
	}
	if err := applyHeaders(request, workload, incoming.Header, now); err != nil {
		return nil, err
	}
	return request, limitBody(request, workload, incoming)
}

// validateRequest rejects requests that are invalid for every workload.
func validateRequest(incoming *http.Request) error {
	if len(incoming.RequestURI) > maxURIBytes {
		return pollencrank.NotRun(pollencrank.ReasonMalformed, "the URI is longer than %d bytes", maxURIBytes)
	}
	if incoming.Method == http.MethodConnect || incoming.Method == http.MethodTrace {
		return pollencrank.NotRun(pollencrank.ReasonMalformed, "method %s is not served", incoming.Method)
	}
	if !strings.HasPrefix(incoming.RequestURI, "/") {
		return pollencrank.NotRun(pollencrank.ReasonMalformed, "the request target is not a path")
	}
	if len(incoming.TransferEncoding) > 0 && incoming.ProtoMajor == 1 && incoming.ProtoMinor == 0 {
		return pollencrank.NotRun(pollencrank.ReasonMalformed, "transfer encoding with HTTP/1.0")
	}
	return nil
}

// isIdempotent reports whether a request may run twice. Either the workload or
// the method must allow it.
func isIdempotent(workload *pollencrank.Workload, method string) bool {
	return workload.Idempotent || method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// applyHeaders applies the caller's headers. They may lower the rank and shorten
// the timeout of the workload, and never the reverse.
func applyHeaders(request *pollencrank.Request, workload *pollencrank.Workload, header http.Header, now time.Time) error {
	timeout := workload.Timeout
	if text := header.Get(HeaderTimeout); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 32)
		if err != nil || milliseconds <= 0 {
			return pollencrank.NotRun(pollencrank.ReasonMalformed, "%s is not a positive number", HeaderTimeout)
		}
		timeout = min(timeout, time.Duration(milliseconds)*time.Millisecond)
	}
	request.Deadline = now.Add(timeout)
	if text := header.Get(HeaderRank); text != "" {
		rank, err := pollencrank.ParseRank(text)
		if err != nil {
			return pollencrank.NotRun(pollencrank.ReasonMalformed, "%v", err)
		}
		request.Rank = max(request.Rank, rank)
	}
	keys := header.Values(HeaderIdempotencyKey)
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKeyBytes)) {
		return pollencrank.NotRun(pollencrank.ReasonMalformed, "%s must be one value of 1 to %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	if len(keys) == 1 {
		request.Key = keys[0]
	}
	if workload.KeyRequired && request.Key == "" && !request.Idempotent {
		return pollencrank.NotRun(pollencrank.ReasonKeyMissing, "workload %s requires %s", workload.Name, HeaderIdempotencyKey)
	}
	return nil
}

// limitBody attaches the request body, bounded by the workload's limit.
func limitBody(request *pollencrank.Request, workload *pollencrank.Workload, incoming *http.Request) error {
	if incoming.ContentLength > workload.MaxRequestBytes {
		return pollencrank.NotRun(pollencrank.ReasonTooLarge, "%d bytes exceed the limit of %d", incoming.ContentLength, workload.MaxRequestBytes)
	}
	if incoming.Body == nil || incoming.Body == http.NoBody {
		request.ContentLength = 0
		return nil
	}
	request.Body = &limitedBody{source: incoming.Body, remaining: workload.MaxRequestBytes}
	return nil
}

var errTooLarge = errors.New("the request body exceeds the workload's limit")

// limitedBody fails once more than the limit has been read.
type limitedBody struct {
	source io.Reader

	mu        sync.Mutex
	remaining int64
	err       error
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining -= int64(n)
	if b.remaining < 0 {
		err = errTooLarge
		n = 0
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// failure returns the error that ended the body early, if any.
func (b *limitedBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// bodyError returns the error of a request, replaced if reading the caller's
// body failed. If a backend server received part of the body, the outcome is
// unknown.
func bodyError(request *pollencrank.Request, err error) error {
	body, ok := request.Body.(*limitedBody)
	if !ok || body.failure() == nil {
		return err
	}
	reason := pollencrank.ReasonMalformed
	if errors.Is(body.failure(), errTooLarge) {
		reason = pollencrank.ReasonTooLarge
	}
	if pollencrank.IsNotRun(err) {
		return pollencrank.NotRun(reason, "request body: %v", body.failure())
	}
	return pollencrank.OutcomeUnknown(reason, "request body: %v", body.failure())
}

// writeAnswer writes a backend server's answer to the caller.
func (r *Receiver) writeAnswer(w http.ResponseWriter, answer *pollencrank.Answer, request *pollencrank.Request) {
	header := w.Header()
	for name, values := range pollencrank.EndToEnd(answer.Header) {
		header[name] = values
	}
	// Only the system sets the headers of refusals. A backend server's values
	// would pass an answer off as a refusal.
	header.Del(HeaderOutcome)
	header.Del(HeaderReason)
	header.Set(HeaderInstance, r.config.Instance)
	if answer.Server != "" {
		header.Set(HeaderServer, answer.Server)
	}
	if r.config.Stopping() {
		header.Set("Connection", "close")
	}
	if answer.ContentLength >= 0 && header.Get("Content-Length") == "" && request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	pollencrank.AbortUnlessFinal(r.config.Log, recorder.EventAnswerInvalid.Attr(), request, answer)
	w.WriteHeader(answer.Status)
	if err := copyBody(w, answer); err != nil {
		r.metrics.truncated.Inc()
		r.config.Log.Warn("answer truncated", recorder.EventAnswerTruncated.Attr(),
			slog.String("server", answer.Server), slog.String("error", err.Error()))
		// Aborting the connection keeps the caller from taking a truncated answer
		// for a complete one.
		panic(http.ErrAbortHandler)
	}
	for name, values := range pollencrank.EndToEnd(answer.Trailer) {
		if !mayTrail(name) {
			continue
		}
		for _, value := range values {
			header.Add(http.TrailerPrefix+name, value)
		}
	}
}

// mayTrail reports whether a field may be sent behind an answer: none of the connection, of the
// framing, or of those that only the system sets.
func mayTrail(name string) bool {
	return httpguts.ValidTrailerHeader(name) && name != HeaderOutcome && name != HeaderReason
}

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyBody copies the answer's body. A body of unknown length is flushed after
// every read, so that a stream reaches the caller without buffering.
func copyBody(w http.ResponseWriter, answer *pollencrank.Answer) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	flusher, _ := w.(http.Flusher)
	for {
		n, err := answer.Body.Read(buffer[:])
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if answer.ContentLength < 0 && flusher != nil && err == nil {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
