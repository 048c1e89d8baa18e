// Package forwarder sends a caller's request to a backend server and returns the
// server's answer.
//
// A Forwarder places the request by its object and chooses among the servers that
// hold the object by the expected time until the answer. It refuses a request at
// once if the answer would come too late. It retries a request only if that is
// safe, within the route's number of attempts and the fleet's retry budget. It
// accepts an answer only if it is complete, carries the server's proof of origin
// and belongs to this request.
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
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/admitter"
	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/isolator"
	"github.com/pollencrank/pollencrank/placer"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/rerouter"
	"github.com/pollencrank/pollencrank/router"
	"github.com/pollencrank/pollencrank/selector"
	"github.com/pollencrank/pollencrank/stager"
	"github.com/pollencrank/pollencrank/warmer"
)

const (
	// minRetryDelay and maxRetryDelay bound the time after which a refused
	// caller is asked to retry.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// initialServiceTimeDivisor divides a route's latency objective to estimate the service
	// time until answers have been observed.
	initialServiceTimeDivisor = 3
	// defaultServiceTime is that estimate for a route without a latency objective.
	defaultServiceTime = 100 * time.Millisecond
)

// Sender sends a request to a server. dispatcher.Dispatcher implements it.
type Sender interface {
	Send(ctx context.Context, target dispatcher.Target, request *pollencrank.Request) (*pollencrank.Answer, error)
}

// Config is the configuration of a Forwarder.
type Config struct {
	// Region is the region of this instance.
	Region string
	// Regions is the number of regions that callers come from.
	Regions   int
	Registrar *registrar.Registrar
	Sender    Sender
	Warmer    *warmer.Warmer
	// Probe returns an error unless a server answers a health probe, whatever it says.
	Probe func(ctx context.Context, server registrar.Server) error
	// Limits divides the rate limits of servers among the instances.
	Limits    *apportioner.Apportioner
	Splitter  *router.Splitter
	Budgets   *Budgets
	Distances *Distances
	Suspects  Suspects
	// Rerouter, if set, sends requests through other instances.
	Rerouter Rerouter
	// AnswerStager buffers answers. The default is NewAnswerStager with default bounds.
	AnswerStager *stager.Stager
	// Suspended, if set, returns the total time for which the machine has been
	// suspended.
	Suspended func() time.Duration
	// TellsPace, if set, reports whether servers of a service tell the pace of their machines.
	TellsPace func(service string) bool
	Log       *slog.Logger
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	config        Config
	serviceTimes  *selector.ServiceTimes
	objectHistory *selector.ObjectHistory
	placements    *placements
	suspectRuns   suspectRuns
	room          *room
	// checks counts the checks of servers that run in the background.
	checks sync.WaitGroup
}

// New returns a Forwarder.
func New(config Config) *Forwarder {
	if config.Suspended == nil {
		config.Suspended = func() time.Duration { return 0 }
	}
	if config.AnswerStager == nil {
		config.AnswerStager = NewAnswerStager(0, 0)
	}
	if config.Rerouter == nil {
		config.Rerouter = noRerouter{}
	}
	return &Forwarder{
		config:        config,
		serviceTimes:  selector.NewServiceTimes(),
		objectHistory: selector.NewObjectHistory(),
		placements:    &placements{config: config},
		room:          newRoom(),
		suspectRuns:   suspectRuns{byServer: map[*registrar.Backend]map[isolator.Fingerprint]int{}},
	}
}

