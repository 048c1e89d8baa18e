// Package relayer serves the HTTP requests of callers: it forwards them to backend
// servers and writes the answers back.
//
// An error answer that a Relayer writes itself states the outcome of the request
// reliably: a status that means "not run" is sent only if it is proven that the request
// did not run, and a request whose outcome is unknown is answered as such at its
// deadline.
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
	"github.com/pollencrank/pollencrank/expirer"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/rerouter"
	"github.com/pollencrank/pollencrank/router"
	"github.com/pollencrank/pollencrank/stager"
)

const (
	// defaultCallerTimeout is the timeout of a request whose caller states none.
	defaultCallerTimeout = 30 * time.Second
	// maxReadyWait is how long a request waits for the configuration of an
	// instance that has just started. Most instances receive their configuration
	// before a refused caller could retry.
	maxReadyWait = 400 * time.Millisecond
	// routeFaultRetryDelay is the time after which a caller may retry a request to a
	// route that cannot be read: only a new configuration corrects it.
	routeFaultRetryDelay = 2 * time.Second
	// defaultRetryDelay is the time after which a caller may retry a request that was
	// refused because the instance has no configuration yet or is stopping, or that was
	// answered with status 503 and no other retry time.
	defaultRetryDelay = 300 * time.Millisecond
	// defaultSampleEvery is the default of Config.SampleEvery.
	defaultSampleEvery = 100
)

// CallerHeaders holds the values that a caller states in the headers of a request.
type CallerHeaders struct {
	RequestID string
	// ObjectKey names the object that the request is about, if any.
	ObjectKey string
	// Timeout is how long the caller waits for the answer. Zero means that the caller
	// states no timeout.
	Timeout time.Duration
	// Key is the caller's API key. It is empty if there is none, or more than one. It must
	// not be logged.
	Key string
}

// Dialect defines which headers the callers of a deployment use.
type Dialect interface {
	// ReadCaller returns the values that a caller states in the headers of a request.
	ReadCaller(header http.Header) CallerHeaders
	// SetRequestID adds the ID of the request to the headers of an answer that the
	// system itself writes.
	SetRequestID(header http.Header, requestID string)
	// SetTenant removes the API key and what the caller says of its tenant from the headers
	// of a request, and sets the name of the tenant unless that is empty.
	SetTenant(header http.Header, name string)
	// SetRetryAfter sets the time after which the caller may retry.
	SetRetryAfter(header http.Header, pause time.Duration)
}

// Forwarder forwards a request to a backend server. forwarder.Forwarder implements it.
type Forwarder interface {
	Forward(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error)
}

// Config is the configuration of a Relayer.
type Config struct {
	// Table returns the routing table in force, or nil if there is none yet.
	Table func() *router.Table
	// Ready, if set, is closed once requests can be served.
	Ready     <-chan struct{}
	Forwarder Forwarder
	Dialect   Dialect
	// Quotas, if set, keeps the quotas of tenants.
	Quotas Quotas
	// Stager buffers the bodies of requests. The default is a Stager with default
	// bounds.
	Stager *stager.Stager
	// SampleEvery is the sampling rate of the log: one of so many answered requests
	// is logged. Refusals and failures are always logged.
	SampleEvery int
	Log         *slog.Logger
}

