// Package rationer keeps the quotas of tenants over the whole fleet.
//
// Up to three instances hold an equal part of a tenant's quota each, as a token bucket;
// apportioner.Membership says which ones, and since when. Every request of the tenant takes
// a token of exactly one bucket. A holder takes it locally. The other instances borrow it
// from the nearest holder that is neither spent nor silent, and a holder whose own part is
// spent borrows from the other holders.
//
// A token is valid for a short time, counted from before it was asked for, and permits a
// request to be sent once. A request that waits for longer until it is sent, or that is sent
// again, takes another one. docs/design/quotas.md proves the
// bound that follows for all instances together.
//
// # Usage
//
//	r := rationer.New(rationer.Config{Fleet: membership, Lender: peers, Find: table.FindTenant, Bounds: bounds})
//	token, err := r.Take(ctx, tenant)
//	...
//	err = r.Renew(ctx, tenant, &token)
//	if err == nil {
//		// The request may be sent to a server now.
//	}
package rationer

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/router"
)

const (
	// borrowTimeout limits the time to borrow from one holder.
	borrowTimeout = 200 * time.Millisecond
	// silentPause is how long a holder is not asked after it did not answer.
	silentPause = 700 * time.Millisecond
	// maxTries is the number of holders that are asked for one request.
	maxTries = 3
	// maxCount is the largest number of tokens in one loan.
	maxCount = 256
	// minSuspension is the suspension of the machine from which on this instance forgets
	// what it holds. Shorter ones cannot be told from the error of the measurement.
	minSuspension = 50 * time.Millisecond
	// accountMemory is how long the state of a tenant is kept that sends nothing. It is
	// longer than any window in which a quota is counted.
	accountMemory = 10 * time.Minute
	// spentMemory is the time without a refusal after which a quota counts as free again.
	spentMemory = 5 * time.Second
)

// Fleet says which instances hold a part of a quota. apportioner.Membership implements it.
type Fleet interface {
	Division(bound string, now time.Time) apportioner.Division
	// RecordSuspension records that the machine was suspended.
	RecordSuspension(now time.Time)
	Self() apportioner.Member
}

// Loan is the answer of a holder to a request for tokens.
type Loan struct {
	// Granted is the number of tokens.
	Granted int
	// RetryAfter is the time until the next token may be there, if fewer tokens than asked
	// for are granted.
	RetryAfter time.Duration
}

// Lender requests tokens from other instances.
type Lender interface {
	Borrow(ctx context.Context, holder, tenant string, count int) (Loan, error)
}

// Config is the configuration of a Rationer.
type Config struct {
	Fleet  Fleet
	Lender Lender
	// Find returns the tenant with a name in the configuration in force, or nil.
	Find   func(name string) *router.Tenant
	Bounds Bounds
	// Suspended, if set, returns the total time for which the machine has been suspended.
	Suspended func() time.Duration
	// Log is the log. The default discards all.
	Log *slog.Logger
	// Now is the clock. The default is time.Now.
	Now func() time.Time
}

// Rationer keeps this instance's parts of the quotas. It is safe for concurrent use.
type Rationer struct {
	config Config
	rules  atomic.Pointer[rules]
	// suspended is the total suspension of the machine that was last read.
	suspended atomic.Int64
	// isStopping is set by Stop.
	isStopping atomic.Bool

	mu       sync.RWMutex
	accounts map[string]*account
}

// New returns a Rationer.
func New(config Config) *Rationer {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	if config.Suspended == nil {
		config.Suspended = func() time.Duration { return 0 }
	}
	r := &Rationer{config: config, accounts: map[string]*account{}}
	r.SetBounds(config.Bounds)
	return r
}

// SetBounds changes the bounds in force.
func (r *Rationer) SetBounds(bounds Bounds) {
	rules := newRules(bounds)
	r.rules.Store(&rules)
}

// Stop lets this instance hold no part any more, because a planned stop begins: it may hear
// no news of the members from now on. It goes on borrowing.
func (r *Rationer) Stop() { r.isStopping.Store(true) }

// division returns who holds the parts of a quota.
func (r *Rationer) division(tenant string, now time.Time) apportioner.Division {
	division := r.config.Fleet.Division(tenant, now)
	division.IsHolder = division.IsHolder && !r.isStopping.Load()
	return division
}

// Token permits one request to be sent. The zero value is the token of a request without a
// quota.
type Token struct {
	// expiresAt is on the clock that includes suspensions of the machine.
	expiresAt time.Time
	// isUsed says that the request was sent with it.
	isUsed bool
}

// Take takes a token for one request of a tenant. The error is a pollencrank.NotRunError.
func (r *Rationer) Take(ctx context.Context, tenant *router.Tenant) (Token, error) {
	if tenant == nil || !isLimited(tenant.Quota) {
		return Token{}, nil
	}
	began := r.config.Now()
	a := r.accountOf(tenant.Name, began)
	a.countDemand(began)
	var tried [maxTries]string
	for tries := 0; ; tries++ {
		now, clock := r.read()
		division := r.division(tenant.Name, now)
		a.mu.Lock()
		if a.takeOwn(r.ownPart(tenant, division), division, now) {
			a.mu.Unlock()
			return Token{expiresAt: clock.Add(r.rules.Load().lifetime)}, nil
		}
		if expiresAt, isThere := a.takeStock(clock); isThere {
			a.mu.Unlock()
			return Token{expiresAt: expiresAt}, nil
		}
		holder := a.chooseHolder(division, tried[:min(tries, maxTries)], r.config.Fleet.Self(), now)
		if holder == nil || tries == maxTries {
			err := a.refuse(r.ownPart(tenant, division), division, tenant.Quota, now)
			a.mu.Unlock()
			r.logSpent(a, tenant, err)
			return Token{}, err
		}
		tried[tries] = holder.id
		waiting := r.join(a, holder)
		a.mu.Unlock()
		expiresAt, isGranted := waiting.wait(ctx)
		if isGranted {
			return Token{expiresAt: expiresAt}, nil
		}
		if ctx.Err() != nil {
			return Token{}, abandoned(r.config.Now())
		}
	}
}

