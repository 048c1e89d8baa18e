// Package coordinator takes a caller's request to the entry that can run it,
// and makes sure that an order with an idempotency key runs at most once.
//
// # Usage
//
//	c := coordinator.New(coordinator.Config{
//		Local:        executor,
//		Chooser:      balancer,
//		Forwarder:    client,
//		Deduplicator: deduplicator,
//		Budget:       budget,
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

// Chooser chooses the entry that runs a request.
type Chooser interface {
	Choose(workload string, tried []string) (balancer.Choice, bool)
	Report(instance string, load *peerpb.Load, now time.Time)
}

// Forwarder passes a request to another entry.
type Forwarder interface {
	Forward(ctx context.Context, address string, request *pollencrank.Request, onLoad func(*peerpb.Load)) (*pollencrank.Answer, error)
}

// Claimer claims idempotency keys.
type Claimer interface {
	Claim(ctx context.Context, claim *deduplicator.Claim) *peerpb.ClaimResponse
	Settle(claim deduplicator.Claim, result peerpb.SettleRequest_Result, answer *peerpb.RecordedAnswer)
}

// Config is the configuration of a Coordinator.
type Config struct {
	// Self is the ID of this instance.
	Self      string
	Local     pollencrank.Executor
	Chooser   Chooser
	Forwarder Forwarder
	Claimer   Claimer
	Budget    *limiter.RetryBudget
	Tracer    trace.Tracer
	// KeyRetention returns how long repeats of a workload's keys are
	// recognised.
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

// run tries entries until one runs the request or no further try is safe.
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

func bodyOf(request *pollencrank.Request) *replayer.Body {
	if request.Body == nil || request.ContentLength == 0 {
		return nil
	}
	return replayer.BodyOf(request.Body)
}

// nextAttempt returns a copy of the request with its body from the start.
func nextAttempt(request *pollencrank.Request, body *replayer.Body) (*pollencrank.Request, bool) {
	attempt := *request
	if body == nil {
		return &attempt, true
	}
	reader, ok := body.Attempt()
	attempt.Body = reader
	return &attempt, ok
}

// runAt runs the request here or at another entry. It returns the ID of the
// entry.
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
	answer.Body = &closingBody{ReadCloser: answer.Body, after: func() {
		choice.Done()
		span.End()
	}}
	return answer, id, nil
}

// elsewhere are the reasons for which another entry may do better.
var elsewhere = []pollencrank.Reason{
	pollencrank.ReasonNoServer,
	pollencrank.ReasonQueueFull,
	pollencrank.ReasonDeadlineTooNear,
	pollencrank.ReasonAllShed,
	pollencrank.ReasonPeerUnreachable,
	pollencrank.ReasonServerUnreachable,
	pollencrank.ReasonStopping,
}

func (c *Coordinator) mayTryAnother(ctx context.Context, request *pollencrank.Request, err error) bool {
	if ctx.Err() != nil || !time.Now().Before(request.Deadline) {
		return false
	}
	var notRun *pollencrank.NotRunError
	if errors.As(err, &notRun) && !slices.Contains(elsewhere, notRun.Reason) {
		return false
	}
	if notRun == nil && !request.Idempotent {
		return false
	}
	if notRun != nil && slices.Contains(moved, notRun.Reason) {
		return true
	}
	return c.config.Budget.Withdraw()
}

// moved are the reasons that say that the servers have another owner now. The
// request cost nothing yet, so trying there is not a retry.
var moved = []pollencrank.Reason{pollencrank.ReasonNoServer, pollencrank.ReasonStopping}
