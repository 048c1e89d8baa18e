package registrar

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstSuspension is how long a server receives no requests after it was
	// unreachable for the first time; the suspension doubles up to maxSuspension
	// while the server remains unreachable.
	firstSuspension = 250 * time.Millisecond
	maxSuspension   = 2 * time.Second
	// suspensionSpreadDivisor divides a suspension: the instances try the server again
	// within this part of it after its end.
	suspensionSpreadDivisor = 2
	// reportedLoadHalfLife is the half-life with which the last reported load of
	// other instances decays.
	reportedLoadHalfLife = 700 * time.Millisecond
	// slownessWeight is the weight of a new observation in the moving average of a
	// server's slowness.
	slownessWeight = 0.15
	// failureWeight is the weight of a new observation in the moving average of a
	// server's failures.
	failureWeight = 0.12
	// healthHalfLife is the half-life with which observations of a server's speed
	// and failures decay, so that a bad server is tried again.
	healthHalfLife = 2 * time.Second
	// maxSlowness is the upper bound of Health.Slowness.
	maxSlowness = 8
	// overdueRatioThreshold is the multiple of its expected duration from which an
	// unanswered request counts as a sign of a slow server. Requests for an object
	// that the server has not cached take less than this.
	overdueRatioThreshold = 4
	// timeoutWeight is the weight of a timed-out request in the moving average of a
	// server's slowness.
	timeoutWeight = 0.5
	minSlowness   = 0.5
)

// Backend is one start of a backend server with the load and health that this
// instance has observed. It is safe for concurrent use.
type Backend struct {
	server      atomic.Pointer[Server]
	isEvacuated atomic.Bool
	// hasSaidLeaving is set once the server has said in an answer that it leaves.
	hasSaidLeaving atomic.Bool
	// limit is what was last heard of the server's rate limit. It is nil if the server
	// has never named one.
	limit atomic.Pointer[RateLimit]
	// era is the era of the store in which the entry was read. The Registrar's lock guards
	// it.
	era uint64

	mu sync.Mutex
	// inFlight holds this instance's unanswered requests to the server.
	inFlight map[*InFlight]struct{}
	// othersLoad is the load from other instances at loadReportedAt, when the
	// server last reported its total load.
	othersLoad     float64
	loadReportedAt time.Time

	slowness     float64
	failureShare float64
	observedAt   time.Time
	coldUntil    time.Time
	suspension   time.Duration
	// unreachableAt is when the server was first unreachable since its last answer, and
	// suspendedUntil when it is tried again.
	unreachableAt  time.Time
	suspendedUntil time.Time
	// isProbed says that a probe is under way that shows whether the server is back.
	isProbed      bool
	isMisdirected bool
	// pausedUntil is when a server that wants no requests for a while takes them again.
	pausedUntil time.Time
	// quarantinedUntil is when a server that the store lists again after it had left may
	// receive requests.
	quarantinedUntil time.Time
}

// InFlight is one unanswered request to a server.
type InFlight struct {
	began    time.Time
	expected time.Duration
}

func newBackend(s Server) *Backend {
	b := &Backend{slowness: 1, inFlight: map[*InFlight]struct{}{}}
	b.server.Store(&s)
	return b
}

// Server returns the server's current entry.
func (b *Backend) Server() Server { return *b.server.Load() }

// ID returns the server's ID.
func (b *Backend) ID() string { return b.server.Load().ID }

// isSame reports whether s is the same start of the same server.
func (b *Backend) isSame(s Server) bool {
	current := b.server.Load()
	return current.Incarnation == s.Incarnation && current.Address == s.Address && current.Service == s.Service &&
		current.FailureDomain == s.FailureDomain
}

