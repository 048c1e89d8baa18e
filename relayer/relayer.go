// Package relayer takes the requests of callers and gives them their answers.
//
// Every answer of its own says truthfully what became of the request: a status
// that promises "not run" is sent only with proof, and a request whose outcome
// is unknown is answered so at its deadline.
//
// # Usage
//
//	r := relayer.New(relayer.Config{Table: table.Load, Forwarder: forwarder, Dialect: dialect})
//	server := &http.Server{Handler: r}
package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/router"
	"github.com/pollencrank/pollencrank/stager"
)

const (
	// defaultPatience is how long a caller waits that does not say.
	defaultPatience = 30 * time.Second
	// startPatience is how long a request waits for the configuration of an
	// instance that has just started. Most get it sooner than a caller that is
	// sent away could be back.
	startPatience = 400 * time.Millisecond
	// faultPause is when a caller may come back to a route that cannot be read:
	// only another configuration mends it.
	faultPause = 2 * time.Second
	// startPause is when a caller may come back to an instance that has no
	// configuration yet.
	startPause = 300 * time.Millisecond
	// defaultSampleEvery is how many answered requests there are for one that is
	// logged.
	defaultSampleEvery = 100
)

// CallerHeaders is what a caller says in the headers of a request.
type CallerHeaders struct {
	RequestID string
	// ObjectKey names the object that the request is about.
	ObjectKey string
	// Timeout is how long the caller waits. Zero means that it does not say.
	Timeout time.Duration
}

// Dialect is how the callers of a deployment use headers.
type Dialect interface {
	// ReadCaller reads the headers of a request.
	ReadCaller(header http.Header) CallerHeaders
	// SetRequestID adds to an answer of the system's own which request it is for.
	SetRequestID(header http.Header, requestID string)
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(header http.Header, pause time.Duration)
}

// Forwarder takes a request to a backend server.
type Forwarder interface {
	Forward(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error)
}

// Config is the configuration of a Relayer.
type Config struct {
	// Table returns the routes in force, or nil before there are any.
	Table func() *router.Table
	// Ready, if set, is closed once requests can be served.
	Ready     <-chan struct{}
	Forwarder Forwarder
	Dialect   Dialect
	// Stager holds the bodies of requests. The default has the default bounds.
	Stager *stager.Stager
	// SampleEvery is how many answered requests there are for one that is
	// logged. Refusals and failures are always logged.
	SampleEvery int
	Log         *slog.Logger
}

// Relayer is an http.Handler for the requests of callers.
type Relayer struct {
	config   Config
	inFlight atomic.Int64
	answered atomic.Uint64
	// isStopping closes every connection after its next answer; isClosed
	// refuses what comes then.
	isStopping atomic.Bool
	isClosed   atomic.Bool
}

// New returns a Relayer.
func New(config Config) *Relayer {
	if config.Stager == nil {
		config.Stager = stager.New(stager.Config{})
	}
	if config.SampleEvery <= 0 {
		config.SampleEvery = defaultSampleEvery
	}
	return &Relayer{config: config}
}

// Stop closes every connection after its next answer.
func (r *Relayer) Stop() { r.isStopping.Store(true) }

// Close refuses the requests that come from now on.
func (r *Relayer) Close() { r.isClosed.Store(true) }

// InFlight returns the number of requests that are not answered yet.
func (r *Relayer) InFlight() int { return int(r.inFlight.Load()) }

// MayOverlap reports whether a request may run while earlier ones of its
// connection are not answered yet.
func (r *Relayer) MayOverlap(incoming *http.Request) bool {
	table := r.config.Table()
	if table == nil {
		return true
	}
	route := table.Match(incoming.Host, incoming.URL.Path)
	return route == nil || route.Kind.MayRepeat()
}

// ServeHTTP implements http.Handler.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	started := time.Now()
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.isStopping.Load() {
		w.Header().Set("Connection", "close")
	}
	headers := r.config.Dialect.ReadCaller(incoming.Header)
	r.awaitReady(incoming.Context(), headers)
	call, err := r.admit(incoming, headers, started)
	if err != nil {
		r.refuse(w, call, headers, err, started)
		return
	}
	release, err := r.stage(w, incoming, call)
	if err != nil {
		r.refuse(w, call, headers, err, started)
		return
	}
	defer release()
	ctx, cancel := context.WithDeadline(incoming.Context(), call.Request.Deadline)
	defer cancel()
	answer, err := r.config.Forwarder.Forward(ctx, call)
	if err != nil {
		r.refuse(w, call, headers, err, started)
		return
	}
	defer answer.Body.Close()
	r.send(w, answer)
	r.finish(call, answer, started)
}

