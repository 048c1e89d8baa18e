package forwarder

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/rerouter"
)

const (
	// maxUnreached is the number of servers without a connection that one call may meet.
	maxUnreached = 2
	// minSilence is the least time after which an unanswered request may be a sign of a lost
	// link, and silenceFactor the multiple of its expected time.
	minSilence    = 500 * time.Millisecond
	silenceFactor = 3
)

// Rerouter tells whether this instance has lost its links to servers, and sends requests
// through other instances. rerouter.Rerouter implements it.
type Rerouter interface {
	// IsCutOff reports whether this instance has lost its links to the servers of a service.
	IsCutOff(service string) bool
	// IsDoubtful reports whether failures of servers of a service may be those of this
	// instance's own links.
	IsDoubtful(service string) bool
	// ObserveAnswer records that a server of a service has answered.
	ObserveAnswer(service string)
	// ObserveFailure records that a server of a service could not be reached or has not
	// answered.
	ObserveFailure(service, server string, now time.Time)
	// Send sends a request through another instance. The error is a NotRunError if the request
	// certainly has not run.
	Send(ctx context.Context, request rerouter.Request) (*pollencrank.Answer, error)
}

// noRerouter never reroutes.
type noRerouter struct{}

func (noRerouter) IsCutOff(string) bool                     { return false }
func (noRerouter) IsDoubtful(string) bool                   { return false }
func (noRerouter) ObserveAnswer(string)                     {}
func (noRerouter) ObserveFailure(string, string, time.Time) {}
func (noRerouter) Send(context.Context, rerouter.Request) (*pollencrank.Answer, error) {
	return nil, pollencrank.NotRun(pollencrank.ReasonCutOff, "there is no other instance")
}

// tries returns the number of attempts that have been made.
func (c *Call) tries() int { return c.sent + c.unreached }

// maxAttempts is the number of servers that the call may be sent to.
func (c *Call) maxAttempts() int {
	if c.Hop != nil {
		return min(c.Hop.MaxAttempts, c.Route.MaxAttempts)
	}
	return c.Route.MaxAttempts
}

// mayTry reports whether a further attempt may be made.
func (c *Call) mayTry() bool { return c.sent < c.maxAttempts() && c.unreached < maxUnreached }

// giveUp ends a call without a further attempt, and returns the error.
func (c *Call) giveUp(err error) error {
	c.isOver = true
	return err
}

// deposit counts a call for the retry budget, once in the whole fleet.
func (f *Forwarder) deposit(call *Call, now time.Time) {
	if call.isCounted || (call.Hop != nil && call.Hop.IsCounted) {
		return
	}
	call.isCounted = true
	f.config.Budgets.Deposit(call.service.Name, now)
}

// isUnreached reports whether an attempt failed because there was no connection to the
// server.
func isUnreached(err error) bool {
	var notRun *pollencrank.NotRunError
	return errors.As(err, &notRun) && notRun.Reason == pollencrank.ReasonServerUnreachable
}

// observeLink records whether the link to a server works.
func (f *Forwarder) observeLink(ctx context.Context, call *Call, server registrar.Server, err error, now time.Time) {
	if err == nil {
		f.config.Rerouter.ObserveAnswer(call.service.Name)
		return
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	switch reasonOf(err) {
	case pollencrank.ReasonServerUnreachable, pollencrank.ReasonServerFailed, pollencrank.ReasonDeadlinePassed:
		f.config.Rerouter.ObserveFailure(call.service.Name, server.ID, now)
	default:
		f.config.Rerouter.ObserveAnswer(call.service.Name)
	}
}

// watchSilence records a failure of the link to a server if an attempt is not answered in
// time. The returned function ends the watch.
func (f *Forwarder) watchSilence(call *Call, server registrar.Server, expected time.Duration) (stop func() bool) {
	service := call.service.Name
	timer := time.AfterFunc(max(minSilence, silenceFactor*expected), func() {
		f.config.Rerouter.ObserveFailure(service, server.ID, time.Now())
	})
	return timer.Stop
}

func reasonOf(err error) pollencrank.Reason {
	var notRun *pollencrank.NotRunError
	if errors.As(err, &notRun) {
		return notRun.Reason
	}
	var unknown *pollencrank.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return unknown.Reason
	}
	return ""
}