// IsUsable reports whether the server may receive new requests.
func (b *Backend) IsUsable(now time.Time) bool {
	if b.isEvacuated.Load() || b.hasSaidLeaving.Load() || b.server.Load().IsLeaving {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspension > 0 && len(b.inFlight) > 0 {
		// One request shows whether the server is back. It may have started again and be
		// cold.
		return false
	}
	return !b.isMisdirected && !now.Before(b.suspendedUntil) && !now.Before(b.pausedUntil) && !now.Before(b.quarantinedUntil)
}

// MayProbe reports whether the server may receive a health probe that says whether it is
// reached: it is not evacuated, does not leave, is not cold and takes requests.
func (b *Backend) MayProbe(now time.Time) bool {
	if b.isEvacuated.Load() || b.hasSaidLeaving.Load() || b.server.Load().IsLeaving || b.IsCold(now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.isMisdirected && !now.Before(b.pausedUntil) && !now.Before(b.quarantinedUntil)
}

// IsCold reports whether the server is warming up.
func (b *Backend) IsCold(now time.Time) bool { return now.Before(b.warmAt()) }

// warmAt returns when the server's warm-up ends.
func (b *Backend) warmAt() time.Time {
	entryColdUntil := b.server.Load().ColdUntil
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.coldUntil.After(entryColdUntil) {
		return b.coldUntil
	}
	return entryColdUntil
}

// MarkCold marks the server as cold at least until the given time.
func (b *Backend) MarkCold(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.coldUntil) {
		b.coldUntil = until
	}
}

// Begin adds a request that is sent to the server, with the expected duration until
// its answer.
func (b *Backend) Begin(now time.Time, expected time.Duration) *InFlight {
	b.mu.Lock()
	defer b.mu.Unlock()
	request := &InFlight{began: now, expected: max(expected, time.Millisecond)}
	b.inFlight[request] = struct{}{}
	return request
}

// End removes a request that has ended.
func (b *Backend) End(request *InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inFlight, request)
}

// RecordLoad records the load that the server reports, which includes this
// instance's own requests.
func (b *Backend) RecordLoad(running, waiting int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.othersLoad = max(0, float64(running+waiting)-float64(len(b.inFlight)))
	b.loadReportedAt = now
}

// RateLimit is what was heard of a server's rate limit.
type RateLimit struct {
	// IsNamed says that the server names a limit.
	IsNamed bool
	// PerSecond is the number of requests a second that the server takes from all
	// instances together. It is valid if IsNamed is set.
	PerSecond float64
	// HeardAt is when the server said so, to this instance or to another one.
	HeardAt time.Time
}

// Pause records that the server wants no requests from this instance until the given
// time. The later one of two times counts.
func (b *Backend) Pause(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
}

// PausedUntil returns when the server takes requests from this instance again. It is zero
// or past unless the server wants none.
func (b *Backend) PausedUntil() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pausedUntil
}

// MarkLeaving records that the server has said in an answer that it leaves. It is never
// used again, whatever the store says. MarkLeaving reports whether that is new.
func (b *Backend) MarkLeaving() bool { return !b.hasSaidLeaving.Swap(true) }

// RecordLimit records what was heard of the server's rate limit, unless something newer is
// known. It reports whether the limit has changed.
func (b *Backend) RecordLimit(heard RateLimit) bool {
	for {
		known := b.limit.Load()
		if known == nil && !heard.IsNamed {
			return false
		}
		if known != nil && heard.HeardAt.Before(known.HeardAt) {
			return false
		}
		if b.limit.CompareAndSwap(known, &heard) {
			return known == nil || known.IsNamed != heard.IsNamed || known.PerSecond != heard.PerSecond
		}
	}
}

// Limit returns what was last heard of the server's rate limit.
func (b *Backend) Limit() RateLimit {
	known := b.limit.Load()
	if known == nil {
		return RateLimit{}
	}
	return *known
}

