// Package apportioner divides the rate limit that a backend server names among the
// instances, so that all of them together keep it.
//
// A few instances, chosen by rendezvous hashing among the members of the fleet, hold a
// share of the limit as a token bucket. Their number grows with the limit, because each
// of them may send one request at any moment. The others borrow single tokens from a
// holder. Every request to the server takes a token of exactly one bucket, so the sum of
// the buckets bounds what the server gets.
//
// Instances may disagree for a while about who the members are. A member that is gone
// therefore counts for settleTime longer, and an instance that has just started holds
// nothing for as long.
//
// # Usage
//
//	a := apportioner.New(apportioner.Config{Self: self, Lender: peers, StartedAt: started})
//	a.SetMembers(members, now)
//	limit := apportioner.Limit{Server: server, PerSecond: 3.2}
//	if !a.NextAt(limit, rank, true, now).After(now) && a.Take(ctx, limit, rank) {
//		// One request may be sent to the server.
//	}
package apportioner

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// limitShare is the share of a limit that is used. It is below 1 because requests do
	// not reach the server in the same intervals in which they are sent.
	limitShare = 0.9
	// minFleetRate is the least number of requests a second that all instances together
	// send to a server, so that they notice when its limit rises or ends.
	minFleetRate = 0.3
	// burstFactor and burstBase bound the capacity of all buckets of a server together:
	// burstFactor times the requests of one second, and burstBase more.
	burstFactor = 2
	burstBase   = 3
	// settleTime is how long news about a member takes at most to reach all instances.
	settleTime = 2 * time.Second
	// borrowTimeout bounds the time to borrow a token.
	borrowTimeout = 250 * time.Millisecond
	// lenderPause is the time for which nothing is borrowed for a server after its lender
	// did not answer.
	lenderPause = 500 * time.Millisecond
)

// Server identifies one start of a backend server.
type Server struct {
	ID          string
	Incarnation int64
}

// Limit is the rate limit of a server.
type Limit struct {
	Server    Server
	PerSecond float64
}

// Member is an instance of the fleet.
type Member struct {
	ID            string
	FailureDomain string
	Region        string
}

// Loan is the answer to a request for a token.
type Loan struct {
	IsGranted bool
	// RetryAt is when the next token may be available, if none is granted.
	RetryAt time.Time
}

// Lender requests tokens from other instances.
type Lender interface {
	Borrow(ctx context.Context, lender string, limit Limit, rank int) (Loan, error)
}

// Config is the configuration of an Apportioner.
type Config struct {
	Self   Member
	Lender Lender
	// StartedAt is when the instance started.
	StartedAt time.Time
	Log       *slog.Logger
	// Now is the clock. The default is time.Now.
	Now func() time.Time
}

// Apportioner holds the shares of this instance. It is safe for concurrent use.
type Apportioner struct {
	config Config

	mu sync.Mutex
	// members holds the members, and those that are gone until their time has passed.
	members map[string]memberState
	// changedAt is when the members last changed, and version counts their changes.
	changedAt time.Time
	version   uint64
	buckets   map[Server]*bucket
}

type memberState struct {
	Member
	// countsUntil is when a member that is gone no longer counts. It is zero for a
	// present member.
	countsUntil time.Time
}

// New returns an Apportioner that knows only its own instance.
func New(config Config) *Apportioner {
	if config.Now == nil {
		config.Now = time.Now
	}
	a := &Apportioner{config: config, buckets: map[Server]*bucket{}, changedAt: config.StartedAt}
	a.members = map[string]memberState{config.Self.ID: {Member: config.Self}}
	return a
}

// SetMembers sets the members of the fleet. This instance always counts as one.
func (a *Apportioner) SetMembers(members []Member, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	isListed := map[string]bool{a.config.Self.ID: true}
	for _, m := range members {
		isListed[m.ID] = true
		known, ok := a.members[m.ID]
		if !ok || !known.countsUntil.IsZero() {
			a.members[m.ID] = memberState{Member: m}
			a.recordChange(now)
		}
	}
	for id, m := range a.members {
		if !isListed[id] && m.countsUntil.IsZero() {
			m.countsUntil = now.Add(settleTime)
			a.members[id] = m
		}
	}
	a.removeGone(now)
}

// removeGone removes the members that no longer count. The lock is held.
func (a *Apportioner) removeGone(now time.Time) {
	for id, m := range a.members {
		if !m.countsUntil.IsZero() && !now.Before(m.countsUntil) {
			delete(a.members, id)
			a.recordChange(now)
		}
	}
}

func (a *Apportioner) recordChange(now time.Time) {
	a.changedAt = now
	a.version++
}

// chooseHolders chooses the holders of a server's limit. The lock is held.
func (a *Apportioner) chooseHolders(server Server, b *bucket, now time.Time) {
	all := make([]scoredMember, 0, len(a.members))
	for id, m := range a.members {
		all = append(all, scoredMember{Member: m.Member, score: pollencrank.RendezvousScore(server.ID, id)})
	}
	count := min(len(all), maxHolders(b.perSecond))
	slices.SortFunc(all, func(x, y scoredMember) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.ID, y.ID))
	})
	isHolder := false
	b.lenders = b.lenders[:0]
	for _, m := range all[:count] {
		if m.ID == a.config.Self.ID {
			isHolder = true
			continue
		}
		b.lenders = append(b.lenders, m.Member)
	}
	b.version = a.version
	b.setShare(isHolder, count, now)
}

