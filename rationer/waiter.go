package rationer

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/recorder"
)

// waiter is a request that waits for a token of another holder.
type waiter struct{ done chan waiterResult }

type waiterResult struct {
	isGranted bool
	expiresAt time.Time
}

// wait returns whether a token was granted, and until when it is valid. A token that comes
// after the end of ctx is lost.
func (w *waiter) wait(ctx context.Context) (time.Time, bool) {
	select {
	case result := <-w.done:
		return result.expiresAt, result.isGranted
	case <-ctx.Done():
		return time.Time{}, false
	}
}

// join lets a request wait for a token of a holder. There is at most one loan under way
// between this instance and the holder for a tenant; requests that come meanwhile share the
// next one. The account's lock is held.
func (r *Rationer) join(a *account, o *otherHolder) *waiter {
	w := &waiter{done: make(chan waiterResult, 1)}
	o.waiters = append(o.waiters, w)
	if !o.isAsking {
		o.isAsking = true
		go r.borrow(a, o)
	}
	return w
}

// borrow borrows tokens of a holder until no request waits for them.
func (r *Rationer) borrow(a *account, o *otherHolder) {
	for {
		a.mu.Lock()
		batch := o.waiters[:min(len(o.waiters), maxCount)]
		o.waiters = o.waiters[len(batch):]
		if len(batch) == 0 {
			o.waiters, o.isAsking = nil, false
			a.mu.Unlock()
			return
		}
		if now := r.config.Now(); !o.mayAsk(now) {
			a.mu.Unlock()
			answer(batch, 0, time.Time{})
			continue
		}
		count := min(len(batch)+int(a.demandNow(r.config.Now())*o.flight.Seconds()), maxCount)
		a.mu.Unlock()
		granted, expiresAt := r.borrowBatch(a, o, len(batch), count)
		answer(batch, granted, expiresAt)
	}
}

// borrowBatch borrows tokens and records what the holder answers. Beside those that are
// needed it asks for as many as it expects to be needed during a loan. The tokens are valid
// from before they were asked for, because the time at which they were granted is not known.
func (r *Rationer) borrowBatch(a *account, o *otherHolder, needed, count int) (int, time.Time) {
	began, clock := r.read()
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	loan, err := r.config.Lender.Borrow(ctx, o.id, a.name, count)
	now, clockNow := r.read()
	a.mu.Lock()
	defer a.mu.Unlock()
	o.flight = min(max(now.Sub(began), 0), borrowTimeout)
	if err != nil {
		if now.Sub(o.silentUntil) > spentMemory {
			r.config.Log.Info("no token of a quota was borrowed", recorder.EventQuotaLoanFailed.Attr(),
				slog.String("tenant", a.name), slog.String("instance", o.id), slog.Any("error", err))
		}
		o.silentUntil = now.Add(silentPause)
		return 0, time.Time{}
	}
	granted := min(max(loan.Granted, 0), count)
	a.metrics.borrowed.Add(granted)
	if granted < count {
		o.spentAt, o.retryAt = now, now.Add(loan.RetryAfter)
		o.spentUntil = now.Add(min(max(loan.RetryAfter, minSpentPause), maxSpentPause))
	}
	expiresAt := clock.Add(r.rules.Load().lifetime)
	if granted > needed {
		o.addStock(granted-needed, expiresAt, clockNow)
	}
	return granted, expiresAt
}

// answer answers the requests of a batch, of which the first ones get tokens.
func answer(batch []*waiter, granted int, expiresAt time.Time) {
	for i, w := range batch {
		w.done <- waiterResult{isGranted: i < granted, expiresAt: expiresAt}
	}
}
