// Package coordinator routes a caller's request to an entry that can run it, and
// makes sure that a non-idempotent request with an idempotency key runs at most
// once.
//
// # Usage
//
//	c := coordinator.New(coordinator.Config{
//		Self:      instance.ID,
//		Local:     executor,
//		Chooser:   balancer,
//		Forwarder: client,
//		Claimer:   deduplicator,
//		Budget:    budget,
//	})
//	answer, err := c.Execute(ctx, request)
package coordinator

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/balancer"
	"github.com/pollencrank/pollencrank/deduplicator"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/limiter"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/replayer"
)

// maxEntries is the number of entries tried for one request.
const maxEntries = 3

// Chooser chooses the entry that runs a request, by the load that the entries
// report.
type Chooser interface {
	Choose(workload string, tried []string) (balancer.Choice, bool)
	Report(instance string, load *peerpb.Load, now time.Time)
}

// Forwarder forwards a request to another entry.
type Forwarder interface {
	Forward(ctx context.Context, address string, request *pollencrank.Request, onLoad func(*peerpb.Load)) (*pollencrank.Answer, error)
}

// Claimer claims idempotency keys and records the results of requests.
type Claimer interface {
	Claim(ctx context.Context, claim *deduplicator.Claim) *peerpb.ClaimResponse
	Settle(claim deduplicator.Claim, result peerpb.SettleRequest_Result, answer *peerpb.RecordedAnswer)
}

// Config is the configuration of a Coordinator.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// Local runs requests on the servers that this instance owns.
	Local     pollencrank.Executor
	Chooser   Chooser
	Forwarder Forwarder
	Claimer   Claimer
	// Budget limits the retries.
	Budget *limiter.RetryBudget
	Tracer trace.Tracer
	// KeyRetention returns how long repeats of a workload's idempotency keys
	// are recognised. Without it, or if it returns 0, the default applies.
	KeyRetention func(workload string) time.Duration
}

// Coordinator executes requests across the entries of a region.
type Coordinator struct {
	config Config
}

var _ pollencrank.Executor = (*Coordinator)(nil)

// New returns a Coordinator.
func New(config Config) *Coordinator {
	if config.Tracer == nil {
		config.Tracer = noop.NewTracerProvider().Tracer("")
	}
	return &Coordinator{config: config}
}

// Execute implements pollencrank.Executor.
func (c *Coordinator) Execute(ctx context.Context, request *pollencrank.Request) (*pollencrank.Answer, error) {
	if request.Key == "" || request.Idempotent {
		return c.run(ctx, request)
	}
	return c.runOnce(ctx, request)
}

// run tries entries until one answers the request or no further attempt is
// allowed.
func (c *Coordinator) run(ctx context.Context, request *pollencrank.Request) (*pollencrank.Answer, error) {
	var failure pollencrank.Failure
	var tried []string
	body := bodyOf(request)
	for range maxEntries {
		choice, ok := c.config.Chooser.Choose(request.Workload, tried)
		if !ok {
			break
		}
		attempt, ok := nextAttempt(request, body)
		if !ok {
			break
		}
		answer, id, err := c.runAt(ctx, choice, attempt)
		if err == nil {
			return answer, nil
		}
		failure.Add(err)
		tried = append(tried, id)
		if !c.mayTryAnother(ctx, request, err) {
			break
		}
	}
	if err := failure.Err(); err != nil {
		return nil, err
	}
	return nil, pollencrank.NotRun(pollencrank.ReasonNoServer, "no entry of the region owns a server of %s", request.Workload)
}

// bodyOf returns the request's body in a form that can be sent again, or nil if
// the request has no body.
func bodyOf(request *pollencrank.Request) *replayer.Body {
	if request.Body == nil || request.ContentLength == 0 {
		return nil
	}
	return replayer.BodyOf(request.Body)
}

// nextAttempt returns a copy of the request whose body is read from the start.
// It reports false if the body can't be read again.
func nextAttempt(request *pollencrank.Request, body *replayer.Body) (*pollencrank.Request, bool) {
	attempt := *request
	if body == nil {
		return &attempt, true
	}
	reader, ok := body.Attempt()
	attempt.Body = reader
	return &attempt, ok
}

// runAt runs the request at the chosen entry: this instance or a peer. It
// returns the ID of the entry.
func (c *Coordinator) runAt(ctx context.Context, choice balancer.Choice, request *pollencrank.Request) (*pollencrank.Answer, string, error) {
	if choice.Peer == nil {
		answer, err := c.config.Local.Execute(ctx, request)
		return answer, c.config.Self, err
	}
	id := choice.Peer.ID
	ctx, span := c.config.Tracer.Start(ctx, "forward", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("entry", id)))
	request.Header = recorder.Inject(ctx, request.Header)
	onLoad := func(load *peerpb.Load) { c.config.Chooser.Report(id, load, time.Now()) }
	answer, err := c.config.Forwarder.Forward(ctx, choice.Peer.PeerAddress, request, onLoad)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		span.End()
		choice.Done()
		return nil, id, err
	}
	answer.Body = &closingBody{ReadCloser: answer.Body, onClose: func() {
		choice.Done()
		span.End()
	}}
	return answer, id, nil
}

// retryableReasons lists the reasons of a refusal for which another entry may
// still run the request.
var retryableReasons = []pollencrank.Reason{
	pollencrank.ReasonNoServer,
	pollencrank.ReasonQueueFull,
	pollencrank.ReasonDeadlineTooNear,
	pollencrank.ReasonAllShed,
	pollencrank.ReasonPeerUnreachable,
	pollencrank.ReasonServerUnreachable,
	pollencrank.ReasonStopping,
}

// mayTryAnother reports whether the request may be sent to another entry after
// err. A retry takes a token from the retry budget, unless the servers have
// another owner now.
func (c *Coordinator) mayTryAnother(ctx context.Context, request *pollencrank.Request, err error) bool {
	if ctx.Err() != nil || !time.Now().Before(request.Deadline) {
		return false
	}
	var notRun *pollencrank.NotRunError
	if errors.As(err, &notRun) && !slices.Contains(retryableReasons, notRun.Reason) {
		return false
	}
	if notRun == nil && !request.Idempotent {
		return false
	}
	if notRun != nil && slices.Contains(ownerChangedReasons, notRun.Reason) {
		return true
	}
	return c.config.Budget.Withdraw()
}

// ownerChangedReasons lists the reasons of a refusal which mean that the servers
// have another owner now. The refused attempt caused no work, so an attempt at
// another entry is not counted as a retry.
var ownerChangedReasons = []pollencrank.Reason{pollencrank.ReasonNoServer, pollencrank.ReasonStopping}