// Relayer is an http.Handler for the requests of callers.
type Relayer struct {
	config   Config
	inFlight atomic.Int64
	answered atomic.Uint64
	// rerouted counts the requests of other instances that are not answered yet.
	rerouted atomic.Int64
	// streamedRoutes are the routes that have lately had answers which were not held as a
	// whole.
	streamedRoutes recentNames
	// isStopping makes the Relayer close every connection after its next answer;
	// isClosed makes it refuse further requests.
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

// Stop makes the Relayer close every connection after its next answer.
func (r *Relayer) Stop() { r.isStopping.Store(true) }

// Close makes the Relayer refuse all further requests.
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

// RunsAlone reports whether no other request of its connection may be sent on beside a
// request, because its route has lately had answers that are not held as a whole, or its
// connection has one now: if that breaks off, no other answer can follow.
func (r *Relayer) RunsAlone(incoming *http.Request) bool {
	if stager.ShareOf(incoming.Context()).IsStreaming() {
		return true
	}
	table := r.config.Table()
	if table == nil || !r.streamedRoutes.wasUsed.Load() {
		return false
	}
	route := table.Match(incoming.Host, incoming.URL.Path)
	return route != nil && r.streamedRoutes.has(route.Name, time.Now())
}

// ServeHTTP implements http.Handler.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, incoming *http.Request) { r.serve(w, incoming, nil) }

// serve serves a request of a caller, or of another instance that says in hop what has been
// done with it.
func (r *Relayer) serve(w http.ResponseWriter, incoming *http.Request, hop *rerouter.Hop) {
	started := time.Now()
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.isStopping.Load() {
		w.Header().Set("Connection", "close")
	}
	headers := r.config.Dialect.ReadCaller(incoming.Header)
	if hop != nil {
		headers.Timeout = hop.Remaining
		w = &reroutedWriter{w}
	}
	r.awaitReady(incoming.Context(), headers)
	call, err := r.admit(incoming, headers, hop, started)
	if err == nil && hop != nil {
		if err = r.admitRerouted(call, hop, started); err == nil {
			defer r.endRerouted()
		}
	}
	if err == nil {
		err = r.checkQuota(call)
	}
	if err != nil {
		r.writeError(w, call, headers, err, started)
		return
	}
	// The quota of call.Tenant is asked for here: the request is admitted, and no server has
	// it. If hop is set, the other instance has asked.
	body, err := r.stageBody(w, incoming, call)
	defer body.release()
	if err == nil {
		err = r.confirmTenant(incoming, call, headers.Key)
	}
	if err != nil {
		body.takeBack()
		r.writeError(w, call, headers, err, started)
		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), call.Request.Deadline)
	defer cancel()
	answer, err := r.forward(ctx, call)
	if err != nil {
		body.takeBack()
		r.writeError(w, call, headers, err, started)
		return
	}
	defer answer.Body.Close()
	switch {
	case answer.IsWhole:
	case answer.IsHeldBack:
		defer call.Share.BeginStream()()
	default:
		r.streamedRoutes.add(call.Route.Name, time.Now())
	}
	if body.isInUse() {
		// The server has answered early. The caller's connection must not discard what is
		// still being sent to the server.
		w.Header().Set("Connection", "close")
	}
	r.writeAnswer(w, answer)
	r.recordAnswer(call, answer, started)
}

// forward forwards a call within the quota of its tenant.
func (r *Relayer) forward(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
	if err := r.takeQuota(ctx, call); err != nil {
		return nil, err
	}
	return r.config.Forwarder.Forward(ctx, call)
}

// RefuseFull refuses a request for which no memory is left, before its body is read.
func (r *Relayer) RefuseFull(w http.ResponseWriter, incoming *http.Request) {
	err := pollencrank.NotRun(pollencrank.ReasonBodiesFull, "no memory is left for the request")
	err.RetryAt = time.Now().Add(bodiesFullRetryDelay)
	r.writeError(w, nil, r.config.Dialect.ReadCaller(incoming.Header), err, time.Now())
}