type scoredMember struct {
	Member
	score uint64
}

// maxHolders returns how many instances may hold a share of a limit, so that the capacity
// of each bucket is at least one request.
func maxHolders(perSecond float64) int { return int(burstFactor*perSecond + burstBase) }

// bucketOf returns the bucket of a limit. The lock is held.
func (a *Apportioner) bucketOf(limit Limit, now time.Time) *bucket {
	b := a.buckets[limit.Server]
	if b == nil {
		b = &bucket{filledAt: a.heldSince()}
		a.buckets[limit.Server] = b
	}
	if !b.isChosen || b.version != a.version || b.perSecond != limit.PerSecond {
		b.perSecond = limit.PerSecond
		a.chooseHolders(limit.Server, b, now)
	}
	b.fill(now)
	return b
}

// heldSince returns from when on a new bucket of this instance may have been filled: since
// then no other instance can have held it in its place.
func (a *Apportioner) heldSince() time.Time {
	if settled := a.config.StartedAt.Add(settleTime); settled.After(a.changedAt) {
		return settled
	}
	return a.changedAt
}

// NextAt returns when Take may succeed next for a request of a rank. It may succeed now if
// that time is not after now. Rank zero is the most urgent one. Without mayBorrow, only
// shares of this instance's own count.
func (a *Apportioner) NextAt(limit Limit, rank int, mayBorrow bool, now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucketOf(limit, now)
	switch {
	case b.isHolder:
		return b.nextAt(rank, now)
	case mayBorrow && len(b.lenders) > 0:
		return b.lendersEmptyUntil
	}
	return latest(b.lendersEmptyUntil, now.Add(lenderPause))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordUnmet counts a request that would have gone to a server if there had been a token.
func (a *Apportioner) RecordUnmet(limit Limit, rank int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucketOf(limit, now).demand.count(rank)
}

// Take takes a token for one request to the server, from this instance's own share or by
// a loan, and reports whether there was one.
func (a *Apportioner) Take(ctx context.Context, limit Limit, rank int) bool {
	now := a.config.Now()
	a.mu.Lock()
	b := a.bucketOf(limit, now)
	if b.isHolder {
		defer a.mu.Unlock()
		return b.take(rank)
	}
	lender, ok := a.chooseLender(b)
	a.mu.Unlock()
	return ok && a.borrow(ctx, lender, limit, rank)
}

// chooseLender returns one of the nearest holders. The lock is held.
func (a *Apportioner) chooseLender(b *bucket) (Member, bool) {
	var nearest []Member
	least := 0
	for _, m := range b.lenders {
		distance := a.distanceTo(m)
		if len(nearest) == 0 || distance < least {
			nearest, least = nearest[:0], distance
		}
		if distance == least {
			nearest = append(nearest, m)
		}
	}
	if len(nearest) == 0 {
		return Member{}, false
	}
	return nearest[rand.IntN(len(nearest))], true
}

// distanceTo returns 0 for a member in the own failure domain, 1 for one in the own
// region, and 2 for others.
func (a *Apportioner) distanceTo(m Member) int {
	switch {
	case m.FailureDomain == a.config.Self.FailureDomain:
		return 0
	case m.Region == a.config.Self.Region:
		return 1
	}
	return 2
}

func (a *Apportioner) borrow(ctx context.Context, lender Member, limit Limit, rank int) bool {
	if a.config.Lender == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	loan, err := a.config.Lender.Borrow(ctx, lender.ID, limit, rank)
	now := a.config.Now()
	if err != nil {
		a.config.Log.Info("no token was borrowed for a server with a rate limit", recorder.EventLoanFailed.Attr(),
			slog.String("server", limit.Server.ID), slog.String("instance", lender.ID), slog.Any("error", err))
		loan.RetryAt = now.Add(lenderPause)
	}
	if err == nil && loan.IsGranted {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucketOf(limit, now).lendersEmptyUntil = loan.RetryAt
	return false
}

// Lend grants a token of this instance's share to another instance. An instance that
// holds no share grants none.
func (a *Apportioner) Lend(limit Limit, rank int, now time.Time) Loan {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucketOf(limit, now)
	switch {
	case !b.isHolder:
		return Loan{RetryAt: now.Add(lenderPause)}
	case b.take(rank):
		return Loan{IsGranted: true}
	}
	return Loan{RetryAt: b.nextAt(rank, now)}
}

// Sweep forgets the servers for which isLimited reports false, and lets members that are
// gone no longer count once their time has passed. It has to be called periodically.
func (a *Apportioner) Sweep(isLimited func(Server) bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for server := range a.buckets {
		if !isLimited(server) {
			delete(a.buckets, server)
		}
	}
	a.removeGone(now)
}
