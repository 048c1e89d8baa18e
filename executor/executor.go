// Package executor runs requests on the backend servers that this entry owns.
//
// The executor waits for a free slot, sends the request and retries it on another
// server where that is safe. It updates the pools of servers after changes of health,
// ejections and drains.
//
// # Usage
//
//	e := executor.New(executor.Config{Sender: dispatcher.New(dispatcher.Config{}), Budget: budget})
//	e.Assign(executor.Assignment{Workloads: workloads, Servers: owned, Preset: preset})
//	answer, err := e.Execute(ctx, request)
package executor

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/ejector"
	"github.com/pollencrank/pollencrank/isolator"
	"github.com/pollencrank/pollencrank/limiter"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/replayer"
	"github.com/pollencrank/pollencrank/scheduler"
)

// maxAttempts limits the attempts to run one request.
const maxAttempts = 3

// Sender sends requests to backend servers.
type Sender interface {
	Send(ctx context.Context, target dispatcher.Target, request *pollencrank.Request) (*pollencrank.Answer, error)
	Probe(ctx context.Context, target dispatcher.Target) (dispatcher.Health, error)
	Warm(ctx context.Context, target dispatcher.Target, connections int) (dispatcher.Health, error)
	Keep(targets []dispatcher.Target)
}

var _ Sender = (*dispatcher.Dispatcher)(nil)

// Config is the configuration of an Executor.
type Config struct {
	Sender Sender
	Budget *limiter.RetryBudget
	Log    *slog.Logger
	Tracer trace.Tracer
	// Isolator detects and blocks requests that crash servers. The default is an
	// Isolator with the default configuration.
	Isolator *isolator.Isolator
	// ShareSuspect sends a record to other entries. It may be nil.
	ShareSuspect func(record isolator.Record)
	// ServedElsewhere reports whether other entries of the region own servers
	// of a workload. It may be nil.
	ServedElsewhere func(workload string) bool
	// OnEnd is called at the end of every attempt to run a request on a server.
	// It may be nil.
	OnEnd func(workload string, busy time.Duration, requestBytes, answerBytes int64)
	// Ejector decides on ejections. The default is an Ejector with the default
	// configuration.
	Ejector *ejector.Ejector
}

// Assignment holds the workloads, the preset and the servers that an Executor uses.
type Assignment struct {
	Workloads []pollencrank.Workload
	Preset    pollencrank.Preset
	// Servers are the owned servers that are not drained. Slots is the number
	// of slots that may be used now, which is less than the configured number
	// while requests of the previous owner are in flight.
	Servers []pollencrank.Server
}

// pool is the scheduler of a workload with the targets of its servers.
type pool struct {
	*scheduler.Pool
	targets map[string]dispatcher.Target
	// usableServers is the number of servers that may get requests.
	usableServers int
	// suspectSemaphore limits the suspects that run at a time to one.
	suspectSemaphore chan struct{}
}

// Executor runs requests on owned servers.
type Executor struct {
	config Config

	// pools is replaced as a whole, so that requests read it without a lock.
	pools atomic.Pointer[map[string]*pool]

	mu         sync.Mutex
	assignment Assignment
	health     map[string]serverHealth
	// coldServers is the number of cold servers. It is read without the lock.
	coldServers    atomic.Int64
	probeRequested chan struct{}
}

var _ pollencrank.Executor = (*Executor)(nil)

