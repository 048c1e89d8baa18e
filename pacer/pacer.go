// Package pacer limits the rate of bytes sent over a link to an allowance. The
// most urgent rank is sent first.
//
// A transfer reserves its expected bytes before it begins. It is refused if the earlier
// reservations leave too little time before its deadline, or if an earlier transfer of
// its rank could no longer end in time: transfers of one rank share the rate equally. A
// more urgent transfer may make a less urgent one late.
//
// # Usage
//
//	p := pacer.New(pacer.Config{Rate: func(now time.Time) float64 { return holder.Rate(link, now) }})
//	transfer, err := p.Begin(rank, expectedBytes, deadline)
//	if err != nil {
//		return err
//	}
//	defer transfer.End()
//	err = transfer.Wait(ctx, len(chunk))
package pacer

import (
	"context"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
)

const (
	// burstTime is the time over which unused rate accumulates.
	burstTime = 50 * time.Millisecond
	// minPause and maxPause bound the time between two checks of the rate.
	minPause = time.Millisecond
	maxPause = 20 * time.Millisecond
	// firstAllowanceTimeout is how long a transfer waits for an allowance if
	// there is none when it begins.
	firstAllowanceTimeout = 200 * time.Millisecond
)

// Config is the configuration of a Pacer.
type Config struct {
	// Rate returns the bytes a second that may be sent now.
	Rate func(now time.Time) float64
	// OnDemand is called when a transfer begins and there is no allowance, so
	// that one can be requested. It may be nil.
	OnDemand func()
}

// Pacer paces one direction of a link. It is safe for concurrent use.
type Pacer struct {
	config Config

	mu sync.Mutex
	// tokens is the number of bytes that may be sent, as of refilledAt. It is
	// negative if the last chunk was larger.
	tokens     float64
	refilledAt time.Time
	// waiting counts the transfers that wait to send, and reserved counts the
	// reserved bytes that are not sent yet, both by rank.
	waiting  [pollencrank.RankCount]int
	reserved [pollencrank.RankCount]int64
	// active are the transfers that have not ended, by rank.
	active [pollencrank.RankCount]map[*Transfer]struct{}
	// offered counts the bytes that were sent or refused, to size the next
	// allowance.
	offered int64
}

// New returns a Pacer.
func New(config Config) *Pacer {
	if config.OnDemand == nil {
		config.OnDemand = func() {}
	}
	return &Pacer{config: config, refilledAt: time.Now()}
}

// TakeOffered returns the bytes that were offered since the last call, and resets
// the count.
func (p *Pacer) TakeOffered() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	offered := p.offered
	p.offered = 0
	return offered
}

// Transfer is an answer or a request body that is being sent.
type Transfer struct {
	pacer *Pacer
	rank  pollencrank.Rank
	// unsent is the part of the reserved bytes that is not sent yet.
	unsent   int64
	deadline time.Time
	ended    bool
}

// Begin reserves the expected bytes of a transfer. It returns a NotRunError if
// they cannot be sent before the deadline.
func (p *Pacer) Begin(ctx context.Context, rank pollencrank.Rank, expected int64, deadline time.Time) (*Transfer, error) {
	p.mu.Lock()
	p.offered += expected
	p.mu.Unlock()
	rate := p.waitForRate(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	ahead := expected
	for _, bytes := range p.reserved[:rank+1] {
		ahead += bytes
	}
	if rate <= 0 || float64(ahead) > rate*time.Until(deadline).Seconds() || p.delaysAnother(rank, expected, rate) {
		err := pollencrank.NotRun(pollencrank.ReasonLinkFull, "%d bytes are ahead on a link of %.0f bytes/s", ahead-expected, rate)
		err.RetryAt = time.Now().Add(time.Second)
		return nil, err
	}
	p.reserved[rank] += expected
	t := &Transfer{pacer: p, rank: rank, unsent: expected, deadline: deadline}
	if p.active[rank] == nil {
		p.active[rank] = map[*Transfer]struct{}{}
	}
	p.active[rank][t] = struct{}{}
	return t, nil
}

// delaysAnother reports whether a further transfer of a rank would make an earlier one of
// that rank late which would else end in time. The caller holds the lock.
func (p *Pacer) delaysAnother(rank pollencrank.Rank, expected int64, rate float64) bool {
	urgent := int64(0)
	for _, bytes := range p.reserved[:rank] {
		urgent += bytes
	}
	same, count := p.reserved[rank], int64(len(p.active[rank]))
	for t := range p.active[rank] {
		room := rate * time.Until(t.deadline).Seconds()
		before := float64(urgent + min(same, count*t.unsent))
		after := float64(urgent + min(same+expected, (count+1)*t.unsent))
		if before <= room && after > room {
			return true
		}
	}
	return false
}

// waitForRate returns the rate. If there is no allowance, it requests one and
// waits up to firstAllowanceTimeout.
func (p *Pacer) waitForRate(ctx context.Context) float64 {
	end := time.Now().Add(firstAllowanceTimeout)
	for {
		now := time.Now()
		rate := p.config.Rate(now)
		if rate > 0 || !now.Before(end) {
			return rate
		}
		p.config.OnDemand()
		if !pause(ctx, maxPause) {
			return 0
		}
	}
}

// Wait returns when n more bytes may be sent.
func (t *Transfer) Wait(ctx context.Context, n int) error {
	t.pacer.addWaiting(t.rank, 1)
	defer t.pacer.addWaiting(t.rank, -1)
	for {
		delay := t.take(n)
		if delay <= 0 {
			return nil
		}
		if !pause(ctx, delay) {
			return ctx.Err()
		}
	}
}

// addWaiting adds n to the number of waiting transfers of a rank.
func (p *Pacer) addWaiting(rank pollencrank.Rank, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[rank] += n
}

// take takes n tokens, or returns how long to wait before the next attempt. It
// reads the rate right before each use, since the allowance may have expired
// during a pause.
func (t *Transfer) take(n int) time.Duration {
	p := t.pacer
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	rate := p.config.Rate(now)
	p.refill(now, rate)
	if rate <= 0 {
		return maxPause
	}
	for _, waiting := range p.waiting[:t.rank] {
		if waiting > 0 {
			return minPause
		}
	}
	if p.tokens <= 0 {
		return min(maxPause, max(minPause, time.Duration(-p.tokens/rate*float64(time.Second))))
	}
	// The tokens may become negative by up to one chunk, so that chunks larger
	// than the burst can be sent.
	p.tokens -= float64(n)
	t.consume(int64(n))
	return 0
}

func (p *Pacer) refill(now time.Time, rate float64) {
	elapsed := now.Sub(p.refilledAt).Seconds()
	p.refilledAt = now
	p.tokens = min(p.tokens+rate*elapsed, rate*burstTime.Seconds())
}

// consume counts n bytes as sent and reduces the reservation accordingly. The
// caller holds the lock.
func (t *Transfer) consume(n int64) {
	p := t.pacer
	used := min(n, t.unsent)
	t.unsent -= used
	p.reserved[t.rank] -= used
	p.offered += n - used
}

// End releases the reserved bytes that were not sent.
func (t *Transfer) End() {
	t.pacer.mu.Lock()
	defer t.pacer.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	delete(t.pacer.active[t.rank], t)
	t.pacer.reserved[t.rank] -= t.unsent
}

// pause waits for a duration. It returns false if ctx is done first.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
