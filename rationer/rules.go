package rationer

import (
	"math"
	"time"

	"github.com/pollencrank/pollencrank/router"
)

const (
	// lifetimeShare is the share of the excess that the lifetime of tokens uses. The rest is
	// for requests that arrive closer together than they were sent.
	lifetimeShare = 0.8
	// minLifetime and maxLifetime bound the lifetime of tokens: it must allow for a round
	// trip between regions.
	minLifetime = 200 * time.Millisecond
	maxLifetime = 5 * time.Second
	// slackShare is the share of the slack by which the buckets of a quota may together hold
	// more than its burst, so that each holds whole tokens. The rest is for requests that
	// arrive closer together than they were sent.
	slackShare = 0.6
	// minWindow is the shortest window that is accepted.
	minWindow = 100 * time.Millisecond
)

// Bounds are the bounds of the requests of a tenant within any Window, over all instances:
// its rate times the window and its burst, increased by the share Excess, and Slack more.
type Bounds struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// rules are what follows from Bounds.
type rules struct {
	Bounds
	// lifetime is how long a token is valid.
	lifetime time.Duration
}

func newRules(bounds Bounds) rules {
	bounds.Window = max(bounds.Window, minWindow)
	bounds.Excess = clampNumber(bounds.Excess)
	bounds.Slack = clampNumber(bounds.Slack)
	lifetime := lifetimeShare * bounds.Excess * bounds.Window.Seconds()
	lifetime = min(max(lifetime, minLifetime.Seconds()), maxLifetime.Seconds())
	return rules{Bounds: bounds, lifetime: toDuration(lifetime)}
}

// clampNumber returns a number that is neither negative nor infinite nor NaN.
func clampNumber(x float64) float64 {
	if math.IsNaN(x) || x < 0 {
		return 0
	}
	return min(x, math.MaxFloat32)
}

// toDuration converts seconds, of at most an hour.
func toDuration(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, 0), 3600) * float64(time.Second))
}

// isLimited reports whether a quota has a limit that can be kept.
func isLimited(q router.Quota) bool {
	return q.IsLimited() && !math.IsInf(q.PerSecond, 1)
}

// part is the size of a holder's bucket.
type part struct {
	rate, capacity float64
}

// partOf returns one of a number of equal parts of a quota. The rate is the quota's, unless
// the tokens that are issued within a window and the lifetime before it would exceed the
// bound.
func (r *rules) partOf(quota router.Quota, parts int) part {
	count := float64(max(parts, 1))
	rate, burst := clampNumber(quota.PerSecond), clampNumber(quota.Burst)
	capacity := max(burst+slackShare*r.Slack, count)
	window := r.Window.Seconds()
	bound := (rate*window+burst)*(1+r.Excess) + r.Slack
	rate = min(rate, max(bound-capacity, 0)/(window+r.lifetime.Seconds()))
	return part{rate: rate / count, capacity: capacity / count}
}