// tryThroughPeer makes the next attempt at a call through another instance.
func (f *Forwarder) tryThroughPeer(ctx context.Context, call *Call, now time.Time) (*pollencrank.Answer, error) {
	if call.Hop != nil {
		return nil, call.giveUp(pollencrank.NotRun(pollencrank.ReasonCutOff, "this instance reaches no server of %s either", call.service.Name))
	}
	if err := f.checkDeadline(call, now); err != nil {
		return nil, call.giveUp(err)
	}
	if call.sent > 0 {
		if err := f.withdraw(call, now); err != nil {
			return nil, call.giveUp(err)
		}
	}
	answer, err := f.reroute(ctx, call)
	if pollencrank.IsNotRun(err) {
		return nil, call.giveUp(err)
	}
	return answer, err
}

// end ends a call whose attempts have failed. One that was not run for want of a connection
// goes through another instance; if it has come from one, that one may ask a third.
func (f *Forwarder) end(ctx context.Context, call *Call, err error) (*pollencrank.Answer, error) {
	if !call.lacksConnection(err) || ctx.Err() != nil {
		return nil, err
	}
	if call.Hop != nil {
		return nil, pollencrank.NotRun(pollencrank.ReasonCutOff, "this instance reaches no server of %s either: %v", call.service.Name, err)
	}
	if call.isRerouted || !call.hasWholeBody() || !time.Now().Before(call.Request.Deadline) {
		return nil, err
	}
	return f.reroute(ctx, call)
}

// lacksConnection reports whether a call was not run because servers could not be reached.
func (c *Call) lacksConnection(err error) bool {
	if !pollencrank.IsNotRun(err) {
		return false
	}
	reason := reasonOf(err)
	return reason == pollencrank.ReasonServerUnreachable || (reason == pollencrank.ReasonNoServer && c.sawUnreachable)
}

// hasWholeBody reports whether the body can be sent more than once.
func (c *Call) hasWholeBody() bool { return c.Body != nil || c.Request.ContentLength == 0 }

// reroute sends a call through another instance.
func (f *Forwarder) reroute(ctx context.Context, call *Call) (*pollencrank.Answer, error) {
	request := rerouter.Request{
		Request:   call.Request,
		Service:   call.service.Name,
		IsAllowed: call.allowsRegion,
		Hop:       call.hop(),
	}
	if call.hasWholeBody() {
		request.NewBody = call.newRequest
	}
	if err := f.beforeSend(ctx, call); err != nil {
		return nil, call.giveUp(err)
	}
	if call.TokenUntil != nil {
		request.Hop.TokenUntil = call.TokenUntil()
	}
	call.isRerouted = true
	if call.tries() > 0 {
		f.config.Log.Info("the request goes through another instance", recorder.EventRequestRetried.Attr(),
			slog.String("request", call.Request.ID), slog.String("route", call.Route.Name), slog.Int("attempt", call.tries()))
	}
	answer, err := f.config.Rerouter.Send(ctx, request)
	if err == nil {
		err = verifyAnswer(answer, call.Request)
	}
	if err == nil {
		_, err = f.bufferAnswer(ctx, call, answer, nil)
	}
	if !pollencrank.IsNotRun(err) {
		call.sent++
	}
	if err != nil {
		return nil, err
	}
	call.Course.Through = answer.Server
	return answer, nil
}

// newRequest returns the request with its body from the begin.
func (c *Call) newRequest() *pollencrank.Request {
	request := *c.Request
	if c.Body != nil {
		request.Body = bytes.NewReader(c.Body)
	}
	return &request
}
