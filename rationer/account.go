package rationer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/router"
)

const (
	// maxSpentPause is how long a holder is not asked at most after it was spent: it may
	// have got a larger part in the meantime.
	maxSpentPause = time.Second
	// minSpentPause is how long it is not asked at least.
	minSpentPause = 5 * time.Millisecond
	// unreachableRetryDelay is the time after which a caller may retry if no holder could
	// be asked.
	unreachableRetryDelay = 300 * time.Millisecond
	// demandTime is the time constant with which the observed demand decays.
	demandTime = time.Second
	// minValidity is the validity that a token borrowed in advance has at least when it is
	// taken.
	minValidity = 50 * time.Millisecond
)

// account is what this instance knows of a tenant's quota.
type account struct {
	name    string
	metrics accountMetrics

	mu     sync.Mutex
	bucket bucket
	lines  []*line
	usedAt time.Time
	// demand is the number of requests a second, with a decay, as of demandAt.
	demand   float64
	demandAt time.Time
	// turnAt is when the last caller that was refused is asked to come back.
	turnAt time.Time
	// refusedAt is when a caller was last refused. isSpent says that this was logged, and
	// refusals counts the refusals since.
	refusedAt time.Time
	isSpent   bool
	refusals  int
}

// accountMetrics are the counters of a tenant.
type accountMetrics struct {
	taken, borrowed, refused, unreachable, lent, renewed *metrics.Counter
}

func newAccount(name string) *account {
	counter := func(result string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`pollencrank_quota_requests_total{result=%q,tenant=%q}`, result, name))
	}
	return &account{name: name, metrics: accountMetrics{
		taken: counter("taken"), borrowed: counter("borrowed"), refused: counter("refused"),
		unreachable: counter("unreachable"), renewed: counter("renewed"),
		lent: metrics.GetOrCreateCounter(fmt.Sprintf(`pollencrank_quota_lent_total{tenant=%q}`, name)),
	}}
}

// line is another holder of the quota, with the requests that wait for tokens of it.
type line struct {
	id string
	// spentUntil and silentUntil are until when it is not asked, and retryAt is when it
	// expects the next token, as it said at spentAt.
	spentUntil, silentUntil, retryAt, spentAt time.Time

	waiting  []*ask
	isAsking bool
	// flight is how long the last loan took.
	flight time.Duration
	// stock is the number of borrowed tokens that no request has taken yet, and stockUntil
	// the end of their validity.
	stock      int
	stockUntil time.Time
}

func (l *line) mayAsk(now time.Time) bool {
	return !now.Before(l.spentUntil) && !now.Before(l.silentUntil)
}

// lineOf returns the line of a holder. The lock is held.
func (a *account) lineOf(id string) *line {
	for _, l := range a.lines {
		if l.id == id {
			return l
		}
	}
	l := &line{id: id}
	a.lines = append(a.lines, l)
	return l
}

// dropLines forgets the lines of instances that no longer hold a part. The lock is held.
func (a *account) dropLines(holding apportioner.Holding) {
	if len(a.lines) <= len(holding.Holders) {
		return
	}
	var kept []*line
	for _, l := range a.lines {
		if l.isAsking || isAmong(holding.Holders, l.id) {
			kept = append(kept, l)
		}
	}
	a.lines = kept
}

func isAmong(members []apportioner.Member, id string) bool {
	for i := range members {
		if members[i].ID == id {
			return true
		}
	}
	return false
}

// takeOwn takes a token of this instance's own part. The lock is held.
func (a *account) takeOwn(part part, holding apportioner.Holding, now time.Time) bool {
	if !a.hasOwn(part, holding, now) {
		return false
	}
	a.metrics.taken.Inc()
	return a.bucket.take()
}

// hasOwn reports whether there is a token of the own part. The lock is held.
func (a *account) hasOwn(part part, holding apportioner.Holding, now time.Time) bool {
	if !holding.IsHolder {
		return false
	}
	a.bucket.fill(part, holding.From, now)
	return a.bucket.tokens >= 1
}

// countDemand counts a request of the tenant.
func (a *account) countDemand(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand = a.demandNow(now) + 1/demandTime.Seconds()
	a.demandAt = now
}

// demandNow returns the number of requests a second. The lock is held.
func (a *account) demandNow(now time.Time) float64 {
	return a.demand * math.Exp(-max(now.Sub(a.demandAt), 0).Seconds()/demandTime.Seconds())
}