// Renew has to be called right before a request is sent. It takes another token if the
// request's token is no longer valid, because the request has waited, or if the request has
// been sent with it before. It uses the token.
func (r *Rationer) Renew(ctx context.Context, tenant *router.Tenant, token *Token) error {
	for !token.expiresAt.IsZero() {
		if _, clock := r.read(); !token.isUsed && clock.Before(token.expiresAt) {
			token.isUsed = true
			return nil
		}
		next, err := r.Take(ctx, tenant)
		if err != nil {
			return err
		}
		r.accountOf(tenant.Name, r.config.Now()).metrics.renewed.Inc()
		*token = next
	}
	return nil
}

// Validity returns for how long a request may still be sent with its token.
func (r *Rationer) Validity(token Token) time.Duration {
	_, clock := r.read()
	return max(token.expiresAt.Sub(clock), 0)
}

// Accept returns a token that another instance has taken for a request that it sends on, and
// that is valid for a while.
func (r *Rationer) Accept(validity time.Duration) Token {
	_, clock := r.read()
	return Token{expiresAt: clock.Add(min(max(validity, 0), r.rules.Load().lifetime))}
}

// Check returns the error with which Take would refuse a request at once, or nil.
func (r *Rationer) Check(tenant *router.Tenant) error {
	if tenant == nil || !isLimited(tenant.Quota) {
		return nil
	}
	now, clock := r.read()
	division := r.division(tenant.Name, now)
	a := r.accountOf(tenant.Name, now)
	a.mu.Lock()
	part := r.ownPart(tenant, division)
	if a.hasOwn(part, division, now) || a.stocked(clock) != nil || a.chooseHolder(division, nil, r.config.Fleet.Self(), now) != nil {
		a.mu.Unlock()
		return nil
	}
	err := a.refuse(part, division, tenant.Quota, now)
	a.mu.Unlock()
	r.logSpent(a, tenant, err)
	return err
}

// Lend grants tokens of this instance's part to another instance. An instance that holds no
// part, or that does not know the tenant, reports false.
func (r *Rationer) Lend(name string, count int) (Loan, bool) {
	tenant := r.config.Find(name)
	if tenant == nil || !isLimited(tenant.Quota) {
		return Loan{}, false
	}
	now, _ := r.read()
	division := r.division(name, now)
	if !division.IsHolder || count <= 0 {
		return Loan{}, false
	}
	a := r.accountOf(name, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.fill(r.ownPart(tenant, division), division.From, now)
	loan := a.bucket.lend(min(count, maxCount), now)
	a.metrics.lent.Add(loan.Granted)
	return loan, true
}

// ownPart returns the size of a holder's part of a tenant's quota in force, which may be
// newer than the request's.
func (r *Rationer) ownPart(tenant *router.Tenant, division apportioner.Division) part {
	if current := r.config.Find(tenant.Name); current != nil {
		tenant = current
	}
	return r.rules.Load().partOf(tenant.Quota, division.Parts)
}

// read returns the time, and the time on a clock that includes suspensions of the machine.
// After a suspension this instance holds nothing until it has heard of the others again.
func (r *Rationer) read() (now, clock time.Time) {
	now = r.config.Now()
	suspended := r.config.Suspended()
	if known := r.suspended.Load(); suspended > time.Duration(known)+minSuspension {
		// Whoever sees the new value must find the suspension recorded.
		r.config.Fleet.RecordSuspension(now)
		r.suspended.CompareAndSwap(known, int64(suspended))
	}
	return now, now.Add(suspended)
}

// accountOf returns the account of a tenant, which counts as used now: Sweep must not delete
// it before the caller has locked it.
func (r *Rationer) accountOf(name string, now time.Time) *account {
	if a := r.useKnown(name, now); a != nil {
		return a
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.accounts[name]
	if a == nil {
		a = newAccount(name)
		r.accounts[name] = a
	}
	a.use(now)
	return a
}

// useKnown returns the account of a tenant if there is one, or nil.
func (r *Rationer) useKnown(name string, now time.Time) *account {
	r.mu.RLock()
	defer r.mu.RUnlock()
	a := r.accounts[name]
	if a != nil {
		a.use(now)
	}
	return a
}

// Sweep forgets the tenants that have sent nothing for a while, and logs the end of
// refusals. It has to be called periodically.
func (r *Rationer) Sweep() {
	now, _ := r.read()
	r.mu.Lock()
	accounts := make([]*account, 0, len(r.accounts))
	for name, a := range r.accounts {
		if a.isIdle(now) {
			delete(r.accounts, name)
			continue
		}
		accounts = append(accounts, a)
	}
	r.mu.Unlock()
	for _, a := range accounts {
		r.logFree(a, now)
	}
}
