package rationer

import "time"

const (
	// maxPromiseSpread is the time over which the times are spread at which those refused
	// one after the other are asked to come back.
	maxPromiseSpread = time.Second
	// maxRetryDelay is returned if no token is foreseeable.
	maxRetryDelay = time.Minute
)

// bucket is a holder's part of a quota.
type bucket struct {
	part
	tokens   float64
	filledAt time.Time
	// from is since when this instance has held the part without a break.
	from time.Time
	// promisedAt is when the last one that was refused is asked to come back.
	promisedAt time.Time
}

// fill adds the tokens since the last call. A part that is held anew is empty as of the
// time from which it is held.
func (b *bucket) fill(part part, from, now time.Time) {
	if !b.from.Equal(from) {
		b.tokens, b.from = 0, from
		if from.After(b.filledAt) {
			b.filledAt = from
		}
	}
	b.part = part
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens += elapsed.Seconds() * part.rate
		b.filledAt = now
	}
	b.tokens = min(b.tokens, part.capacity)
}

// take takes a token, if there is one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// lend takes up to count tokens.
func (b *bucket) lend(count int, now time.Time) Loan {
	granted := int(min(float64(count), b.tokens))
	b.tokens -= float64(granted)
	if granted == count {
		return Loan{Granted: granted}
	}
	return Loan{Granted: granted, RetryAfter: b.promise(now).Sub(now)}
}

// nextAt returns when the next token will be there.
func (b *bucket) nextAt(now time.Time) time.Time {
	if b.tokens >= 1 {
		return now
	}
	delay := maxRetryDelay
	if b.rate > 0 {
		delay = min(delay, toDuration((1-b.tokens)/b.rate))
	}
	return now.Add(delay)
}

// promise returns when one that is refused may come back: one token after the other.
func (b *bucket) promise(now time.Time) time.Time {
	next := b.nextAt(now)
	b.promisedAt = nextInTurn(b.promisedAt, next, b.rate)
	return b.promisedAt
}

// nextInTurn returns the time after last at which another token is there, but neither before
// next nor more than maxPromiseSpread later.
func nextInTurn(last, next time.Time, rate float64) time.Time {
	if rate <= 0 || last.Before(next) {
		return next
	}
	turn := last.Add(toDuration(1 / rate))
	if turn.After(next.Add(maxPromiseSpread)) {
		return next
	}
	return turn
}