// New returns an Executor that owns no servers.
func New(config Config) *Executor {
	if config.Ejector == nil {
		config.Ejector = ejector.New(ejector.Config{})
	}
	if config.Isolator == nil {
		config.Isolator = isolator.New(isolator.Config{})
	}
	if config.ShareSuspect == nil {
		config.ShareSuspect = func(isolator.Record) {}
	}
	if config.ServedElsewhere == nil {
		config.ServedElsewhere = func(string) bool { return false }
	}
	if config.OnEnd == nil {
		config.OnEnd = func(string, time.Duration, int64, int64) {}
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	if config.Tracer == nil {
		config.Tracer = noop.NewTracerProvider().Tracer("")
	}
	e := &Executor{config: config, health: map[string]serverHealth{}, probeRequested: make(chan struct{}, 1)}
	e.pools.Store(&map[string]*pool{})
	return e
}

// Loads returns the load of every assigned workload.
func (e *Executor) Loads() map[string]scheduler.Load {
	loads := map[string]scheduler.Load{}
	for name, p := range *e.pools.Load() {
		loads[name] = p.Load()
	}
	return loads
}

// Load returns the load of one workload.
func (e *Executor) Load(workload string) scheduler.Load {
	if p := (*e.pools.Load())[workload]; p != nil {
		return p.Load()
	}
	return scheduler.Load{}
}

// InFlight returns the number of requests in flight on a server.
func (e *Executor) InFlight(server string) int {
	inFlight := 0
	for _, p := range *e.pools.Load() {
		inFlight += p.InFlight(server)
	}
	return inFlight
}

// Execute implements pollencrank.Executor.
func (e *Executor) Execute(ctx context.Context, request *pollencrank.Request) (*pollencrank.Answer, error) {
	p := (*e.pools.Load())[request.Workload]
	if p == nil {
		return nil, pollencrank.NotRun(pollencrank.ReasonNoServer, "this instance owns no server of %s", request.Workload)
	}
	e.config.Budget.Deposit()
	outgoing := *request
	var body *replayer.Body
	if request.Body != nil && request.ContentLength != 0 {
		body = replayer.BodyOf(request.Body)
	}
	var failure pollencrank.Failure
	var avoid string
	for attempt := 1; ; attempt++ {
		if body != nil {
			reader, ok := body.Attempt()
			if !ok {
				return nil, failure.Err()
			}
			outgoing.Body = reader
		}
		answer, server, err := e.attemptIsolated(ctx, p, &outgoing, body, avoid)
		if err == nil {
			return answer, nil
		}
		failure.Add(err)
		if server == "" || attempt == maxAttempts || !mayRetry(request, err) || !e.config.Budget.Withdraw() {
			return nil, failure.Err()
		}
		avoid = server
	}
}

// mayRetry reports whether a failed request may be sent to another server.
func mayRetry(request *pollencrank.Request, err error) bool {
	if !time.Now().Before(request.Deadline) {
		return false
	}
	return pollencrank.IsNotRun(err) || request.Idempotent
}

// sending is the server that a request was sent to, and when.
type sending struct {
	server string
	at     time.Time
}

// attempt sends a request to one server. It returns the name of the server, or "" if
// no slot was granted. onReadError is called if reading the answer fails before ctx is
// done.
func (e *Executor) attempt(ctx context.Context, p *pool, request *pollencrank.Request, avoid string, onReadError func(sent sending)) (*pollencrank.Answer, sending, error) {
	grant, err := e.acquire(ctx, p, request, avoid)
	if err != nil {
		return nil, sending{}, err
	}
	target, ok := p.targets[grant.Server]
	if !ok {
		target = dispatcher.Target{Name: grant.Server, Address: grant.Address}
	}
	outgoing := *request
	spanCtx, span := e.config.Tracer.Start(ctx, "backend", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", grant.Server)))
	outgoing.Header = recorder.Inject(spanCtx, request.Header)
	started := time.Now()
	sent := sending{server: grant.Server, at: started}
	answer, err := e.config.Sender.Send(spanCtx, target, &outgoing)
	if err != nil {
		releaseAfterError(grant, err)
		span.SetStatus(codes.Error, err.Error())
		span.End()
		e.observeError(grant.Server, err)
		e.config.OnEnd(request.Workload, time.Since(started), request.ContentLength, 0)
		return nil, sent, err
	}
	e.observeStatus(grant.Server, answer.Status)
	span.SetAttributes(attribute.Int("status", answer.Status))
	answer.Body = &releasingBody{
		ReadCloser: answer.Body,
		grant:      grant,
		span:       span,
		onEnd: func(answerBytes int64) {
			e.config.OnEnd(request.Workload, time.Since(started), request.ContentLength, answerBytes)
		},
		onReadError: func() {
			if ctx.Err() == nil {
				onReadError(sent)
			}
		},
	}
	return answer, sent, nil
}

// cancelGrace is the time that a server has to notice the cancellation of a request.
// The slot of the request is not reused before.
const cancelGrace = 100 * time.Millisecond

// releaseAfterError releases the slot of a failed attempt: at once if the request was not
// run, otherwise after cancelGrace, in which the server stops running the request.
func releaseAfterError(grant *scheduler.Grant, err error) {
	if pollencrank.IsNotRun(err) {
		grant.Release()
		return
	}
	time.AfterFunc(cancelGrace, grant.Release)
}

func (e *Executor) acquire(ctx context.Context, p *pool, request *pollencrank.Request, avoid string) (*scheduler.Grant, error) {
	ctx, span := e.config.Tracer.Start(ctx, "queue")
	defer span.End()
	grant, err := p.Acquire(ctx, scheduler.SlotRequest{
		Rank:     request.Rank,
		Caller:   request.Caller,
		Deadline: request.Deadline,
		Avoid:    avoid,
		Foreign:  request.Foreign,
	})
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return grant, err
}

// observeError reports a failed attempt to the ejector, unless the caller cancelled
// the request or the server shed it.
func (e *Executor) observeError(server string, err error) {
	var notRun *pollencrank.NotRunError
	var unknown *pollencrank.OutcomeUnknownError
	var reason pollencrank.Reason
	switch {
	case errors.As(err, &notRun):
		reason = notRun.Reason
	case errors.As(err, &unknown):
		reason = unknown.Reason
	}
	if reason == pollencrank.ReasonCallerGone || reason == pollencrank.ReasonAllShed {
		return
	}
	e.observe(server, ejector.Failure)
}

func (e *Executor) observeStatus(server string, status int) {
	if status >= http.StatusInternalServerError {
		e.observe(server, ejector.Failure)
		return
	}
	e.observe(server, ejector.Success)
	e.warmUp(server)
}

func (e *Executor) observe(server string, result ejector.Result) {
	if !e.config.Ejector.Observe(server, result, time.Now()) {
		return
	}
	e.config.Log.Warn("server ejected", recorder.EventServerEjected.Attr(), slog.String("server", server))
	e.refresh()
}

// releasingBody releases the slot of a request when its answer is closed: at once
// after a complete answer, otherwise after cancelGrace.
type releasingBody struct {
	io.ReadCloser
	grant *scheduler.Grant
	span  trace.Span
	once  sync.Once
	// isComplete reports whether the whole answer was read.
	isComplete atomic.Bool
	bytesRead  atomic.Int64
	onEnd      func(answerBytes int64)
	// onReadError is called once when reading the answer fails.
	onReadError   func()
	readErrorOnce sync.Once
}

// Read implements io.Reader.
func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytesRead.Add(int64(n))
	if errors.Is(err, io.EOF) {
		b.isComplete.Store(true)
	} else if err != nil {
		b.readErrorOnce.Do(b.onReadError)
	}
	return n, err
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		b.span.End()
		b.onEnd(b.bytesRead.Load())
		if b.isComplete.Load() {
			b.grant.Release()
			return
		}
		time.AfterFunc(cancelGrace, b.grant.Release)
	})
	return err
}
