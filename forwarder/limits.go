package forwarder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/registrar"
)

// maxLoans is the number of servers for which a call may try to borrow a token, because
// each try takes a round trip to another instance.
const maxLoans = 3

var (
	limitedSent     = metrics.GetOrCreateCounter(`pollencrank_limited_requests_total{result="sent"}`)
	limitedHeldBack = metrics.GetOrCreateCounter(`pollencrank_limited_requests_total{result="heldBack"}`)
)

// limitOf returns the rate limit that a server names, and reports false if it names none.
func limitOf(b *registrar.Backend) (apportioner.Limit, bool) {
	known := b.Limit()
	if !known.IsNamed {
		return apportioner.Limit{}, false
	}
	server := b.Server()
	return apportioner.Limit{
		Server:    apportioner.Server{ID: server.ID, Incarnation: server.Incarnation},
		PerSecond: known.PerSecond,
	}, true
}

// nextTokenAt returns when a server may get a request of the call's rank within its rate
// limit. isPreferred says that the server is among the first ones for the call's object.
func (f *Forwarder) nextTokenAt(call *Call, b *registrar.Backend, isPreferred bool, now time.Time) time.Time {
	limit, isLimited := limitOf(b)
	if !isLimited {
		return now
	}
	nextAt := f.config.Limits.NextAt(limit, call.Priority(), call.failedLoans < maxLoans, now)
	if isPreferred && nextAt.After(now) {
		f.config.Limits.RecordUnmet(limit, call.Priority(), now)
	}
	return nextAt
}

// takeToken takes a token for one request to a server, if the server names a rate limit.
func (f *Forwarder) takeToken(ctx context.Context, call *Call, b *registrar.Backend) bool {
	limit, isLimited := limitOf(b)
	if !isLimited {
		return true
	}
	if !f.config.Limits.Take(ctx, limit, call.Priority()) {
		limitedHeldBack.Inc()
		call.failedLoans++
		return false
	}
	limitedSent.Inc()
	return true
}

// absence is when, and why not before, the first of the servers that cannot get a request
// now can get one. It is zero if none is known.
type absence struct {
	reason pollencrank.Reason
	until  time.Time
}

func (a *absence) add(reason pollencrank.Reason, until time.Time) {
	if a.until.IsZero() || until.Before(a.until) {
		*a = absence{reason: reason, until: until}
	}
}

// addPause adds an unusable server if it only pauses.
func (a *absence) addPause(b *registrar.Backend, now time.Time) {
	until := b.PausedUntil()
	if until.After(now) && b.IsUsable(until) {
		a.add(pollencrank.ReasonServerPaused, until)
	}
}

func (a *absence) merge(other absence) {
	if !other.until.IsZero() {
		a.add(other.reason, other.until)
	}
}

// refuse returns a NotRunError that asks the caller to come back when the first server can
// get a request, or up to half as long again later.
func (a *absence) refuse(call *Call, now time.Time) error {
	err := pollencrank.NotRun(a.reason, "no server of %s takes the request before %s", call.service.Name,
		a.until.Format(time.StampMilli))
	pause := max(a.until.Sub(now), minRetryDelay)
	err.RetryAt = now.Add(pause + rand.N(pause/2))
	return err
}