// awaitReady waits for an instance that has just started, for half of the
// caller's patience at most.
func (r *Relayer) awaitReady(ctx context.Context, headers CallerHeaders) {
	if r.config.Ready == nil {
		return
	}
	select {
	case <-r.config.Ready:
		return
	default:
	}
	patience := startPatience
	if headers.Timeout > 0 {
		patience = min(patience, headers.Timeout/2)
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-r.config.Ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// admit applies the rules of the request's route.
func (r *Relayer) admit(incoming *http.Request, headers CallerHeaders, now time.Time) (*forwarder.Call, error) {
	table := r.config.Table()
	if table == nil {
		return nil, refusal(pollencrank.ReasonNotReady, now, "no configuration yet")
	}
	if r.isClosed.Load() {
		return nil, refusal(pollencrank.ReasonStopping, now, "the instance stops")
	}
	route := table.Match(incoming.Host, incoming.URL.Path)
	if route == nil {
		return nil, pollencrank.NotRun(pollencrank.ReasonNoRoute, "no route for %s %s", incoming.Host, incoming.URL.Path)
	}
	if route.Fault != "" {
		err := pollencrank.NotRun(pollencrank.ReasonRouteUnreadable, "route %s: %s", route.Name, route.Fault)
		err.RetryAt = now.Add(faultPause)
		return nil, err
	}
	if limit := table.Limits.MaxBodyBytes; limit > 0 && incoming.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	patience := headers.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	call := &forwarder.Call{
		Table:     table,
		Route:     route,
		ObjectKey: headers.ObjectKey,
		Request: &pollencrank.Request{
			ID:            headers.RequestID,
			Deadline:      now.Add(patience),
			Idempotent:    route.Kind.MayRepeat(),
			Generation:    pollencrank.Generation(table.Version),
			Method:        incoming.Method,
			Host:          incoming.Host,
			URI:           incoming.RequestURI,
			Header:        pollencrank.EndToEnd(incoming.Header),
			ContentLength: incoming.ContentLength,
		},
	}
	return call, nil
}

func refusal(reason pollencrank.Reason, now time.Time, format string, args ...any) error {
	err := pollencrank.NotRun(reason, format, args...)
	err.RetryAt = now.Add(startPause)
	return err
}

// send passes an answer on.
func (r *Relayer) send(w http.ResponseWriter, answer *pollencrank.Answer) {
	header := w.Header()
	for name, values := range pollencrank.EndToEnd(answer.Header) {
		header[name] = values
	}
	if answer.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	w.WriteHeader(answer.Status)
	if _, err := io.Copy(w, answer.Body); err != nil {
		r.config.Log.Warn("an answer broke off", recorder.EventAnswerTruncated.Attr(),
			slog.String("request", answer.RequestID), slog.String("server", answer.Server), slog.Any("error", err))
		// The connection is cut, so that the caller sees an incomplete answer.
		panic(http.ErrAbortHandler)
	}
}

// refuse answers a request that no server answered.
func (r *Relayer) refuse(w http.ResponseWriter, call *forwarder.Call, headers CallerHeaders, err error, started time.Time) {
	status, reason, retryAt := describe(err)
	r.config.Dialect.SetRequestID(w.Header(), headers.RequestID)
	if status == http.StatusServiceUnavailable && retryAt.IsZero() {
		retryAt = time.Now().Add(startPause)
	}
	if !retryAt.IsZero() {
		r.config.Dialect.SetRetryAfter(w.Header(), max(time.Until(retryAt), 0))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(reason)+"\n")
	metrics.GetOrCreateCounter(fmt.Sprintf(`pollencrank_refusals_total{reason=%q,status="%d"}`, reason, status)).Inc()
	event := recorder.EventRequestRefused
	if !pollencrank.IsNotRun(err) {
		event = recorder.EventOutcomeUnknown
	}
	attributes := []any{
		event.Attr(), slog.String("request", headers.RequestID), slog.Int("status", status), slog.Any("error", err),
		slog.String("took", time.Since(started).Round(time.Microsecond).String()),
	}
	if call != nil {
		attributes = append(attributes, slog.String("route", call.Route.Name), slog.Uint64("version", call.Table.Version))
	}
	r.config.Log.Info("the request was not answered by a server", attributes...)
}

// describe returns the status of an error, its reason and when to come back.
func describe(err error) (int, pollencrank.Reason, time.Time) {
	var notRun *pollencrank.NotRunError
	if errors.As(err, &notRun) {
		return notRunStatus(notRun.Reason), notRun.Reason, notRun.RetryAt
	}
	var unknown *pollencrank.OutcomeUnknownError
	if errors.As(err, &unknown) {
		if unknown.Reason == pollencrank.ReasonDeadlinePassed {
			return http.StatusGatewayTimeout, unknown.Reason, time.Time{}
		}
		return http.StatusBadGateway, unknown.Reason, time.Time{}
	}
	return http.StatusBadGateway, pollencrank.ReasonServerFailed, time.Time{}
}

func notRunStatus(reason pollencrank.Reason) int {
	switch reason {
	case pollencrank.ReasonNoRoute:
		return http.StatusNotFound
	case pollencrank.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case pollencrank.ReasonMalformed, pollencrank.ReasonBodyBroken:
		return http.StatusBadRequest
	case pollencrank.ReasonBodyTimeout:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

func (r *Relayer) finish(call *forwarder.Call, answer *pollencrank.Answer, started time.Time) {
	took := time.Since(started)
	metrics.GetOrCreateHistogram(fmt.Sprintf(`pollencrank_answer_seconds{priority="%d"}`, call.Route.Priority)).Update(took.Seconds())
	if answer.Status < 500 && r.answered.Add(1)%uint64(r.config.SampleEvery) != 0 {
		return
	}
	r.config.Log.Info("the request was answered", recorder.EventRequestFinished.Attr(),
		slog.String("request", call.Request.ID), slog.String("route", call.Route.Name), slog.Uint64("version", call.Table.Version),
		slog.String("server", answer.Server), slog.Int("status", answer.Status), slog.String("took", took.Round(time.Microsecond).String()))
}
