package registrar

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstSuspension is how long a server gets nothing after it could not be
	// reached; it doubles up to maxSuspension while it stays so.
	firstSuspension = 250 * time.Millisecond
	maxSuspension   = 2 * time.Second
	// loadHalfLife is the time after which half of the load of other
	// instances, as last reported, is believed to be gone.
	loadHalfLife = 700 * time.Millisecond
	// speedWeight is the weight of a new observation of a server's speed.
	speedWeight = 0.15
	// failureWeight is the weight of a new observation of a failure.
	failureWeight = 0.12
	// forgetHalfLife is the time after which half of what was seen of a
	// server's speed and failures is forgotten, so that it is tried again.
	forgetHalfLife = 2 * time.Second
	// maxSlowness bounds the factor by which a server counts as slow.
	maxSlowness = 8
	// overdueAfter is the multiple of its expected time from which a request
	// that is still unanswered counts as a sign of a slow server. Work on an
	// object that the server does not know takes less.
	overdueAfter = 4
	// timeoutWeight is the weight of a request that was not answered in time.
	timeoutWeight = 0.5
	minSlowness   = 0.5
)

// Backend is one start of a backend server with what this instance has seen of
// it. It is safe for concurrent use.
type Backend struct {
	server      atomic.Pointer[Server]
	isEvacuated atomic.Bool

	mu sync.Mutex
	// inFlight are this instance's requests at the server.
	inFlight map[*InFlight]struct{}
	// others is the load of other instances when the server last told its own.
	others     float64
	othersAt   time.Time
	slowness   float64
	failures   float64
	seenAt     time.Time
	coldUntil  time.Time
	suspension time.Duration
	// suspendedUntil is when a server that could not be reached is tried again.
	suspendedUntil time.Time
	isMisdirected  bool
}

// InFlight is one request at a server.
type InFlight struct {
	began    time.Time
	expected time.Duration
}

func newBackend(s Server) *Backend {
	b := &Backend{slowness: 1, inFlight: map[*InFlight]struct{}{}}
	b.server.Store(&s)
	return b
}

// Server returns what the platform says of the server.
func (b *Backend) Server() Server { return *b.server.Load() }

// ID returns the server's ID.
func (b *Backend) ID() string { return b.server.Load().ID }

// isSame reports whether s is the same start of the same server.
func (b *Backend) isSame(s Server) bool {
	known := b.server.Load()
	return known.Incarnation == s.Incarnation && known.Address == s.Address && known.Service == s.Service &&
		known.FailureDomain == s.FailureDomain
}

// IsUsable reports whether the server may get new work.
func (b *Backend) IsUsable(now time.Time) bool {
	if b.isEvacuated.Load() || b.server.Load().IsLeaving {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.isMisdirected && !now.Before(b.suspendedUntil)
}

// IsCold reports whether the server is warming up.
func (b *Backend) IsCold(now time.Time) bool { return now.Before(b.warmAt()) }

// warmAt returns when the server has warmed up.
func (b *Backend) warmAt() time.Time {
	told := b.server.Load().ColdUntil
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.coldUntil.After(told) {
		return b.coldUntil
	}
	return told
}

// MarkCold says that the server is cold until a moment.
func (b *Backend) MarkCold(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.coldUntil) {
		b.coldUntil = until
	}
}

// Begin counts a request that is sent to the server, with the time in which its
// answer is expected.
func (b *Backend) Begin(now time.Time, expected time.Duration) *InFlight {
	b.mu.Lock()
	defer b.mu.Unlock()
	request := &InFlight{began: now, expected: max(expected, time.Millisecond)}
	b.inFlight[request] = struct{}{}
	return request
}

// End counts a request that has ended.
func (b *Backend) End(request *InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inFlight, request)
}

// RecordLoad takes the load that the server tells of itself.
func (b *Backend) RecordLoad(running, waiting int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = max(0, float64(running+waiting)-float64(len(b.inFlight)))
	b.othersAt = now
}

// Load returns the estimated number of requests at the server.
func (b *Backend) Load(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(len(b.inFlight)) + b.others*decay(now.Sub(b.othersAt), loadHalfLife)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// Health is what was seen of a server's answers.
type Health struct {
	// Slowness is the time that the server takes, as a multiple of what its
	// requests usually take.
	Slowness float64
	// FailureShare is the share of requests that it failed lately.
	FailureShare float64
}

// Health returns what was seen of the server, less the older it is.
func (b *Backend) Health(now time.Time) Health {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health(now)
}

func (b *Backend) health(now time.Time) Health {
	h := b.seen(now)
	h.Slowness = max(h.Slowness, b.overdue(now))
	return h
}

// seen is what ended requests showed of the server. The lock is held.
func (b *Backend) seen(now time.Time) Health {
	left := decay(now.Sub(b.seenAt), forgetHalfLife)
	return Health{
		Slowness:     1 + (b.slowness-1)*left,
		FailureShare: b.failures * left,
	}
}

// overdue is the multiple of its expected time that the most overdue request at
// the server has taken so far, or zero if none is overdue. The lock is held.
func (b *Backend) overdue(now time.Time) float64 {
	most := 0.0
	for request := range b.inFlight {
		most = max(most, float64(now.Sub(request.began))/float64(request.expected))
	}
	if most < overdueAfter {
		return 0
	}
	return min(most, maxSlowness)
}

// RecordSuccess records an answer that took ratio times as long as usual. It
// returns true if the server could not be reached before, which means that it
// may have started anew.
func (b *Backend) RecordSuccess(ratio float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.seen(now)
	ratio = min(max(ratio, minSlowness), maxSlowness)
	b.slowness = h.Slowness + (ratio-h.Slowness)*speedWeight
	b.failures = h.FailureShare * (1 - failureWeight)
	b.seenAt = now
	returned := b.suspension > 0
	b.suspension = 0
	return returned
}

// RecordFailure records a request that the server failed or rejected.
func (b *Backend) RecordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.seen(now)
	b.slowness = h.Slowness
	b.failures = h.FailureShare + (1-h.FailureShare)*failureWeight
	b.seenAt = now
}

// RecordTimeout records a request that the server did not answer within ratio times
// the usual time.
func (b *Backend) RecordTimeout(ratio float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.seen(now)
	ratio = min(max(ratio, 1), maxSlowness)
	b.slowness = h.Slowness + max(0, ratio-h.Slowness)*timeoutWeight
	b.failures = h.FailureShare + (1-h.FailureShare)*failureWeight
	b.seenAt = now
}

// MarkUnreachable records that the server could not be reached and suspends it.
func (b *Backend) MarkUnreachable(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.suspendedUntil) {
		return
	}
	b.suspension = min(max(2*b.suspension, firstSuspension), maxSuspension)
	b.suspendedUntil = now.Add(b.suspension)
}

// MarkMisdirected records that another server answers at the address. Only a new
// entry makes the server usable again.
func (b *Backend) MarkMisdirected() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isMisdirected = true
}
