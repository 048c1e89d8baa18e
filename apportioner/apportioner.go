// Package apportioner divides the rate limit that a backend server names among the
// instances, so that all of them together keep it.
//
// A few instances, chosen by rendezvous hashing among the members of the fleet, hold a
// share of the limit as a token bucket. Their number grows with the limit, because each
// of them may send one request at any moment. The others borrow single tokens from a
// holder. Every request to the server takes a token of exactly one bucket, so the sum of
// the buckets bounds what the server gets.
//
// Instances may disagree for a while about who the members are; Membership says who counts
// in the meantime.
//
// # Usage
//
//	membership := apportioner.NewMembership(apportioner.MembershipConfig{Self: self, StartedAt: started})
//	membership.Set(members, now)
//	a := apportioner.New(apportioner.Config{Membership: membership, Lender: peers})
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
	// Membership says who the members of the fleet are.
	Membership *Membership
	Lender     Lender
	Log        *slog.Logger
	// Now is the clock. The default is time.Now.
	Now func() time.Time
}

// Apportioner holds the shares of this instance. It is safe for concurrent use.
type Apportioner struct {
	config Config

	mu      sync.Mutex
	buckets map[Server]*bucket
}

// New returns an Apportioner.
func New(config Config) *Apportioner {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Apportioner{config: config, buckets: map[Server]*bucket{}}
}

// chooseHolders chooses the holders of a server's limit. The lock is held.
func (a *Apportioner) chooseHolders(server Server, b *bucket) {
	members, version := a.config.Membership.settledMembers()
	all := make([]scoredMember, 0, len(members))
	for _, m := range members {
		all = append(all, scoredMember{Member: m, score: pollencrank.RendezvousScore(server.ID, m.ID)})
	}
	count := min(len(all), maxHolders(b.perSecond))
	slices.SortFunc(all, func(x, y scoredMember) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.ID, y.ID))
	})
	isHolder := false
	b.lenders = b.lenders[:0]
	for _, m := range all[:count] {
		if m.ID == a.self().ID {
			isHolder = true
			continue
		}
		b.lenders = append(b.lenders, m.Member)
	}
	b.version = version
	b.isAmongHolders = isHolder
	b.setShare(count)
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
		b = &bucket{filledAt: a.config.Membership.heldSince()}
		a.buckets[limit.Server] = b
	}
	if b.isOutdated(a.config.Membership) {
		b.empty(a.config.Membership.heldSince())
	}
	if !b.isChosen || b.version != a.config.Membership.currentVersion() || b.perSecond != limit.PerSecond {
		b.perSecond = limit.PerSecond
		a.chooseHolders(limit.Server, b)
	}
	b.setHolder(b.isAmongHolders && a.config.Membership.MayHold(now), now)
	b.fill(now)
	return b
}

func (a *Apportioner) self() Member { return a.config.Membership.Self() }

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
		distance := a.self().DistanceTo(m)
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

// Sweep forgets the servers for which isLimited reports false. It has to be called
// periodically.
func (a *Apportioner) Sweep(isLimited func(Server) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for server := range a.buckets {
		if !isLimited(server) {
			delete(a.buckets, server)
		}
	}
}
