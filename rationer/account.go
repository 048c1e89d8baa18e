package rationer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/router"
)

const (
	// maxSpentPause is the longest time for which a spent holder is not asked: its part may
	// have grown in the meantime.
	maxSpentPause = time.Second
	// minSpentPause is the shortest such time.
	minSpentPause = 5 * time.Millisecond
	// unreachableRetryDelay is the time after which a caller may retry if no holder could
	// be asked.
	unreachableRetryDelay = 300 * time.Millisecond
	// demandTime is the time constant with which the observed demand decays.
	demandTime = time.Second
	// minValidity is the least validity left of a token borrowed in advance when it is taken.
	minValidity = 50 * time.Millisecond
)

// account is what this instance knows of a tenant's quota.
type account struct {
	name    string
	metrics accountMetrics

	mu     sync.Mutex
	bucket bucket
	others []*otherHolder
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

// otherHolder is another holder of the quota, with the requests that wait for tokens of it.
type otherHolder struct {
	id string
	// It is not asked until spentUntil and silentUntil. At spentAt it said that it expects
	// the next token at retryAt.
	spentUntil, silentUntil, retryAt, spentAt time.Time

	waiters  []*waiter
	isAsking bool
	// flight is how long the last loan took.
	flight time.Duration
	// stock is the number of borrowed tokens that no request has taken yet, and stockUntil
	// the end of their validity.
	stock      int
	stockUntil time.Time
}

func (o *otherHolder) mayAsk(now time.Time) bool {
	return !now.Before(o.spentUntil) && !now.Before(o.silentUntil)
}

// otherHolderOf returns what is known of a holder. The lock is held.
func (a *account) otherHolderOf(id string) *otherHolder {
	for _, o := range a.others {
		if o.id == id {
			return o
		}
	}
	o := &otherHolder{id: id}
	a.others = append(a.others, o)
	return o
}

// dropOtherHolders forgets the instances that no longer hold a part. The lock is held.
func (a *account) dropOtherHolders(division apportioner.Division) {
	if len(a.others) <= len(division.Holders) {
		return
	}
	a.others = slices.DeleteFunc(a.others, func(o *otherHolder) bool { return !o.isAsking && !isHolder(division, o.id) })
}

func isHolder(division apportioner.Division, id string) bool {
	return slices.ContainsFunc(division.Holders, func(h apportioner.Member) bool { return h.ID == id })
}

// takeOwn takes a token of this instance's own part. The lock is held.
func (a *account) takeOwn(part part, division apportioner.Division, now time.Time) bool {
	if !a.hasOwn(part, division, now) {
		return false
	}
	a.metrics.taken.Inc()
	return a.bucket.take()
}

// hasOwn reports whether there is a token of the own part. The lock is held.
func (a *account) hasOwn(part part, division apportioner.Division, now time.Time) bool {
	if !division.IsHolder {
		return false
	}
	a.bucket.fill(part, division.From, now)
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
	o := a.stocked(clock)
	if o == nil {
		return time.Time{}, false
	}
	o.stock--
	return o.stockUntil, true
}

// stocked returns a holder with tokens that were borrowed in advance and are valid for a
// while, or nil. The lock is held.
func (a *account) stocked(clock time.Time) *otherHolder {
	for _, o := range a.others {
		if o.stock > 0 && o.stockUntil.Sub(clock) > minValidity {
			return o
		}
	}
	return nil
}

// addStock keeps borrowed tokens that no request waits for. Older ones that are left
// shorten the validity of all of them.
func (o *otherHolder) addStock(count int, expiresAt, clock time.Time) {
	if o.stock > 0 && o.stockUntil.Sub(clock) > minValidity {
		o.stock += count
		return
	}
	o.stock, o.stockUntil = count, expiresAt
}

// chooseHolder returns the nearest of the other holders that may be asked and has not been
// tried, or nil. Of equally near ones it chooses at random. The lock is held.
func (a *account) chooseHolder(division apportioner.Division, tried []string, self apportioner.Member, now time.Time) *otherHolder {
	a.dropOtherHolders(division)
	var chosen *otherHolder
	least, equals := 0, 0
	for i := range division.Holders {
		holder := &division.Holders[i]
		if holder.ID == self.ID || slices.Contains(tried, holder.ID) {
			continue
		}
		o := a.otherHolderOf(holder.ID)
		if !o.mayAsk(now) {
			continue
		}
		distance := self.DistanceTo(*holder)
		if chosen == nil || distance < least {
			chosen, least, equals = o, distance, 1
			continue
		}
		if distance == least {
			equals++
			if rand.IntN(equals) == 0 {
				chosen = o
			}
		}
	}
	return chosen
}

// refuse returns the refusal of a request: the quota is spent, or no holder could be asked.
// Callers that are refused one after the other are asked to come back one token after the
// other. The lock is held.
func (a *account) refuse(part part, division apportioner.Division, quota router.Quota, now time.Time) *pollencrank.NotRunError {
	next, isKnown := a.nextAt(part, division, now)
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
func (a *account) nextAt(part part, division apportioner.Division, now time.Time) (time.Time, bool) {
	next, isKnown := time.Time{}, false
	add := func(at time.Time) {
		if !isKnown || at.Before(next) {
			next, isKnown = at, true
		}
	}
	if division.IsHolder {
		a.bucket.fill(part, division.From, now)
		add(a.bucket.nextAt(now))
	}
	for _, o := range a.others {
		if now.Sub(o.spentAt) <= maxSpentPause && isHolder(division, o.id) {
			add(o.retryAt)
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