// Call is a request together with the configuration that applies to it.
type Call struct {
	Request *pollencrank.Request
	Table   *router.Table
	Route   *router.Route
	// Tenant is the tenant whose caller has sent the request. It is nil if the route or the
	// configuration asks for none.
	Tenant *router.Tenant
	// ObjectKey names the object that the request is about, if any.
	ObjectKey string
	// Body is the complete body of the request. If it is nil, the body is streamed
	// from Request.Body, and the request can be sent only once.
	Body []byte
	// BodyFailure, if set, returns the error with which reading the request's Body
	// failed, or nil.
	BodyFailure func() error
	// BeforeSend, if set, is called right before each attempt. The request is not sent if it
	// returns an error, which is a NotRunError.
	BeforeSend func(ctx context.Context) error
	// TokenUntil, if set, returns until when the request may be sent as BeforeSend has
	// allowed.
	TokenUntil func() time.Time
	// Share, if set, bounds what is held for the caller.
	Share *stager.Share
	// Course is filled in by Forward.
	Course Course

	// Hop is what another instance says that has sent the request on. It is nil for the
	// request of a caller of this instance.
	Hop *rerouter.Hop
	// ArrivedAt is when the request arrived at this instance. Zero means when Forward is
	// called.
	ArrivedAt time.Time

	// roomRequest states what the admission depends on, if room is shared. isCountedInRoom
	// says that the request counts for the shares, and wasCrowdedOut that too many others
	// wait.
	roomRequest                    *admitter.Request
	isCountedInRoom, wasCrowdedOut bool
	// startedAttempt is the attempt for which the request counts as served, or zero.
	startedAttempt int

	service router.Service
	// sent and unreached count the attempts that may have reached a server, and those that
	// found no connection to it.
	sent, unreached int
	// isCounted says that the request counts for the retry budget.
	isCounted bool
	// isOver says that no further attempt is made.
	isOver bool
	// isRerouted says that the request was sent through another instance.
	isRerouted bool
	// sawUnreachable says that a server was left out because it could not be reached.
	sawUnreachable bool
	// suspended is the value of Config.Suspended at the last check of the deadline.
	suspended time.Duration
	// key is the placement key of the object, or of the request if it concerns no
	// object.
	key           uint64
	triedBackends []*registrar.Backend
	// failedLoans is the number of servers for which no token could be taken or borrowed.
	failedLoans int
	// suspect is the fingerprint of the request if an earlier copy of it crashed a
	// server.
	suspect *isolator.Fingerprint
}

// Forward sends a request to a server and returns the answer. The error is a
// NotRunError if the request certainly did not run, and an OutcomeUnknownError
// otherwise.
func (f *Forwarder) Forward(ctx context.Context, call *Call) (*pollencrank.Answer, error) {
	name := f.config.Splitter.Pick(call.Route)
	call.service = call.Table.Services[name]
	call.service.Name = name
	call.Request.Workload = name
	if err := f.refuseCrashing(call, time.Now()); err != nil {
		return nil, err
	}
	call.key = call.placementKey()
	call.suspended = f.config.Suspended()

	var failure pollencrank.Failure
	var lastAnswer *pollencrank.Answer
	for call.mayTry() {
		answer, err := f.try(ctx, call)
		if err == nil && !isServerError(answer) {
			discardAnswer(lastAnswer)
			return answer, nil
		}
		if answer != nil {
			discardAnswer(lastAnswer)
			lastAnswer = answer
		}
		if err == nil {
			err = pollencrank.OutcomeUnknown(pollencrank.ReasonServerFailed, "server %s answered with status %d", answer.Server, answer.Status)
		}
		failure.Add(err)
		if call.isOver || !f.mayRepeat(ctx, call, err) {
			break
		}
	}
	if lastAnswer != nil {
		return lastAnswer, nil
	}
	f.setReturn(call, failure.Err(), time.Now())
	return f.end(ctx, call, failure.Err())
}

// try makes the next attempt at a call, at a server or through another instance.
func (f *Forwarder) try(ctx context.Context, call *Call) (*pollencrank.Answer, error) {
	now := time.Now()
	if call.tries() > 0 {
		if err := f.refuseCrashing(call, now); err != nil {
			return nil, call.giveUp(err)
		}
	}
	if f.config.Rerouter.IsCutOff(call.service.Name) {
		return f.tryThroughPeer(ctx, call, now)
	}
	f.deposit(call, now)
	attempt := call.tries() + 1
	chosen, err := f.chooseInRoom(ctx, call, now, attempt)
	if err == nil {
		err = f.checkDeadline(call, time.Now())
	}
	if err == nil && call.sent > 0 {
		err = f.withdraw(call, now)
	}
	if err == nil {
		err = f.beforeSend(ctx, call)
	}
	if err != nil {
		f.revokeStart(call, attempt, err)
		return nil, call.giveUp(err)
	}
	answer, err := f.sendTo(ctx, call, chosen)
	f.revokeStart(call, attempt, err)
	if isUnreached(err) {
		call.unreached++
	} else {
		call.sent++
	}
	if err != nil && f.mayRepeat(ctx, call, err) && call.mayTry() {
		f.logRepeat(call, chosen.backend, call.tries(), err)
	}
	return answer, err
}

