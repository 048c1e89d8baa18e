package limiter

import (
	"sync"
	"time"
)

const (
	// windowSafety is the part of the fleet's budget that is given out, because
	// instances do not count a window at the same moments.
	windowSafety = 0.8
	// windowSlots is the number of parts in which a window is counted.
	windowSlots = 10
)

// WindowConfig is the budget of a whole fleet in one window.
type WindowConfig struct {
	// Share is the largest share of requests that may be retries.
	Share float64
	// Extra is the number of retries beyond that, for all instances together.
	Extra float64
	// Window is the span in which both are counted.
	Window time.Duration
}

// WindowBudget permits retries to one service so that all instances together
// stay below a bound in every window. It is safe for concurrent use.
type WindowBudget struct {
	mu        sync.Mutex
	config    WindowConfig
	instances int
	// requests and retries count the parts of the last window; part is the
	// number of the current one.
	requests [windowSlots]int
	retries  [windowSlots]int
	part     int64
	// began is when parts are counted from. It is compared with the steady
	// clock: a step of the time of day must not refill the budget.
	began time.Time
}

// NewWindowBudget returns a budget for one of several instances.
func NewWindowBudget(config WindowConfig, instances int) *WindowBudget {
	return &WindowBudget{config: config, instances: max(instances, 1)}
}

// SetInstances sets the number of instances that share the extra retries.
func (b *WindowBudget) SetInstances(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(instances, 1)
}

// SetConfig changes the fleet's budget. What was counted stays.
func (b *WindowBudget) SetConfig(config WindowConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = config
}

// Deposit counts a request.
func (b *WindowBudget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.part%windowSlots]++
}

// Withdraw takes one retry and reports whether there was one.
func (b *WindowBudget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	requests, retries := sum(b.requests), sum(b.retries)
	allowed := windowSafety * (b.config.Share*float64(requests) + b.config.Extra/float64(b.instances))
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[b.part%windowSlots]++
	return true
}

// advance empties the parts that have passed. The lock is held.
func (b *WindowBudget) advance(now time.Time) {
	span := max(b.config.Window/windowSlots, 1)
	if b.began.IsZero() {
		b.began = now
	}
	part := int64(now.Sub(b.began) / span)
	if part-b.part >= windowSlots || part < b.part {
		b.requests = [windowSlots]int{}
		b.retries = [windowSlots]int{}
		b.part = part
		return
	}
	for b.part < part {
		b.part++
		b.requests[b.part%windowSlots] = 0
		b.retries[b.part%windowSlots] = 0
	}
}

func sum(parts [windowSlots]int) int {
	total := 0
	for _, n := range parts {
		total += n
	}
	return total
}