// takeStock takes a token that was borrowed in advance. The lock is held.
func (a *account) takeStock(clock time.Time) (time.Time, bool) {
	l := a.stocked(clock)
	if l == nil {
		return time.Time{}, false
	}
	l.stock--
	return l.stockUntil, true
}

// stocked returns a line with tokens that were borrowed in advance and are valid for a
// while, or nil. The lock is held.
func (a *account) stocked(clock time.Time) *line {
	for _, l := range a.lines {
		if l.stock > 0 && l.stockUntil.Sub(clock) > minValidity {
			return l
		}
	}
	return nil
}

// addStock keeps borrowed tokens that no request waits for. Older ones that are left
// shorten the validity of all of them.
func (l *line) addStock(count int, expiresAt, clock time.Time) {
	if l.stock > 0 && l.stockUntil.Sub(clock) > minValidity {
		l.stock += count
		return
	}
	l.stock, l.stockUntil = count, expiresAt
}

// chooseHolder returns the nearest of the other holders that may be asked and has not been
// tried, or nil. Of equally near ones it chooses at random. The lock is held.
func (a *account) chooseHolder(holding apportioner.Holding, tried []string, self apportioner.Member, now time.Time) *line {
	a.dropLines(holding)
	var chosen *line
	least, equals := 0, 0
	for i := range holding.Holders {
		holder := &holding.Holders[i]
		if holder.ID == self.ID || contains(tried, holder.ID) {
			continue
		}
		l := a.lineOf(holder.ID)
		if !l.mayAsk(now) {
			continue
		}
		distance := self.DistanceTo(*holder)
		if chosen == nil || distance < least {
			chosen, least, equals = l, distance, 1
			continue
		}
		if distance == least {
			equals++
			if rand.IntN(equals) == 0 {
				chosen = l
			}
		}
	}
	return chosen
}

func contains(ids []string, id string) bool {
	for _, known := range ids {
		if known == id {
			return true
		}
	}
	return false
}

// refuse returns the refusal of a request: the quota is spent, or no holder could be asked.
// Callers that are refused one after the other are asked to come back one token after the
// other. The lock is held.
func (a *account) refuse(part part, holding apportioner.Holding, quota router.Quota, now time.Time) *pollencrank.NotRunError {
	next, isKnown := a.nextAt(part, holding, now)
	if !isKnown {
		a.metrics.unreachable.Inc()
		err := pollencrank.NotRun(pollencrank.ReasonQuotaUnreachable, "no holder of the quota of tenant %s answers", a.name)
		err.RetryAt = now.Add(unreachableRetryDelay + rand.N(unreachableRetryDelay))
		return err
	}
	a.metrics.refused.Inc()
	a.refusedAt = now
	a.refusals++
	a.turnAt = nextInTurn(a.turnAt, next, quota.PerSecond)
	err := pollencrank.NotRun(pollencrank.ReasonQuotaSpent, "the quota of tenant %s is spent", a.name)
	err.RetryAt = a.turnAt
	return err
}

// nextAt returns when the next token is expected at any holder, and reports false if none
// of them has answered lately. The lock is held.
func (a *account) nextAt(part part, holding apportioner.Holding, now time.Time) (time.Time, bool) {
	next, isKnown := time.Time{}, false
	add := func(at time.Time) {
		if !isKnown || at.Before(next) {
			next, isKnown = at, true
		}
	}
	if holding.IsHolder {
		a.bucket.fill(part, holding.From, now)
		add(a.bucket.nextAt(now))
	}
	for _, l := range a.lines {
		if now.Sub(l.spentAt) <= maxSpentPause && isAmong(holding.Holders, l.id) {
			add(l.retryAt)
		}
	}
	if next.Before(now) {
		next = now
	}
	return next, isKnown
}

// use records that the account is used. Rationer.mu is held.
func (a *account) use(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usedAt = now
}

// isIdle reports whether the account has not been used for a while. Rationer.mu is held.
func (a *account) isIdle(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.usedAt) > accountMemory
}

// abandoned returns the refusal of a request whose time has passed while it waited for a
// token.
func abandoned(now time.Time) error {
	err := pollencrank.NotRun(pollencrank.ReasonDeadlinePassed, "the deadline passed while a token of the quota was borrowed")
	err.RetryAt = now.Add(unreachableRetryDelay)
	return err
}
