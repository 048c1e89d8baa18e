// Package forwarder takes a request of a caller to a backend server and brings
// the answer back.
//
// It places the request by its object, chooses among the servers that hold the
// object by the expected time, refuses at once what would come too late, and
// sends a request again only if that is safe, within the route's number of
// attempts and the fleet's budget. An answer is believed only if it is whole,
// genuine and the one to this request.
//
// # Usage
//
//	f := forwarder.New(forwarder.Config{Region: "north", Registrar: registrar, Sender: dispatcher})
//	answer, err := f.Forward(ctx, &forwarder.Call{Request: request, Route: route})
//	if pollencrank.IsNotRun(err) {
//		// The caller may safely repeat the request.
//	}
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/placer"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
	"github.com/pollencrank/pollencrank/selector"
	"github.com/pollencrank/pollencrank/stager"
	"github.com/pollencrank/pollencrank/warmer"
)

const (
	// leastRetryPause and mostRetryPause bound the time after which a refused
	// caller is asked to come back.
	leastRetryPause = 150 * time.Millisecond
	mostRetryPause  = 1500 * time.Millisecond
	// initialWorkShare is the share of a route's latency objective that the work
	// of a request takes until answers were observed.
	initialWorkShare = 3
	// defaultWork is the work of a request on a route without an objective.
	defaultWork = 100 * time.Millisecond
)

// Sender sends a request to a server, like dispatcher.Dispatcher.
type Sender interface {
	Send(ctx context.Context, target dispatcher.Target, request *pollencrank.Request) (*pollencrank.Answer, error)
}

// Config is the configuration of a Forwarder.
type Config struct {
	// Region is this instance's own.
	Region string
	// Regions is the number of regions that callers come from.
	Regions   int
	Registrar *registrar.Registrar
	Sender    Sender
	Warmer    *warmer.Warmer
	Splitter  *router.Splitter
	Budgets   *Budgets
	Distances *Distances
	Suspects  Suspects
	// Suspended, if set, returns for how long the machine has been suspended.
	Suspended func() time.Duration
	Log       *slog.Logger
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	config     Config
	work       *selector.WorkTimes
	memory     *selector.Memory
	placements *placements
	// answers holds answers until they are known to be whole.
	answers *stager.Stager
}

// New returns a Forwarder.
func New(config Config) *Forwarder {
	if config.Suspended == nil {
		config.Suspended = func() time.Duration { return 0 }
	}
	return &Forwarder{
		config:     config,
		work:       selector.NewWorkTimes(),
		memory:     selector.NewMemory(),
		placements: &placements{config: config},
		answers:    stager.New(stager.Config{PerBody: heldAnswerBytes, Total: heldAnswersBytes}),
	}
}

// Call is one request with the configuration that it is served under.
type Call struct {
	Request *pollencrank.Request
	Table   *router.Table
	Route   *router.Route
	// ObjectKey names the object that the request is about, if any.
	ObjectKey string
	// Body is the request's whole body. A longer one is streamed from the
	// request's Body, and then sent once only.
	Body []byte
	// BodyFailure, if set, returns why the request's Body broke off, or nil.
	BodyFailure func() error

	service router.Service
	// suspended is for how long the machine had been suspended when the deadline
	// was last looked at.
	suspended time.Duration
	// key is that of the object, or of the request if it is about none.
	key   uint64
	tried []*registrar.Backend
}

// Forward returns a server's answer. An error is a NotRunError if the request
// certainly did not run, and an OutcomeUnknownError otherwise.
func (f *Forwarder) Forward(ctx context.Context, call *Call) (*pollencrank.Answer, error) {
	name := f.config.Splitter.Pick(call.Route)
	call.service = call.Table.Services[name]
	call.service.Name = name
	call.Request.Workload = name
	call.key = placer.Key(name, call.ObjectKey)
	if !call.isAboutObject() {
		call.key = placer.Key(name, call.Request.ID)
	}
	if err := f.refuseConvicted(call, time.Now()); err != nil {
		return nil, err
	}
	budget := f.config.Budgets.Of(name)
	budget.Deposit(time.Now())
	call.suspended = f.config.Suspended()

	var failure pollencrank.Failure
	var lastAnswer *pollencrank.Answer
	for attempt := 1; attempt <= call.Route.MaxAttempts; attempt++ {
		now := time.Now()
		backend, expected, err := f.choose(call, now, attempt)
		if err == nil {
			err = f.checkDeadline(call, now)
		}
		if err == nil && attempt > 1 && !budget.Withdraw(now) {
			err = pollencrank.NotRun(pollencrank.ReasonRetryBudget, "no further attempt is left in the budget")
		}
		if err != nil {
			failure.Add(err)
			break
		}
		answer, err := f.try(ctx, call, backend, expected)
		if err == nil && !isServerError(answer) {
			closeAnswer(lastAnswer)
			return answer, nil
		}
		if answer != nil {
			closeAnswer(lastAnswer)
			lastAnswer = answer
		}
		if err == nil {
			err = pollencrank.OutcomeUnknown(pollencrank.ReasonServerFailed, "server %s answered with status %d", answer.Server, answer.Status)
		}
		failure.Add(err)
		if !f.mayRepeat(ctx, call, err) {
			break
		}
		f.logRepeat(call, backend, attempt, err)
	}
	if lastAnswer != nil {
		return lastAnswer, nil
	}
	return nil, failure.Err()
}

