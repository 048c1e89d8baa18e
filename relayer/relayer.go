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
	if err != nil {
		r.writeError(w, call, headers, err, started)
		return
	}
	if hop != nil {
		defer r.endRerouted()
	}
	body, err := r.prepare(w, incoming, call, headers.Key)
	defer body.release()
	var answer *pollencrank.Answer
	if err == nil {
		ctx, cancel := context.WithDeadline(incoming.Context(), call.Request.Deadline)
		defer cancel()
		answer, err = r.forward(ctx, call)
	}
	if err != nil {
		body.takeBack()
		r.writeError(w, call, headers, err, started)
		return
	}
	defer answer.Body.Close()
	r.deliver(w, call, body, answer, started)
}

// prepare does what must be done before a server is chosen: it stages the body, and then
// identifies the caller again.
func (r *Relayer) prepare(w http.ResponseWriter, incoming *http.Request, call *forwarder.Call, key string) (requestBody, error) {
	body, err := r.stageBody(w, incoming, call)
	if err != nil {
		return body, err
	}
	return body, r.confirmTenant(incoming, call, key)
}

// forward forwards a call within the quota of its tenant. It takes the token only after the
// body has arrived, so that the token is still valid when the request is sent.
func (r *Relayer) forward(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
	if err := r.takeQuota(ctx, call); err != nil {
		return nil, err
	}
	return r.config.Forwarder.Forward(ctx, call)
}

// deliver writes a server's answer to the caller and records it.
func (r *Relayer) deliver(w http.ResponseWriter, call *forwarder.Call, body requestBody, answer *pollencrank.Answer, started time.Time) {
	switch {
	case answer.IsWhole:
	case answer.IsOverCallerShare:
		defer call.Share.BeginStream()()
	default:
		r.streamedRoutes.add(call.Route.Name, time.Now())
	}
	if body.isInUse() {
		// The server has answered early. The caller's connection must not discard what is
		// still being sent to the server.
		w.Header().Set("Connection", "close")
	}
	r.writeAnswer(w, call, answer)
	r.recordAnswer(call, answer, started)
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

// admit returns the call to forward, or the reason why the request is refused, with the call
// if its route is known. hop is set for the request of another instance, which counts until
// endRerouted once it is admitted.
func (r *Relayer) admit(incoming *http.Request, headers CallerHeaders, hop *rerouter.Hop, now time.Time) (*forwarder.Call, error) {
	table, err := r.tableFor(hop, now)
	if err != nil {
		return nil, err
	}
	route, tenant, err := match(table, incoming, headers.Key, hop, now)
	if err != nil {
		return nil, err
	}
	call := &forwarder.Call{Table: table, Route: route, Tenant: tenant, Hop: hop, ArrivedAt: now}
	r.fillCall(call, incoming, headers)
	if hop != nil {
		// The other instance has asked for the quota.
		return call, r.admitRerouted(call, now)
	}
	return call, r.checkQuota(call)
}

// tableFor returns the table by which a request is served.
func (r *Relayer) tableFor(hop *rerouter.Hop, now time.Time) (*router.Table, error) {
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
	return table, nil
}

// match returns the route and the tenant of a request that a table allows.
func match(table *router.Table, incoming *http.Request, key string, hop *rerouter.Hop, now time.Time) (*router.Route, *router.Tenant, error) {
	route := table.Match(incoming.Host, incoming.URL.Path)
	if route == nil {
		return nil, nil, pollencrank.NotRun(pollencrank.ReasonNoRoute, "no route for %s %s", incoming.Host, incoming.URL.Path)
	}
	tenant, err := identify(table, route, key, hop, now)
	if err != nil {
		return nil, nil, err
	}
	if route.Fault != "" {
		err := pollencrank.NotRun(pollencrank.ReasonRouteUnreadable, "route %s: %s", route.Name, route.Fault)
		err.RetryAt = now.Add(routeFaultRetryDelay)
		return nil, nil, err
	}
	if limit := table.Limits.MaxBodyBytes; limit > 0 && incoming.ContentLength > limit {
		return nil, nil, tooLargeRefusal(limit)
	}
	return route, tenant, nil
}

// fillCall sets what a call has from its request.
func (r *Relayer) fillCall(call *forwarder.Call, incoming *http.Request, headers CallerHeaders) {
	call.Share = stager.ShareOf(incoming.Context())
	call.ObjectKey = headers.ObjectKey
	call.Request = &pollencrank.Request{
		ID:            headers.RequestID,
		Deadline:      call.ArrivedAt.Add(timeoutOf(call.Route, headers)),
		Idempotent:    call.Route.Kind.MayRepeat(),
		Generation:    pollencrank.Generation(call.Table.Version),
		Method:        incoming.Method,
		Host:          incoming.Host,
		URI:           incoming.RequestURI,
		Header:        r.headerFor(call.Tenant, call.Table, incoming.Header),
		ContentLength: incoming.ContentLength,
	}
}

// timeoutOf returns the timeout of a request: the caller's, bounded by the route's.
func timeoutOf(route *router.Route, headers CallerHeaders) time.Duration {
	timeout := headers.Timeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}

// writeAnswer writes a server's answer to the caller.
func (r *Relayer) writeAnswer(w http.ResponseWriter, call *forwarder.Call, answer *pollencrank.Answer) {
	pollencrank.AbortUnlessFinal(r.config.Log, recorder.EventAnswerInvalid.Attr(), call.Request, answer)
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