// checkDeadline moves the deadline of a call earlier by the time for which the
// machine was suspended since the last check, and refuses the call if its deadline
// has passed.
func (f *Forwarder) checkDeadline(call *Call, now time.Time) error {
	suspended := f.config.Suspended()
	call.Request.Deadline = call.Request.Deadline.Add(call.suspended - suspended)
	call.suspended = suspended
	if now.Before(call.Request.Deadline) {
		return nil
	}
	return pollencrank.NotRun(pollencrank.ReasonDeadlinePassed, "the deadline passed before the request was sent")
}

// discardAnswer closes an answer that is not returned to the caller.
func discardAnswer(answer *pollencrank.Answer) {
	if answer != nil {
		_ = answer.Body.Close()
	}
}

// isServerError reports whether an answer is a failure of its server, so that
// another server may answer better.
func isServerError(answer *pollencrank.Answer) bool { return answer.Status >= 500 }

// mayRepeat reports whether a failed request may be retried on another server.
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
	f.config.Log.Info("the request goes to another server", recorder.EventRequestRetried.Attr(),
		slog.String("request", call.Request.ID), slog.String("route", call.Route.Name),
		slog.String("server", backend.Server().ID), slog.Int("attempt", attempt), slog.Any("error", err))
}

// sendTo sends the request to the chosen server.
func (f *Forwarder) sendTo(ctx context.Context, call *Call, chosen decision) (*pollencrank.Answer, error) {
	backend := chosen.backend
	call.triedBackends = append(call.triedBackends, backend)
	server := backend.Server()
	request := call.newRequest()
	target := dispatcher.Target{
		Name:           server.ID,
		Address:        server.Address,
		MaxConnections: f.config.Budgets.ConnectionLimit(call.service.MaxConnections, time.Now()),
	}
	release := func() {}
	if call.suspect != nil {
		release = sync.OnceFunc(f.suspectRuns.begin(backend, *call.suspect))
	}
	started := time.Now()
	call.Course.begin(chosen, started)
	defer func() { call.Course.EndedAt = time.Now() }()
	sent := backend.Begin(started, chosen.choice.Expected)
	endWatch := f.watchSilence(call, server, chosen.choice.Expected)
	answer, err := f.config.Sender.Send(ctx, target, request)
	endWatch()
	if err == nil {
		err = verifyAnswer(answer, request)
	}
	var streamed *streamedBody
	if err == nil {
		streamed, err = f.bufferAnswer(ctx, call, answer, backend)
	}
	if streamed == nil {
		release()
	} else {
		f.watchStream(call, answer, streamed, backend, started, release)
	}
	backend.End(sent)
	f.room.wake(backend, time.Now())
	if err != nil && call.BodyFailure != nil && call.BodyFailure() != nil {
		// The caller's upload failed; the failure is not recorded against the server.
		return nil, bodyFailure(call, server, err)
	}
	f.observe(ctx, call, backend, answer, err, started)
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// bodyFailure returns the error of an attempt that failed because the caller's
// request body could not be read to its end.
func bodyFailure(call *Call, server registrar.Server, err error) error {
	if pollencrank.IsNotRun(err) {
		return pollencrank.NotRun(pollencrank.ReasonBodyBroken, "the request's body broke off: %v", call.BodyFailure())
	}
	return pollencrank.OutcomeUnknown(pollencrank.ReasonBodyBroken,
		"the request's body broke off on its way to server %s: %v", server.ID, call.BodyFailure())
}

// observe records the outcome and the duration of an attempt for its server.
func (f *Forwarder) observe(ctx context.Context, call *Call, backend *registrar.Backend, answer *pollencrank.Answer, err error, started time.Time) {
	now := time.Now()
	took := now.Sub(started)
	server := backend.Server()
	f.observeLink(ctx, call, server, err, now)
	if err != nil {
		f.observeFailure(ctx, call, backend, err, started, now)
		return
	}
	if isServerError(answer) {
		backend.RecordFailure(now)
		return
	}
	if answer.IsWhole {
		f.clearSuspicion(call, started, now)
	}
	class := call.requestClass()
	serviceTime := max(took-f.distance(server), time.Millisecond)
	usual := f.serviceTimes.Estimate(class, serviceTime)
	f.serviceTimes.Observe(class, serviceTime)
	if call.isAboutObject() {
		f.objectHistory.Record(server.ID, call.key, now)
	}
	if backend.RecordSuccess(float64(serviceTime)/float64(usual), answer.ConnectedAt, now) {
		backend.MarkCold(now.Add(call.service.Warmup))
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`pollencrank_server_seconds{priority="%d",service=%q}`, call.Priority(), call.service.Name)).Update(took.Seconds())
}

