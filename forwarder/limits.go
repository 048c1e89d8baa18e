package forwarder

import (
	"context"
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
	nextAt := f.config.Limits.NextAt(limit, call.Route.Priority, call.failedLoans < maxLoans, now)
	if isPreferred && nextAt.After(now) {
		f.config.Limits.RecordUnmet(limit, call.Route.Priority, now)
	}
	return nextAt
}

// takeToken takes a token for one request to a server, if the server names a rate limit.
func (f *Forwarder) takeToken(ctx context.Context, call *Call, b *registrar.Backend) bool {
	limit, isLimited := limitOf(b)
	if !isLimited {
		return true
	}
	if !f.config.Limits.Take(ctx, limit, call.Route.Priority) {
		limitedHeldBack.Inc()
		call.failedLoans++
		return false
	}
	limitedSent.Inc()
	return true
}

// refuseLimited returns a NotRunError for a call that the servers' rate limits leave no
// room for until the given time.
func refuseLimited(call *Call, until, now time.Time) error {
	return refusal(pollencrank.ReasonServerLimit, until.Sub(now), now,
		"no server of %s takes the request within its rate limit", call.service.Name)
}

// earliest returns the earlier of two times, of which zero means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
