package rationer

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/recorder"
)

// ask is a request that waits for a token of another holder.
type ask struct{ done chan askResult }

type askResult struct {
	isGranted bool
	expiresAt time.Time
}

// wait returns whether a token was granted, and until when it is valid. A token that comes
// after the end of ctx is lost.
func (a *ask) wait(ctx context.Context) (time.Time, bool) {
	select {
	case result := <-a.done:
		return result.expiresAt, result.isGranted
	case <-ctx.Done():
		return time.Time{}, false
	}
}

// join lets a request wait for a token of a holder. There is at most one loan under way
// between this instance and the holder for a tenant; requests that come meanwhile share the
// next one. The account's lock is held.
func (r *Rationer) join(a *account, l *line) *ask {
	waiting := &ask{done: make(chan askResult, 1)}
	l.waiting = append(l.waiting, waiting)
	if !l.isAsking {
		l.isAsking = true
		go r.borrow(a, l)
	}
	return waiting
}

// borrow borrows tokens of a holder until no request waits for them.
func (r *Rationer) borrow(a *account, l *line) {
	for {
		a.mu.Lock()
		batch := l.waiting[:min(len(l.waiting), maxCount)]
		l.waiting = l.waiting[len(batch):]
		if len(batch) == 0 {
			l.waiting, l.isAsking = nil, false
			a.mu.Unlock()
			return
		}
		if now := r.config.Now(); !l.mayAsk(now) {
			a.mu.Unlock()
			answer(batch, 0, time.Time{})
			continue
		}
		count := min(len(batch)+int(a.demandNow(r.config.Now())*l.flight.Seconds()), maxCount)
		a.mu.Unlock()
		granted, expiresAt := r.borrowBatch(a, l, len(batch), count)
		answer(batch, granted, expiresAt)
	}
}

// borrowBatch borrows tokens and records what the holder answers. Beside those that are
// needed it asks for as many as it expects to be needed during a loan. The tokens are valid
// from before they were asked for, because the time at which they were granted is not known.
func (r *Rationer) borrowBatch(a *account, l *line, needed, count int) (int, time.Time) {
	began, clock := r.read()
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	loan, err := r.config.Lender.Borrow(ctx, l.id, a.name, count)
	now, clockNow := r.read()
	a.mu.Lock()
	defer a.mu.Unlock()
	l.flight = min(max(now.Sub(began), 0), borrowTimeout)
	if err != nil {
		if now.Sub(l.silentUntil) > spentMemory {
			r.config.Log.Info("no token of a quota was borrowed", recorder.EventQuotaLoanFailed.Attr(),
				slog.String("tenant", a.name), slog.String("instance", l.id), slog.Any("error", err))
		}
		l.silentUntil = now.Add(silentPause)
		return 0, time.Time{}
	}
	granted := min(max(loan.Granted, 0), count)
	a.metrics.borrowed.Add(granted)
	if granted < count {
		l.spentAt, l.retryAt = now, now.Add(loan.RetryAfter)
		l.spentUntil = now.Add(min(max(loan.RetryAfter, minSpentPause), maxSpentPause))
	}
	expiresAt := clock.Add(r.rules.Load().lifetime)
	if granted > needed {
		l.addStock(granted-needed, expiresAt, clockNow)
	}
	return granted, expiresAt
}

// answer answers the requests of a batch, of which the first ones get tokens.
func answer(batch []*ask, granted int, expiresAt time.Time) {
	for i, waiting := range batch {
		waiting.done <- askResult{isGranted: i < granted, expiresAt: expiresAt}
	}
}
