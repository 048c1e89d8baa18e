package forwarder

import (
	"math/bits"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/limiter"
)

const (
	// minConnections is the least connection limit of an instance to one server,
	// whatever the number of instances.
	minConnections = 4
	// reportInterval is the least time between two log lines about one spent budget.
	reportInterval = time.Second
)

// BudgetsConfig is the configuration of Budgets.
type BudgetsConfig struct {
	// Retries is the retry budget of the whole fleet.
	Retries limiter.WindowConfig
	// Membership says among which instances the budgets are divided.
	Membership *apportioner.Membership
	// MinInstances is the least number of instances that connections are divided among,
	// for an instance that does not know the others yet.
	MinInstances int
}

// Budgets divides the fleet's retry budgets and its connections to servers among the
// instances. It is safe for concurrent use.
type Budgets struct {
	membership   *apportioner.Membership
	minInstances int

	mu       sync.Mutex
	retries  limiter.WindowConfig
	services map[string]*limiter.WindowBudget
	// reportedAt is when a spent budget was last reported, by service.
	reportedAt map[string]time.Time
}

// NewBudgets returns the budgets of one instance.
func NewBudgets(config BudgetsConfig) *Budgets {
	return &Budgets{
		membership: config.Membership, minInstances: max(config.MinInstances, 1), retries: config.Retries,
		services: map[string]*limiter.WindowBudget{}, reportedAt: map[string]time.Time{},
	}
}

// SetConfig changes the retry budget of the fleet.
func (b *Budgets) SetConfig(config limiter.WindowConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = config
	now := time.Now()
	for _, budget := range b.services {
		budget.SetConfig(config, now)
	}
}

// Deposit counts a request to a service.
func (b *Budgets) Deposit(service string, now time.Time) { b.retryBudget(service).Deposit(now) }

// Withdraw takes one retry from the budget of a service and reports whether there was one.
func (b *Budgets) Withdraw(service string, now time.Time) bool {
	return b.retryBudget(service).Withdraw(b.standing(now), now)
}

// retryBudget returns the retry budget of a service.
func (b *Budgets) retryBudget(service string) *limiter.WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.services[service]
	if budget == nil {
		budget = limiter.NewWindowBudget(b.retries)
		b.services[service] = budget
	}
	return budget
}

// standing returns what this instance may take of the retry budgets.
func (b *Budgets) standing(now time.Time) limiter.Standing {
	b.mu.Lock()
	window := b.retries.Window
	b.mu.Unlock()
	return limiter.Standing{ExtraShare: b.membership.Share(window, now), IsNew: b.membership.IsNew(window, now)}
}

// mayReport reports whether the spent budget of a service may be reported again, and
// records that it is.
func (b *Budgets) mayReport(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.reportedAt[service]) < reportInterval {
		return false
	}
	b.reportedAt[service] = now
	return true
}

// ConnectionLimit returns this instance's share of the total number of connections
// that one server accepts from the fleet. The limit is rounded down to a power of two,
// so that it seldom changes when instances join or leave: a changed limit closes the
// open connections.
func (b *Budgets) ConnectionLimit(total int, now time.Time) int {
	instances := max(b.membership.Count(0, now), b.minInstances)
	limit := max(total/instances, minConnections)
	return 1 << (bits.Len(uint(limit)) - 1)
}