// awaitReady waits until an instance that has just started can serve requests, for at
// most maxReadyWait and half of the caller's timeout.
func (r *Relayer) awaitReady(ctx context.Context, headers CallerHeaders) {
	if r.config.Ready == nil {
		return
	}
	select {
	case <-r.config.Ready:
		return
	default:
	}
	wait := maxReadyWait
	if headers.Timeout > 0 {
		wait = min(wait, headers.Timeout/2)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.config.Ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// admit finds the route of a request and returns the call to forward, or the reason why
// the request is refused. hop is set for the request of another instance.
func (r *Relayer) admit(incoming *http.Request, headers CallerHeaders, hop *rerouter.Hop, now time.Time) (*forwarder.Call, error) {
	table := r.config.Table()
	if table == nil {
		return nil, temporaryRefusal(pollencrank.ReasonNotReady, now, "no configuration yet")
	}
	if r.isClosed.Load() {
		return nil, temporaryRefusal(pollencrank.ReasonStopping, now, "the instance stops")
	}
	if hop != nil && table.Version < hop.Version {
		return nil, temporaryRefusal(pollencrank.ReasonNotReady, now, "version %d is not in force here yet", hop.Version)
	}
	route := table.Match(incoming.Host, incoming.URL.Path)
	if route == nil {
		return nil, pollencrank.NotRun(pollencrank.ReasonNoRoute, "no route for %s %s", incoming.Host, incoming.URL.Path)
	}
	tenant, err := identify(table, route, headers.Key, hop, now)
	if err != nil {
		return nil, err
	}
	if route.Fault != "" {
		err := pollencrank.NotRun(pollencrank.ReasonRouteUnreadable, "route %s: %s", route.Name, route.Fault)
		err.RetryAt = now.Add(routeFaultRetryDelay)
		return nil, err
	}
	if limit := table.Limits.MaxBodyBytes; limit > 0 && incoming.ContentLength > limit {
		return nil, tooLargeRefusal(limit)
	}
	timeout := headers.Timeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	call := &forwarder.Call{
		Share:     stager.ShareOf(incoming.Context()),
		Table:     table,
		Route:     route,
		Tenant:    tenant,
		ObjectKey: headers.ObjectKey,
		ArrivedAt: now,
		Request: &pollencrank.Request{
			ID:            headers.RequestID,
			Deadline:      now.Add(timeout),
			Idempotent:    route.Kind.MayRepeat(),
			Generation:    pollencrank.Generation(table.Version),
			Method:        incoming.Method,
			Host:          incoming.Host,
			URI:           incoming.RequestURI,
			Header:        r.headerFor(tenant, table, incoming.Header),
			ContentLength: incoming.ContentLength,
		},
	}
	return call, nil
}

// temporaryRefusal returns a NotRunError that asks the caller to retry after
// defaultRetryDelay.
func temporaryRefusal(reason pollencrank.Reason, now time.Time, format string, args ...any) error {
	err := pollencrank.NotRun(reason, format, args...)
	err.RetryAt = now.Add(defaultRetryDelay)
	return err
}

// writeAnswer writes a server's answer to the caller.
func (r *Relayer) writeAnswer(w http.ResponseWriter, answer *pollencrank.Answer) {
	if !pollencrank.IsFinalStatus(answer.Status) {
		// A writer would leave such a status out and send another one.
		r.config.Log.Error("an answer has no final status", recorder.EventAnswerInvalid.Attr(),
			slog.String("server", answer.Server), slog.Int("status", answer.Status))
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	for name, values := range pollencrank.EndToEnd(answer.Header) {
		header[name] = values
	}
	if answer.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	w.WriteHeader(answer.Status)
	if _, err := io.Copy(w, answer.Body); err != nil {
		var unread *expirer.UnreadError
		if errors.As(err, &unread) {
			// Logged where the connection was ended; the server's answer is sound.
			panic(http.ErrAbortHandler)
		}
		r.config.Log.Warn("copying the answer to the caller failed", recorder.EventAnswerTruncated.Attr(),
			slog.String("request", answer.RequestID), slog.String("server", answer.Server), slog.Any("error", err))
		// Aborting the handler closes the connection, so that the caller detects an
		// incomplete answer.
		panic(http.ErrAbortHandler)
	}
}

// writeError writes the error answer to a request that no server answered.
func (r *Relayer) writeError(w http.ResponseWriter, call *forwarder.Call, headers CallerHeaders, err error, started time.Time) {
	status, reason, retryAt := classifyError(err)
	r.config.Dialect.SetRequestID(w.Header(), headers.RequestID)
	if status == http.StatusServiceUnavailable && retryAt.IsZero() {
		retryAt = time.Now().Add(defaultRetryDelay)
	}
	if !retryAt.IsZero() {
		r.config.Dialect.SetRetryAfter(w.Header(), max(time.Until(retryAt), 0))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if rerouted, ok := w.(*reroutedWriter); ok {
		rerouted.setOutcome(reason, pollencrank.IsNotRun(err))
	}
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
		if call.Tenant != nil {
			attributes = append(attributes, slog.String("tenant", call.Tenant.Name))
		}
	}
	r.config.Log.Info("the request was not answered by a server", attributes...)
}

// classifyError returns the status and the reason of an error and the time at which the
// caller may retry, or the zero time.
func classifyError(err error) (int, pollencrank.Reason, time.Time) {
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
	case pollencrank.ReasonUnknownKey:
		return http.StatusUnauthorized
	case pollencrank.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case pollencrank.ReasonMalformed, pollencrank.ReasonBodyBroken:
		return http.StatusBadRequest
	case pollencrank.ReasonQuotaSpent:
		return http.StatusTooManyRequests
	case pollencrank.ReasonBodyTimeout:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// recordAnswer records the duration of an answered request and logs a sample of the
// answers; those that callers take for a failure or a refusal are always logged.
func (r *Relayer) recordAnswer(call *forwarder.Call, answer *pollencrank.Answer, started time.Time) {
	took := time.Since(started)
	metrics.GetOrCreateHistogram(fmt.Sprintf(`pollencrank_answer_seconds{priority="%d"}`, call.Priority())).Update(took.Seconds())
	isServed := answer.Status < 500 && !pollencrank.PromisesNotRun(answer.Status)
	if isServed && r.answered.Add(1)%uint64(r.config.SampleEvery) != 0 {
		return
	}
	attributes := []any{
		recorder.EventRequestFinished.Attr(),
		slog.String("request", call.Request.ID), slog.String("route", call.Route.Name), slog.Uint64("version", call.Table.Version),
		slog.String("server", answer.Server), slog.Int("status", answer.Status), slog.String("took", took.Round(time.Microsecond).String()),
		slog.String("objective", call.Route.LatencyObjective.String()),
	}
	if call.Tenant != nil {
		attributes = append(attributes, slog.String("tenant", call.Tenant.Name))
	}
	r.config.Log.Info("the request was answered", append(attributes, call.Course.Attributes(started)...)...)
}