// observeFailure records a failed attempt for its server, by the kind of failure.
// A request that the caller canceled is not recorded.
func (f *Forwarder) observeFailure(ctx context.Context, call *Call, backend *registrar.Backend, err error, started, now time.Time) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	var unknown *pollencrank.OutcomeUnknownError
	if errors.As(err, &unknown) && unknown.Reason == pollencrank.ReasonDeadlinePassed {
		usual := f.serviceTimes.Estimate(call.requestClass(), initialServiceTime(call))
		backend.RecordTimeout(float64(now.Sub(started))/float64(usual), now)
		return
	}
	var notRun *pollencrank.NotRunError
	if !errors.As(err, &notRun) {
		backend.RecordFailure(now)
		if isBrokenOff(err) {
			f.recordCrash(call.Request.ID, fingerprint(call), backend, started, now)
		}
		return
	}
	switch notRun.Reason {
	case pollencrank.ReasonAllShed:
		// A server that asks for a pause has not failed.
		if notRun.RetryAt.IsZero() {
			backend.RecordFailure(now)
		}
	case pollencrank.ReasonServerReplaced:
		backend.MarkMisdirected()
	case pollencrank.ReasonServerUnreachable, pollencrank.ReasonServerFailed:
		backend.MarkUnreachable(now)
	default:
		backend.RecordFailure(now)
	}
}

// requestClass returns the route and service under which the service time of the
// request is recorded.
func (c *Call) requestClass() selector.RequestClass {
	return selector.RequestClass{Route: c.Route.Name, Service: c.service.Name}
}

// placementKey returns the key by which the servers for the call are ordered. All copies
// of a suspect about no object have the same key at every instance, so that copies that
// are sent at the same time crash the same server.
func (c *Call) placementKey() uint64 {
	switch {
	case c.isAboutObject():
		return placer.Key(c.service.Name, c.ObjectKey)
	case c.suspect != nil:
		return placer.Key(c.service.Name, string(c.suspect[:]))
	default:
		return placer.Key(c.service.Name, c.Request.ID)
	}
}

// isAboutObject reports whether the request concerns an object that servers answer
// for faster once they have served it.
func (c *Call) isAboutObject() bool { return c.ObjectKey != "" && c.Route.HasAffinity }

// refusal returns a NotRunError that asks the caller to retry after pause, within
// the bounds and with jitter.
func refusal(reason pollencrank.Reason, pause time.Duration, now time.Time, format string, args ...any) error {
	err := pollencrank.NotRun(reason, format, args...)
	pause = min(max(pause, minRetryDelay), maxRetryDelay)
	err.RetryAt = now.Add(pause/2 + rand.N(pause))
	return err
}