// checkDeadline takes the time in which the machine was suspended off what is left
// for a call, and refuses one whose deadline has passed meanwhile.
func (f *Forwarder) checkDeadline(call *Call, now time.Time) error {
	suspended := f.config.Suspended()
	call.Request.Deadline = call.Request.Deadline.Add(call.suspended - suspended)
	call.suspended = suspended
	if now.Before(call.Request.Deadline) {
		return nil
	}
	return pollencrank.NotRun(pollencrank.ReasonDeadlinePassed, "the deadline passed before the request was sent")
}

// closeAnswer gives up an answer that is not passed on.
func closeAnswer(answer *pollencrank.Answer) {
	if answer != nil {
		_ = answer.Body.Close()
	}
}

// isServerError reports whether a repeat at another server may do better.
func isServerError(answer *pollencrank.Answer) bool { return answer.Status >= 500 }

// mayRepeat reports whether a failed request may be sent to another server.
func (f *Forwarder) mayRepeat(ctx context.Context, call *Call, err error) bool {
	if ctx.Err() != nil || !time.Now().Before(call.Request.Deadline) {
		return false
	}
	if call.Body == nil && call.Request.ContentLength != 0 {
		return false
	}
	return call.Route.Kind.MayRepeat() || pollencrank.IsNotRun(err)
}

func (f *Forwarder) logRepeat(call *Call, backend *registrar.Backend, attempt int, err error) {
	f.config.Log.Info("the request goes to another server", recorder.EventRequestRepeated.Attr(),
		slog.String("request", call.Request.ID), slog.String("route", call.Route.Name),
		slog.String("server", backend.Server().ID), slog.Int("attempt", attempt), slog.Any("error", err))
}

// try sends the request to one server.
func (f *Forwarder) try(ctx context.Context, call *Call, backend *registrar.Backend, expected time.Duration) (*pollencrank.Answer, error) {
	call.tried = append(call.tried, backend)
	server := backend.Server()
	request := *call.Request
	if call.Body != nil {
		request.Body = bytes.NewReader(call.Body)
	}
	target := dispatcher.Target{
		Name:           server.ID,
		Address:        server.Address,
		MaxConnections: f.config.Budgets.Connections(call.service.MaxConnections),
	}
	started := time.Now()
	sent := backend.Begin(started, expected)
	answer, err := f.config.Sender.Send(ctx, target, &request)
	if err == nil {
		err = check(answer, &request)
	}
	if err == nil {
		err = f.take(ctx, answer, backend)
	}
	backend.End(sent)
	if err != nil && call.BodyFailure != nil && call.BodyFailure() != nil {
		// The server is not to blame.
		return nil, bodyFailure(call, server, err)
	}
	f.observe(ctx, call, backend, answer, err, time.Since(started))
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// bodyFailure returns the error of an attempt whose body broke off on its way in.
func bodyFailure(call *Call, server registrar.Server, err error) error {
	if pollencrank.IsNotRun(err) {
		return pollencrank.NotRun(pollencrank.ReasonBodyBroken, "the request's body broke off: %v", call.BodyFailure())
	}
	return pollencrank.OutcomeUnknown(pollencrank.ReasonBodyBroken,
		"the request's body broke off on its way to server %s: %v", server.ID, call.BodyFailure())
}

// observe keeps what an attempt showed of its server.
func (f *Forwarder) observe(ctx context.Context, call *Call, backend *registrar.Backend, answer *pollencrank.Answer, err error, took time.Duration) {
	now := time.Now()
	server := backend.Server()
	if err != nil {
		f.observeFailure(ctx, call, backend, err, took, now)
		return
	}
	f.absolve(call, now)
	if isServerError(answer) {
		backend.RecordFailure(now)
		return
	}
	key := call.work()
	work := max(took-f.distance(server), time.Millisecond)
	usual := f.work.Of(key, work)
	f.work.Observe(key, work)
	if call.isAboutObject() {
		f.memory.Learn(server.ID, call.key, now)
	}
	if backend.RecordSuccess(float64(work)/float64(usual), now) {
		backend.MarkCold(now.Add(call.service.Warmup))
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`pollencrank_server_seconds{priority="%d",service=%q}`, call.Route.Priority, call.service.Name)).Update(took.Seconds())
}

func (f *Forwarder) observeFailure(ctx context.Context, call *Call, backend *registrar.Backend, err error, took time.Duration, now time.Time) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	var unknown *pollencrank.OutcomeUnknownError
	if errors.As(err, &unknown) && unknown.Reason == pollencrank.ReasonDeadlinePassed {
		usual := f.work.Of(call.work(), initialWork(call))
		backend.RecordTimeout(float64(took)/float64(usual), now)
		return
	}
	var notRun *pollencrank.NotRunError
	if !errors.As(err, &notRun) {
		backend.RecordFailure(now)
		f.suspect(call, backend, err)
		return
	}
	switch notRun.Reason {
	case pollencrank.ReasonServerReplaced:
		backend.MarkMisdirected()
	case pollencrank.ReasonServerUnreachable, pollencrank.ReasonServerFailed:
		backend.MarkUnreachable(now)
	default:
		backend.RecordFailure(now)
	}
}

// work names what the call's requests have in common.
func (c *Call) work() selector.Work {
	return selector.Work{Route: c.Route.Name, Service: c.service.Name}
}

// isAboutObject reports whether servers may know what the request is about.
func (c *Call) isAboutObject() bool { return c.ObjectKey != "" && c.Route.HasAffinity }

// refusal returns the refusal of a request that would be answered too late.
func refusal(reason pollencrank.Reason, pause time.Duration, now time.Time, format string, args ...any) error {
	err := pollencrank.NotRun(reason, format, args...)
	pause = min(max(pause, leastRetryPause), mostRetryPause)
	err.RetryAt = now.Add(pause/2 + rand.N(pause))
	return err
}