// Load returns the estimated number of requests that the server has, from all
// instances.
func (b *Backend) Load(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(len(b.inFlight)) + b.othersLoad*decay(now.Sub(b.loadReportedAt), reportedLoadHalfLife)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// Health is the observed speed and failure rate of a server.
type Health struct {
	// Slowness is the time that the server takes, as a multiple of the time that
	// its requests usually take.
	Slowness float64
	// FailureShare is the share of recent requests that the server failed.
	FailureShare float64
}

// Health returns the observed health of the server. Older observations count less.
func (b *Backend) Health(now time.Time) Health {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health(now)
}

func (b *Backend) health(now time.Time) Health {
	h := b.observedHealth(now)
	h.Slowness = max(h.Slowness, b.overdueRatio(now))
	return h
}

// observedHealth returns the health that ended requests have shown. The lock is
// held.
func (b *Backend) observedHealth(now time.Time) Health {
	remaining := decay(now.Sub(b.observedAt), healthHalfLife)
	return Health{
		Slowness:     1 + (b.slowness-1)*remaining,
		FailureShare: b.failureShare * remaining,
	}
}

// overdueRatio returns the largest ratio of elapsed to expected time among the
// unanswered requests, at most maxSlowness, or zero if none reaches
// overdueRatioThreshold. The lock is held.
func (b *Backend) overdueRatio(now time.Time) float64 {
	largest := 0.0
	for request := range b.inFlight {
		largest = max(largest, float64(now.Sub(request.began))/float64(request.expected))
	}
	if largest < overdueRatioThreshold {
		return 0
	}
	return min(largest, maxSlowness)
}

// RecordSuccess records an answer that took ratio times as long as usual, on a connection
// that was opened at connectedAt. It returns true if the server may have restarted: it was
// unreachable before, and the connection is not known to be older.
func (b *Backend) RecordSuccess(ratio float64, connectedAt, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.observedHealth(now)
	ratio = min(max(ratio, minSlowness), maxSlowness)
	b.slowness = h.Slowness + (ratio-h.Slowness)*slownessWeight
	b.failureShare = h.FailureShare * (1 - failureWeight)
	b.observedAt = now
	isOlder := !connectedAt.IsZero() && connectedAt.Before(b.unreachableAt)
	returned := b.suspension > 0 && !isOlder
	b.suspension = 0
	b.suspendedUntil = time.Time{}
	return returned
}

// RecordFailure records a request that the server failed or rejected.
func (b *Backend) RecordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.observedHealth(now)
	b.slowness = h.Slowness
	b.failureShare = h.FailureShare + (1-h.FailureShare)*failureWeight
	b.observedAt = now
}

// RecordTimeout records a request that the server did not answer within ratio times
// the usual time.
func (b *Backend) RecordTimeout(ratio float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.observedHealth(now)
	ratio = min(max(ratio, 1), maxSlowness)
	b.slowness = h.Slowness + max(0, ratio-h.Slowness)*timeoutWeight
	b.failureShare = h.FailureShare + (1-h.FailureShare)*failureWeight
	b.observedAt = now
}

// MarkUnreachable records that the server was unreachable and suspends it.
func (b *Backend) MarkUnreachable(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.suspendedUntil) {
		return
	}
	if b.suspension == 0 {
		b.unreachableAt = now
	}
	b.suspension = min(max(2*b.suspension, firstSuspension), maxSuspension)
	b.suspendedUntil = now.Add(b.suspension + rand.N(b.suspension/suspensionSpreadDivisor))
}

// IsSuspended reports whether the server has not answered since it was unreachable.
func (b *Backend) IsSuspended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspension > 0
}

// BeginReturnProbe reports whether a probe may show now whether a suspended server is back,
// and records that it begins. EndReturnProbe has to be called after it.
func (b *Backend) BeginReturnProbe() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspension == 0 || b.isProbed {
		return false
	}
	b.isProbed = true
	return true
}

// EndReturnProbe records whether the server has answered the probe. One that has gets
// requests again; it may have started again, and be cold.
func (b *Backend) EndReturnProbe(hasAnswered bool, now time.Time) {
	b.mu.Lock()
	b.isProbed = false
	if hasAnswered {
		b.suspension = 0
		b.suspendedUntil = time.Time{}
	}
	b.mu.Unlock()
	if !hasAnswered {
		b.MarkUnreachable(now)
	}
}

// Forgive forgets what was observed of the server while this instance had lost its links to
// servers: it says nothing about the server.
func (b *Backend) Forgive() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspension = 0
	b.suspendedUntil = time.Time{}
	b.slowness = 1
	b.failureShare = 0
}

// MarkMisdirected records that another server answers at the address. The server
// stays unusable until its entry shows another start (see isSame).
func (b *Backend) MarkMisdirected() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isMisdirected = true
}
