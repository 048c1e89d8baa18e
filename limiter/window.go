package limiter

import (
	"sync"
	"time"
)

const (
	// windowSafety is the fraction of the fleet's budget that is granted. It is below 1
	// because the windows of the instances do not start at the same time.
	windowSafety = 0.8
	// newInstanceShare is the fraction that is granted to an instance in its first window. It
	// is part of what windowSafety leaves.
	newInstanceShare = 0.1
	// windowBuckets is the number of buckets that a window is divided into.
	windowBuckets = 10
	// keptBuckets is the number of buckets that are kept: the current bucket has only
	// begun, so a window reaches into one more.
	keptBuckets = windowBuckets + 1
)

// WindowConfig is the retry budget of all instances together in one window.
type WindowConfig struct {
	// Share is the largest share of requests that may be retries.
	Share float64
	// Extra is the number of retries beyond Share, for all instances together.
	Extra float64
	// Window is the span over which requests and retries are counted.
	Window time.Duration
}

// WindowBudget permits retries to one service so that all instances together
// stay below a bound in every window. It is safe for concurrent use.
type WindowBudget struct {
	mu     sync.Mutex
	config WindowConfig
	// requests and retries are the counts of the kept buckets; bucket is the number of the
	// current bucket.
	requests [keptBuckets]int
	retries  [keptBuckets]int
	bucket   int64
	// startedAt is the start of the first bucket. Its monotonic clock reading is used,
	// because a step of the wall clock must not refill the budget.
	startedAt time.Time
}

// NewWindowBudget returns a budget that has counted nothing.
func NewWindowBudget(config WindowConfig) *WindowBudget { return &WindowBudget{config: config} }

// SetConfig changes the fleet's budget. The counted requests and retries stay: the current
// bucket remains the current one if the length of the window changes.
func (b *WindowBudget) SetConfig(config WindowConfig, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.config = config
	b.startedAt = now.Add(-time.Duration(b.bucket) * b.span())
}

// span returns the length of a bucket. The caller must hold the lock.
func (b *WindowBudget) span() time.Duration { return max(b.config.Window/windowBuckets, 1) }

// Deposit counts a request.
func (b *WindowBudget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.bucket%keptBuckets]++
}

// Standing says what an instance may take of the budget of all instances.
type Standing struct {
	// ExtraShare is its share of the extra retries, from 0 to 1.
	ExtraShare float64
	// IsNew says that it has run for less than a window. The start before it may have spent
	// what the requests of that window had earned.
	IsNew bool
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *WindowBudget) Withdraw(standing Standing, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(standing, now)
	if float64(state.Retries+1) > state.Allowed {
		return false
	}
	b.retries[b.bucket%keptBuckets]++
	return true
}

// WindowState is what a budget has counted in the current window.
type WindowState struct {
	Requests int
	Retries  int
	// Allowed is the number of retries that this instance may make in the window.
	Allowed float64
}

// State returns what the budget has counted in the window that ends now.
func (b *WindowBudget) State(standing Standing, now time.Time) WindowState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(standing, now)
}

// state returns the counts of the current window. The lock is held.
func (b *WindowBudget) state(standing Standing, now time.Time) WindowState {
	b.advance(now)
	s := WindowState{Requests: sum(b.requests), Retries: sum(b.retries)}
	// A request counts for less than the window, and a retry for no less.
	s.Requests -= b.requests[(b.bucket+1)%keptBuckets]
	granted := windowSafety
	if standing.IsNew {
		granted = newInstanceShare
	}
	s.Allowed = granted*b.config.Share*float64(s.Requests) + windowSafety*b.config.Extra*standing.ExtraShare
	return s
}

// advance moves to the bucket of now and clears the buckets that have expired. The
// caller must hold the lock.
func (b *WindowBudget) advance(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	bucket := int64(now.Sub(b.startedAt) / b.span())
	if bucket-b.bucket >= keptBuckets || bucket < b.bucket {
		b.requests = [keptBuckets]int{}
		b.retries = [keptBuckets]int{}
		b.bucket = bucket
		return
	}
	for b.bucket < bucket {
		b.bucket++
		b.requests[b.bucket%keptBuckets] = 0
		b.retries[b.bucket%keptBuckets] = 0
	}
}

func sum(buckets [keptBuckets]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}
